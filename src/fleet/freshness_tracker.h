#ifndef AZUREMOOR_FLEET_FRESHNESS_TRACKER_H
#define AZUREMOOR_FLEET_FRESHNESS_TRACKER_H

#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Returns how many of `entryCount` entries must have applied a claim before the claimant acts on it: half of them, rounded up,
/// and at least one.
constexpr std::size_t claimQuorum(std::size_t entryCount)
{
    return entryCount < 2 ? 1 : (entryCount + 1) / 2;
}

/// Returns how many of `entryCount` entries must have answered a process that cannot read the log, for it to remain fresh. Any such
/// set of entries overlaps with every claim quorum, so at least one of them knows of any claim that is acted on.
constexpr std::size_t heartbeatQuorum(std::size_t entryCount)
{
    // Without entries, a quorum of 1 is never reached.
    return entryCount == 0 ? 1 : entryCount - claimQuorum(entryCount) + 1;
}

/**
 * Decides whether the control stream replica of this process is recent enough to act on.
 *
 * A confirmation is a time. Every record that was on the log at that time, and that some process had acted on, has been applied
 * by this process. There are two kinds. A log confirmation is the start of a complete read of the log, by this process or by an
 * entry that reported it. A heartbeat confirmation is the latest time since which a heartbeat quorum of entries answered pings,
 * where only entries count that had not applied more records than this process, and this process may count itself; with fewer
 * than two entries, only log confirmations count.
 *
 * A confirmation remains valid for a fixed time, the isolation bound. A process is fresh while it has a valid confirmation.
 *
 * A process that is not fresh starts no tasks and admits no jobs. A process that claims shards waits for the same isolation
 * bound before it acts on the claim, so that the previous owner has stopped by then. All times are on the local steady clock.
 */
class freshness_tracker
{
public:
    /// `isolationBound` is the time for which a confirmation remains valid. `time` must outlive this object.
    freshness_tracker(const time_source &time, microseconds isolationBound);

    /// Handles a complete read of the log by this process that started at `readStart` and whose records have been applied.
    void handleLogRead(steady_time readStart);

    /// Handles the answer of an entry to a ping. It counts as a confirmation only while this process has applied all records
    /// that the entry had applied. Ignores answers to older pings than the latest answered one, and answers
    /// whose echoed send time is later than now, which this process cannot have sent.
    void handlePong(const std::string &entry, const pong &answer);

    /// Sets the names of all other entries, and whether this process is itself an entry.
    void setEntries(std::vector<std::string> others, bool selfIsEntry);

    /// Sets the offset up to which this process has applied the control stream.
    void setAppliedOffset(std::uint64_t offset);

    /// Returns the time at which this process stops being fresh unless a later confirmation arrives.
    steady_time freshUntil() const;

    /// Returns whether this process may act now.
    bool isFresh() const;

    /// Returns the latest known start of a complete log read whose records have all been applied here; steady_time::min() if
    /// there is none.
    steady_time latestLogConfirmation() const;

private:
    /// Content of the latest pong from an entry.
    struct received_pong {
        /// When the answered ping was sent.
        steady_time sent;
        /// Start of the log read that the entry reported; only valid if `hasLogConfirmation`.
        steady_time logConfirmation;
        /// Offset up to which the entry had applied the control stream.
        std::uint64_t offset = 0;
        bool hasLogConfirmation = false;
    };

    /// Returns the latest time T such that a heartbeat quorum answered pings that were sent at or after T; steady_time::min() if
    /// there is none or there are fewer than two entries. Entries that had applied more records than this process do not count.
    /// `countSelf` adds this process to the entries that answered, as if it had answered a ping sent now.
    steady_time latestHeartbeatConfirmation(bool countSelf) const;

    const time_source &m_time;
    microseconds m_isolationBound;
    /// Start of the latest complete log read by this process.
    steady_time m_latestLogReadStart = steady_time::min();
    std::uint64_t m_appliedOffset = 0;
    std::vector<std::string> m_otherEntries;
    bool m_selfIsEntry = false;
    /// Whether this process counts towards the heartbeat quorum. An entry that has just started does not, because it may have
    /// lost records that it acknowledged before the restart. It counts after its first complete log read, or its first heartbeat
    /// confirmation without itself.
    bool m_selfCounts = false;
    std::map<std::string, received_pong> m_latestPongs;
};

}

#endif
