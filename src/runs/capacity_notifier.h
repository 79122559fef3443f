#ifndef AZUREMOOR_RUNS_CAPACITY_NOTIFIER_H
#define AZUREMOOR_RUNS_CAPACITY_NOTIFIER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time_source.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/**
 * Decides which entries are told of a worker's room, and when.
 *
 * An entry without waiting tasks learns of changes with the heartbeats. Entries that wish for room learn of it at once, but one at a time:
 * told all together, they would all order the same room, and all but one would be refused. Turns go by how much work waits at each.
 */
class capacity_notifier
{
public:
    explicit capacity_notifier(const time_source &time);

    /// An entry is to be told of room from now on. It has just been told.
    void add(const std::string &entry);

    /// The entry is gone.
    void remove(const std::string &entry);

    /// The worker's room has changed.
    void recordCapacityChange();

    /// The entry has been told of the present room.
    void recordNotified(const std::string &entry);

    /// An entry wishes for room, or no longer.
    void setDemand(const std::string &entry, const room_wish &cpuDemand);

    /// Returns whether any entry wishes for room.
    bool hasDemand() const;

    /// Returns whether the entry has not been told of the latest change.
    bool needsUpdate(const std::string &entry) const;

    /// Returns the entry whose turn it is to be told of room at once, if any. The room that is free is in thousandths of a core.
    std::optional<std::string> selectEntryToNotify(std::uint32_t freeMilliCores);

private:
    struct subscriber {
        /// Number of the change that the entry was told of last.
        std::uint64_t notifiedRevision = 0;
        room_wish cpuDemand;
        /// Turns that the entry has had, divided by its waiting work.
        double weightedTurns = 0;
    };

    double minimumWeightedTurns() const;

    const time_source &m_time;
    std::map<std::string, subscriber> m_subscribers;
    std::uint64_t m_revision = 0;
    /// Until then the entry that was told last has the room for itself.
    steady_time m_exclusiveUntil{};
    std::uint64_t m_exclusiveRevision = 0;
};

}

#endif
