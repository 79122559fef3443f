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

/// How far an entry is with a shard.
enum class shard_state : std::uint8_t {
    not_owned,
    /// Owned by the log, but the predecessor's starts are not yet fenced off and known.
    recovering,
    serving,
    /// Owned and stopped, while the table goes to the successor.
    handing_over,
};

/// Bounds that decide how far evidence reaches.
struct shard_recovery_settings {
    /// Bound within which a process that is cut off stops acting.
    microseconds isolationBound = milliseconds(1000);
    /// Largest difference between the clocks of two nodes.
    microseconds clockSkew = milliseconds(500);
    /// Time for which a recovering owner waits for silent agents.
    microseconds ledgerTimeout = milliseconds(700);
    protocol_rules rules;
};

/// What is known of one submission from the ledgers.
struct submission_evidence {
    std::map<std::uint32_t, ledger_entry> tasks;
    bool closed = false;
    /// Deadline of the closed job.
    unix_time closedUntil;
};

/**
 * Follows, at one entry, the ownership of each shard through recovery, service and hand-over.
 *
 * After a takeover a shard is served only when the claim is known to a quorum of entries, and every agent has answered the
 * recovery query or stayed silent beyond a grace. Where evidence is missing, a horizon says which unknown submissions may have
 * run under a predecessor: those issued before the last moment at which one that is cut off may have acted.
 */
class shard_state_tracker
{
public:
    shard_state_tracker(const time_source &time,
                        shard_recovery_settings settings,
                        const control_stream_replica &stream,
                        const heartbeat_monitor &heartbeats,
                        const ownership_manager &keeper);

    /// Notes changes of ownership. Returns the shards whose state changed.
    std::vector<std::uint32_t> tick();

    /// Returns how far this entry is with the shard.
    shard_state state(std::uint32_t shard) const;

    /// Returns the epoch under which this entry owns the shard; 0 when it does not.
    std::uint64_t epoch(std::uint32_t shard) const;

    /// Returns the owned shards with their epochs, for a recovery query.
    std::vector<shard_epoch> ownedShards() const;

    /// Notes the complete answer of an agent to the recovery query for a shard.
    void recordLedger(std::uint32_t shard, std::uint64_t epoch, const std::string &agent, std::uint64_t incarnation);

    /// Returns whether the agent has answered for the shard under its present epoch.
    bool hasLedger(std::uint32_t shard, const std::string &agent, std::uint64_t incarnation) const;

    /// Returns the moment before which unknown submissions of the shard may have been issued to a predecessor and run.
    std::optional<unix_time> evidenceLostBefore(std::uint32_t shard) const;

    /// Begins to hand the shard over.
    void beginHandover(std::uint32_t shard);

    /// Returns to service after a hand-over that did not come about.
    void cancelHandover(std::uint32_t shard);

    /// Takes over the horizon of a predecessor that transferred its table over.
    void inheritEvidenceLostBefore(std::uint32_t shard, std::optional<unix_time> lostBefore);

    /// Tells that the table of the predecessor has arrived complete, so that a transferred-over claim can be served at once.
    void recordTable(std::uint32_t shard, std::uint64_t previousEpoch);

private:
    struct shard_view {
        shard_state state = shard_state::not_owned;
        std::uint64_t epoch = 0;
        bool takenOver = false;
        /// When this entry found the claim to be known to a quorum, by the steady and by the wall clock. A predecessor that is cut off
        /// goes on for at most the isolation bound from then.
        std::optional<steady_time> quorumReachedAt;
        unix_time quorumReachedUnix;
        /// Agents, with their incarnations, whose answers are needed.
        std::map<std::string, std::uint64_t> expectedAgents;
        std::set<std::pair<std::string, std::uint64_t>> answeredAgents;
        std::optional<unix_time> inheritedEvidenceLostBefore;
        /// Epoch of the predecessor whose table is at hand; 0 for none.
        std::uint64_t tableEpoch = 0;
    };

    bool updateShard(std::uint32_t shard, shard_view &view);
    void startOwnership(std::uint32_t shard, shard_view &view);
    bool isRecovered(shard_view &view) const;
    unix_time predecessorFencedAt(const shard_view &view) const;
    bool allAnswered(const shard_view &view) const;

    const time_source &m_time;
    shard_recovery_settings m_settings;
    const control_stream_replica &m_stream;
    const heartbeat_monitor &m_heartbeats;
    const ownership_manager &m_keeper;
    std::array<shard_view, SHARD_COUNT> m_shards;
};

}

#endif
