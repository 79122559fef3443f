#ifndef AZUREMOOR_JOBS_SHARD_STATE_TRACKER_H
#define AZUREMOOR_JOBS_SHARD_STATE_TRACKER_H

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/protocol_rules.h"
#include "base/submission_id.h"
#include "fleet/control_stream_replica.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/ownership_manager.h"

namespace azuremoor
{

/// State of a shard at one entry.
enum class shard_state : std::uint8_t {
    not_owned,
    /// Owned according to the log. The previous owner may still start tasks, or not all tasks that it started are known.
    recovering,
    serving,
    /// Owned but no longer served, while its table is sent to the next owner.
    handing_over,
};

/// Time limits for the recovery of shards.
struct shard_recovery_settings {
    /// Time after which an entry that is cut off from the log and from the quorum of entries has stopped starting tasks.
    microseconds isolationBound = milliseconds(1000);
    /// Maximum difference between the clocks of two nodes.
    microseconds clockSkew = milliseconds(500);
    /// Time for which a recovering owner waits for the ledgers of agents, once a quorum of entries knows the log record that makes it
    /// the owner.
    microseconds ledgerTimeout = milliseconds(700);
    /// All enabled except in tests, which disable single rules.
    protocol_rules rules;
};

/// What the ledgers of agents show about one attempt of a submission.
struct submission_evidence {
    std::map<std::uint32_t, ledger_entry> tasks;
    bool closed = false;
    /// Deadline of the job, if closed.
    unix_time deadline;
};

/**
 * Tracks the state of each shard at one entry: recovery, service, and handover.
 *
 * After a takeover, a shard is served once a quorum of entries knows the log record that makes this entry the owner, and every agent
 * has sent its ledger or ledgerTimeout has elapsed. If ledgers are missing, an unknown submission may have run under a previous owner
 * if it was issued before the time that evidenceLostBefore returns. That is the time by which an isolated previous owner has stopped
 * starting tasks, or the time at which a member's ledger was lost if that was earlier, plus clockSkew.
 */
class shard_state_tracker
{
public:
    shard_state_tracker(const time_source &time,
                        shard_recovery_settings settings,
                        const control_stream_replica &stream,
                        const heartbeat_monitor &heartbeats,
                        const ownership_manager &keeper);

    /// Applies ownership changes and recovery progress. Returns the shards whose state changed.
    std::vector<std::uint32_t> tick();

    shard_state state(std::uint32_t shard) const;

    /// Returns the epoch under which this entry owns the shard, or 0 if it does not own it.
    std::uint64_t epoch(std::uint32_t shard) const;

    /// Returns the owned shards with their epochs.
    std::vector<shard_epoch> ownedShards() const;

    /// Records that the agent has sent its complete ledger of the shard. Ignored if the epoch is not current.
    void recordLedger(std::uint32_t shard, std::uint64_t epoch, const std::string &agent, std::uint64_t incarnation);

    /// Returns whether the agent has sent its ledger of the shard under the current epoch.
    bool hasLedger(std::uint32_t shard, const std::string &agent, std::uint64_t incarnation) const;

    /// Returns a wall-clock time: an unknown submission that was issued before it may have run under a previous owner. Empty if no
    /// evidence is missing. After a handover, this is the value that the previous owner sent.
    std::optional<unix_time> evidenceLostBefore(std::uint32_t shard) const;

    /// Stops serving the shard for a handover.
    void beginHandover(std::uint32_t shard);

    /// Serves the shard again after a failed handover.
    void cancelHandover(std::uint32_t shard);

    /// Stores the evidenceLostBefore value that the previous owner sent with its table.
    void inheritEvidenceLostBefore(std::uint32_t shard, std::optional<unix_time> lostBefore);

    /// Records that the complete table of the previous owner has arrived, so that the shard can be served without recovery after the
    /// handover. An epoch of 0 means that no complete table is present.
    void recordTable(std::uint32_t shard, std::uint64_t previousEpoch);

private:
    struct shard_view {
        shard_state state = shard_state::not_owned;
        std::uint64_t epoch = 0;
        /// Whether the shard is owned without the table of its previous owner, so that it needs recovery.
        bool takenOver = false;
        /// When this entry learned that a quorum of entries knows the log record that makes it the owner, by the steady clock and by
        /// the wall clock. An isolated previous owner has stopped starting tasks at most isolationBound later.
        std::optional<steady_time> quorumReachedSteady;
        unix_time quorumReachedUnix;
        /// Agents whose ledgers are needed, with their incarnations.
        std::map<std::string, std::uint64_t> expectedAgents;
        std::set<std::pair<std::string, std::uint64_t>> ledgersReceivedFrom;
        std::optional<unix_time> inheritedEvidenceLostBefore;
        /// Epoch of the previous owner whose complete table has arrived; 0 for none.
        std::uint64_t tableEpoch = 0;
    };

    bool updateShard(std::uint32_t shard, shard_view &view);
    void startOwnership(std::uint32_t shard, shard_view &view);
    /// Records when the quorum is reached. Returns whether the recovery is complete.
    bool updateRecovery(shard_view &view) const;
    /// Returns the time by which the previous owner has stopped starting tasks, or the current time until the quorum is reached.
    unix_time previousOwnerStoppedBy(const shard_view &view) const;
    bool hasAllLedgers(const shard_view &view) const;

    const time_source &m_time;
    shard_recovery_settings m_settings;
    const control_stream_replica &m_stream;
    const heartbeat_monitor &m_heartbeats;
    const ownership_manager &m_keeper;
    std::array<shard_view, SHARD_COUNT> m_shards;
};

}

#endif
