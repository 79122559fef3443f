#ifndef AZUREMOOR_RUNS_ROOM_ANNOUNCER_H
#define AZUREMOOR_RUNS_ROOM_ANNOUNCER_H

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
class room_announcer
{
public:
    explicit room_announcer(const time_source &time);

    /// An entry is to be told of room from now on. It has just been told.
    void add(const std::string &entry);

    /// The entry is gone.
    void remove(const std::string &entry);

    /// The worker's room has changed.
    void noteChange();

    /// The entry has been told of the present room.
    void noteTold(const std::string &entry);

    /// An entry wishes for room, or no longer.
    void setWish(const std::string &entry, const room_wish &wish);

    /// Returns whether any entry wishes for room.
    bool isContested() const;

    /// Returns whether the entry has not been told of the latest change.
    bool isOutOfDate(const std::string &entry) const;

    /// Returns the entry whose turn it is to be told of room at once, if any. The room that is free is in thousandths of a core.
    std::optional<std::string> takeTurn(std::uint32_t freeMilliCores);

private:
    struct listener {
        /// Number of the change that the entry was told of last.
        std::uint64_t toldChange = 0;
        room_wish wish;
        /// Turns that the entry has had, divided by its waiting work.
        double turns = 0;
    };

    double leastTurns() const;

    const time_source &m_time;
    std::map<std::string, listener> m_listeners;
    std::uint64_t m_change = 0;
    /// Until then the entry that was told last has the room for itself.
    steady_time m_turnEnd{};
    std::uint64_t m_turnChange = 0;
};

}

#endif
