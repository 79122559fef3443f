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

/// What an upstream says of itself to the agent beside it.
struct upstream_announcement {
    std::string name;
    std::string url;
    std::vector<label> labels;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    task_shape capacity;

    bool operator==(const upstream_announcement &) const = default;
};

/// One request to the upstream.
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

/// Where an agent's decisions go. The daemon wires it to sockets, tests to fakes.
class worker_outbox : public peer_outbox
{
public:
    /// Starts a request to the upstream. Its end is reported by worker_agent::finishCall, exactly once.
    virtual void callUpstream(const upstream_call &call) = 0;
};

/// Names and limits of one agent.
struct worker_agent_settings {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string rack;
    /// Time without an announcement after which the upstream counts as vanished.
    microseconds announcementTimeout = seconds(3);
    /// Part of that time which is kept as a margin right before a start.
    microseconds announcementMargin = milliseconds(300);
    ledger_limits ledger;
    protocol_rules rules;
};

/// What an agent has counted since it started.
struct worker_counters {
    std::uint64_t started = 0;
    std::uint64_t ended = 0;
    std::uint64_t refusedStaleEpoch = 0;
    std::uint64_t refusedIsolated = 0;
    std::uint64_t refusedRevoked = 0;
    std::uint64_t refusedNoCapacity = 0;
    std::uint64_t refusedNoUpstream = 0;
    std::uint64_t refusedPastDeadline = 0;
    std::uint64_t duplicateStarts = 0;
    std::uint64_t wrongIncarnation = 0;
    std::uint64_t creditsGranted = 0;
    std::uint64_t creditsReturned = 0;
};

/**
 * Decides for the process beside one upstream: which starts to accept, whom to grant free slots, what to remember.
 *
 * It never starts a task that its ledger knows, refuses owners whose epoch is below the fence, and starts nothing while it is
 * not fresh. Every refusal that it reports as not run is remembered, so that a copy still under way is refused as well.
 */
class worker_agent
{
public:
    /// Takes the clock, the settings, the agreed state, the guard that tells whether that state may be acted on, and the outbox.
    worker_agent(const time_source &time,
                 worker_agent_settings settings,
                 const fleet_state &fleet,
                 const freshness_tracker &guard,
                 worker_outbox &outbox);

    /// Notes that a connection to the entry is up and tells it of the upstream.
    void connectEntry(const std::string &entry);

    /// Notes that the connection is gone and takes back the entry's credits.
    void disconnectEntry(const std::string &entry);

    /// Handles a message from an entry. Messages that do not concern agents are ignored.
    void handle(const std::string &entry, const message &value);

    /// Notes an announcement of the upstream, which is also its heartbeat.
    void handleAnnouncement(const upstream_announcement &announcement);

    /// Notes that the upstream is leaving: no new work from now on.
    void handleDeparture();

    /// Notes the end of a request to the upstream.
    void finishCall(std::uint64_t callId, task_outcome outcome);

    /// Does what is due by the clock.
    void tick();

    /// Begins a planned stop: nothing new is started.
    void beginDrain();

    /// Returns whether no task runs any more.
    bool isIdle() const;

    /// Returns the ledger, for a planned stop and for state dumps.
    const worker_ledger &ledger() const;

    /// Returns whether new work is accepted, given the upstream's announcements and the operators' drains.
    bool acceptsWork() const;

    /// Returns the last announcement, if there was any.
    const std::optional<upstream_announcement> &upstream() const;

    /// Returns the account of the upstream's capacity.
    const capacity_tracker &capacity() const;

    /// Returns the counters.
    const worker_counters &counters() const;

    /// Returns the lowest epoch that is accepted for the shard: the highest that a message or the control stream told of.
    std::uint64_t minimumEpoch(std::uint32_t shard) const;

    /// Returns whether the fleet knows of this incarnation. Before that, it would not be asked for what it started.
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
        /// When credits that were not used are taken back.
        steady_time creditDeadline;
        std::vector<shape_count> pendingDemand;
        /// When the entry's oldest waiting task began to wait, by the local clock.
        steady_time oldestWaitStart;
    };

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
    std::optional<task_result> startTask(const std::string &entry, const start_tasks &batch, const task_start &start);
    static std::optional<task_result> answerFromLedger(const worker_ledger::task_record &known, const task_start &start);
    std::string refusalReason(const start_tasks &batch, const task_start &start, const worker_ledger::task_record *known, bool hadCredit);
    task_result refuse(const start_tasks &batch, const task_start &start, std::string reason);
    void startCall(const start_tasks &batch, const task_start &start);
    bool spendCredit(const std::string &entry, const task_shape &resources);
    bool raiseFence(std::uint32_t shard, std::uint64_t epoch, const std::string &owner);

    void grantCredits();
    bool grantCredit(const std::string &entry,
                     entry_credit_state &creditState,
                     std::map<std::pair<std::string, task_shape>, std::uint32_t> &granted);
    void releaseCredits(entry_credit_state &creditState);
    void expireCredits();
    void applyDemand(const std::string &entry, const demand &value);
    bool hasFreshState() const;
    upstream_status status() const;
    void updateOperatorDrain();
    void broadcastStatus();
    std::uint32_t grantableSlots() const;

    const time_source &m_time;
    worker_agent_settings m_settings;
    const fleet_state &m_fleet;
    const freshness_tracker &m_guard;
    worker_outbox &m_outbox;
    worker_ledger m_ledger;
    capacity_tracker m_capacity;
    worker_counters m_counters;

    std::optional<upstream_announcement> m_upstream;
    steady_time m_upstreamDeadline;
    /// Nothing is started before this moment, since the upstream refused a connection.
    steady_time m_upstreamRetryAt = steady_time::min();
    bool m_isLeaving = false;
    bool m_isDraining = false;
    /// Whether operators drain the upstream, as of the last tick.
    bool m_isDrainedByOperator = false;
    bool m_wasAccepting = false;

    std::map<std::string, entry_credit_state> m_entries;
    std::array<shard_fence, SHARD_COUNT> m_fences;
    std::map<std::uint64_t, active_call> m_activeCalls;
    std::uint64_t m_nextCallId = 1;
};

}

#endif
