#ifndef AZUREMOOR_WORKERS_WORKER_AGENT_H
#define AZUREMOOR_WORKERS_WORKER_AGENT_H

#include <array>
#include <map>
#include <optional>
#include <string>

#include "base/protocol_rules.h"
#include "base/submission_id.h"
#include "base/time_source.h"
#include "fleet/fleet_state.h"
#include "fleet/freshness_tracker.h"
#include "fleet/peer_outbox.h"
#include "messages/messages.h"
#include "workers/capacity_tracker.h"
#include "workers/worker_ledger.h"

namespace azuremoor
{

/// Announcement of an upstream to its agent; also the upstream's heartbeat.
struct upstream_announcement {
    std::string name;
    std::string url;
    std::vector<label> labels;
    /// Number of tasks that the upstream runs at the same time.
    std::uint32_t slots = 0;
    /// Number of connections to the upstream, which limits the usable slots.
    std::uint32_t connections = 0;
    task_shape capacity;

    bool operator==(const upstream_announcement &) const = default;
};

/// Request to the upstream to run one task.
struct upstream_call {
    std::uint64_t callId = 0;
    std::string url;
    std::string jobId;
    std::uint32_t attempt = 1;
    std::uint32_t index = 0;
    std::string taskName;
    std::string payload;
    unix_time deadline;
};

/// Sends messages to entries and requests to the upstream.
class worker_outbox : public peer_outbox
{
public:
    /// Starts a request to the upstream. Its outcome must be passed to worker_agent::finishCall exactly once.
    virtual void callUpstream(const upstream_call &call) = 0;
};

/// Identity and limits of one agent.
struct worker_agent_settings {
    std::string name;
    /// Identifies the process of the agent; differs after each restart.
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string rack;
    /// Time without an announcement after which the upstream counts as absent.
    microseconds announcementTimeout = seconds(3);
    /// Safety margin before the end of that time, in which nothing is started any more.
    microseconds announcementMargin = milliseconds(300);
    ledger_limits ledger;
    protocol_rules rules;
};

/// Counters of an agent since its start, in tasks unless stated otherwise.
struct worker_counters {
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refusedStaleEpoch = 0;
    /// Refused because the fleet state was not fresh.
    std::uint64_t refusedIsolated = 0;
    /// Refused because the placement was blocked or the submission was closed.
    std::uint64_t refusedRevoked = 0;
    /// Refused because the worker's free capacity was too small or the ledger was full.
    std::uint64_t refusedNoCapacity = 0;
    std::uint64_t refusedNoUpstream = 0;
    std::uint64_t refusedPastDeadline = 0;
    std::uint64_t duplicateStarts = 0;
    /// Messages with starts, revocations or recovery queries for another incarnation of the agent.
    std::uint64_t wrongIncarnation = 0;
    /// Number of credits.
    std::uint64_t creditsGranted = 0;
    /// Number of credits. Does not include credits that the agent took back.
    std::uint64_t creditsReturned = 0;
};

/**
 * Makes the decisions of the agent of one upstream: which starts to accept, which entries get credits for free slots, and what to record
 * in the ledger.
 *
 * It never starts a task that its ledger lists as started, refuses starts whose epoch is below minimumEpoch() of the shard, and starts
 * nothing while its view of the fleet is not fresh. Each start that it refuses as not run is recorded, so that a copy of the start that
 * arrives later is refused as well. The protocol rules in the settings can disable each of these.
 *
 * This agent serves entries that place tasks with credits (start_tasks), and calls its worker the upstream. run_agent is the agent that
 * executes run orders (start_runs).
 */
class worker_agent
{
public:
    /// Keeps references to everything but the settings. The tracker tells whether the fleet state is fresh enough to act on it.
    worker_agent(const time_source &time,
                 worker_agent_settings settings,
                 const fleet_state &fleet,
                 const freshness_tracker &freshness,
                 worker_outbox &outbox);

    /// Handles a new connection to the entry, and sends it the status of the upstream.
    void connectEntry(const std::string &entry);

    /// Handles the loss of the connection to the entry, and takes back its credits.
    void disconnectEntry(const std::string &entry);

    /// Handles a message from an entry. Ignores messages that do not concern agents.
    void handle(const std::string &entry, const message &value);

    /// Handles an announcement of the upstream, which is also its heartbeat.
    void handleAnnouncement(const upstream_announcement &announcement);

    /// Handles the departure of the upstream: no new work is accepted until it announces itself again.
    void handleDeparture();

    /// Handles the outcome of a request to the upstream, and sends it to the current owner of the task's shard.
    void finishCall(std::uint64_t callId, task_outcome outcome);

    /// Expires ledger records and credits, and sends changes of status. Must be called periodically.
    void tick();

    /// Begins a planned stop: no further task is started.
    void beginStop();

    /// Returns whether no task is running.
    bool isIdle() const;

    /// Returns the ledger, to hand it over at a planned stop and for state dumps.
    const worker_ledger &ledger() const;

    /// Returns whether new work is accepted: the upstream announced itself recently and is not leaving, no operator drains it, no request
    /// failed to reach it recently, and the agent is registered and not stopping.
    bool acceptsWork() const;

    /// Returns the last announcement of the upstream, if any.
    const std::optional<upstream_announcement> &upstream() const;

    const capacity_tracker &capacity() const;

    const worker_counters &counters() const;

    /// Returns the lowest epoch that is accepted for the shard, which is the highest one seen in messages and in the fleet state.
    std::uint64_t minimumEpoch(std::uint32_t shard) const;

    /// Returns whether the fleet state lists this incarnation. Until then, nobody would query it for the tasks that it started.
    bool isRegistered() const;

private:
    struct active_call {
        submission_key key;
        std::uint32_t taskIndex = 0;
        std::uint32_t placementNumber = 0;
        task_shape resources;
    };

    struct entry_credit_state {
        std::map<task_shape, std::uint32_t> credits;
        /// Time at which unused credits are taken back.
        steady_time creditDeadline;
        /// Credits that the entry asked for and has not been granted.
        std::vector<shape_count> pendingDemand;
        /// Time on the local clock since which the entry's oldest waiting task has waited.
        steady_time oldestWaitStart;
    };

    /// Highest epoch of a shard that was seen in messages, and the entry that sent it.
    struct shard_fence {
        std::uint64_t epoch = 0;
        std::string owner;
    };

    void handleMessage(const std::string &entry, const demand &value);
    void handleMessage(const std::string &entry, const credit_return &value);
    void handleMessage(const std::string &entry, const start_tasks &value);
    void handleMessage(const std::string &entry, const revoke_tasks &value);
    void handleMessage(const std::string &entry, const close_submission &value);
    void handleMessage(const std::string &entry, const recovery_query &value);
    void handleMessage(const std::string &entry, const results_delivered &value);
    void handleMessage(const std::string &entry, const ledger_handover &value);
    template<typename Other>
    void handleMessage(const std::string &, const Other &)
    {
    }

    revoke_result revoke(const submission_key &key, const task_placement &placement);
    /// Starts a task. Returns a result to send back if it was refused or has ended before.
    std::optional<task_result> startTask(const std::string &entry, const start_tasks &batch, const task_start &start);
    static std::optional<task_result> answerFromLedger(const worker_ledger::task_record &record, const task_start &start);
    /// Returns why the start is refused, and counts it; empty if it is accepted.
    std::string refusalReason(const start_tasks &batch, const task_start &start, const worker_ledger::task_record *record, bool hadCredit);
    task_result refuse(const start_tasks &batch, const task_start &start, std::string reason);
    void startCall(const start_tasks &batch, const task_start &start);
    /// Removes one of the entry's credits for these resources, whose capacity stays reserved. Returns whether it had one.
    bool removeCredit(const std::string &entry, const task_shape &resources);
    /// Raises the fence of the shard to an epoch and sets its owner, also at an equal epoch. Returns false if the epoch is below the fence
    /// or the shard does not exist.
    bool raiseFence(std::uint32_t shard, std::uint64_t epoch, const std::string &owner);

    /// Grants the free capacity as credits, one at a time to the entry whose oldest task has waited longest.
    void grantCredits();
    bool grantCredit(const std::string &entry,
                     entry_credit_state &creditState,
                     std::map<std::pair<std::string, task_shape>, std::uint32_t> &granted);
    void releaseCredits(entry_credit_state &creditState);
    void expireCredits();
    void applyDemand(const std::string &entry, const demand &value);
    /// Returns whether the fleet state is fresh enough to act on it.
    bool hasFreshState() const;
    upstream_status status() const;
    void updateOperatorDrain();
    void broadcastStatus();
    std::uint32_t grantableSlots() const;

    const time_source &m_time;
    worker_agent_settings m_settings;
    const fleet_state &m_fleet;
    const freshness_tracker &m_freshness;
    worker_outbox &m_outbox;
    worker_ledger m_ledger;
    capacity_tracker m_capacity;
    worker_counters m_counters;

    std::optional<upstream_announcement> m_upstream;
    steady_time m_upstreamDeadline;
    /// Time before which nothing is started, because a request did not reach the upstream.
    steady_time m_upstreamRetryAt = steady_time::min();
    bool m_isLeaving = false;
    bool m_isStopping = false;
    /// Whether operators drain the upstream, as of the last tick or announcement.
    bool m_isDrainedByOperator = false;
    /// Whether work was accepted when the status was last sent to all entries.
    bool m_wasAccepting = false;

    std::map<std::string, entry_credit_state> m_entries;
    std::array<shard_fence, SHARD_COUNT> m_fences;
    std::map<std::uint64_t, active_call> m_activeCalls;
    std::uint64_t m_nextCallId = 1;
};

}

#endif
