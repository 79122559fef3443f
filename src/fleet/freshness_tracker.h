#ifndef AZUREMOOR_FLEET_FRESHNESS_TRACKER_H
#define AZUREMOOR_FLEET_FRESHNESS_TRACKER_H

#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Returns how many entries must have applied a claim before the claimant acts on it: half of all, rounded up, and at least one.
constexpr std::size_t claimQuorum(std::size_t entries)
{
    return entries < 2 ? 1 : (entries + 1) / 2;
}

/// Returns how many entries must have been heard by a process that goes on without the log. Any such set meets every claim quorum.
constexpr std::size_t heartbeatQuorum(std::size_t entries)
{
    return entries == 0 ? 1 : entries - claimQuorum(entries) + 1;
}

/**
 * Decides whether a process may still act on what it knows of the control stream.
 *
 * A process is fresh while it knows that, at some moment within the isolation bound, no record beyond its own offset stood
 * on the log and was acted on. There are two proofs: a complete read of the log that began at that moment, by the process
 * itself or by an entry that told of it; or heartbeats that were answered by a hearing quorum of entries, none of which
 * knew more. With fewer than two entries there is only the first proof. A process that is not fresh starts nothing and admits nothing. A
 * claimant waits out the same bound.
 */
class freshness_tracker
{
public:
    /// Takes the clock, and the bound for which a proof lasts.
    freshness_tracker(const time_source &time, microseconds isolationBound);

    /// Notes a complete read of the log that began at the given moment.
    void handleLogRead(steady_time readStart);

    /// Notes an answered heartbeat. A proof only counts once this process has applied all that the answering entry knew.
    void handlePong(const std::string &entry, const pong &answer);

    /// Tells which entries there are, besides this process, and whether this process is itself an entry.
    void setEntries(std::vector<std::string> others, bool selfIsEntry);

    /// Tells up to which offset this process has applied the control stream.
    void setAppliedOffset(std::uint64_t offset);

    /// Returns the moment at which this process stops being fresh.
    steady_time freshUntil() const;

    /// Returns whether this process may act now.
    bool isFresh() const;

    /// Returns a moment at which a complete read of the log, now applied, had not yet begun; the earliest time when there was none.
    steady_time latestLogConfirmation() const;

private:
    struct entry_heartbeat {
        steady_time sent;
        steady_time logConfirmation;
        std::uint64_t offset = 0;
        bool hasLogConfirmation = false;
    };

    steady_time latestHeartbeatConfirmation(bool countSelf) const;

    const time_source &m_time;
    microseconds m_isolationBound;
    steady_time m_ownLogRead = steady_time::min();
    std::uint64_t m_appliedOffset = 0;
    std::vector<std::string> m_otherEntries;
    bool m_selfIsEntry = false;
    /// Whether this process counts as heard by itself: an entry that has just started knows nothing of what it acknowledged before.
    bool m_countsItself = false;
    std::map<std::string, entry_heartbeat> m_heartbeatByEntry;
};

}

#endif
