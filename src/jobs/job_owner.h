#ifndef AZUREMOOR_JOBS_JOB_OWNER_H
#define AZUREMOOR_JOBS_JOB_OWNER_H

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "fleet/peer_outbox.h"
#include "jobs/delivery_notifier.h"
#include "jobs/job_finalizer.h"
#include "jobs/job_observer.h"
#include "jobs/job_owner_settings.h"
#include "jobs/job_replies.h"
#include "jobs/job_table.h"
#include "jobs/ledger_collector.h"
#include "jobs/ledger_recovery.h"
#include "jobs/owner_counters.h"
#include "jobs/shard_handover.h"
#include "jobs/shard_state_tracker.h"
#include "jobs/submission_admission.h"
#include "jobs/task_tracker.h"

namespace azuremoor
{

/// Objects of the entry that a job owner uses. All must outlive it.
struct job_owner_environment {
    const time_source &time;
    const control_stream_replica &stream;
    const freshness_tracker &guard;
    const heartbeat_monitor &heartbeats;
    ownership_manager &keeper;
    shard_state_tracker &shardStates;
    peer_outbox &outbox;
    decision_journal &journal;
    job_observer &observer;
};

/**
 * Manages the jobs of the shards that this entry owns: admits them, tracks their tasks, replies to callers, and stores the replies.
 *
 * A repeated submission waits for the reply of the stored job, or gets that reply at once if the job is closed. A task that a previous
 * owner may have started is not started again. The outcome not_run is reported only after an agent has recorded in its ledger that the
 * submission is closed, so that no later owner starts the task. task_placer chooses the worker for each task.
 *
 * A job is admitted by submission_admission, which takes over earlier starts through ledger_recovery. task_tracker moves its tasks from
 * waiting to placed to ended, and job_finalizer closes it and replies. shard_handover moves it to the next owner of its shard. This class
 * handles the messages and the passing of time, which drive a job from one of these steps to the next.
 */
class job_owner
{
public:
    job_owner(job_owner_environment environment, job_owner_settings settings);

    /// Handles a new connection to an agent. If the agent was restarted, its placed tasks end as may_have_run.
    void connectAgent(const hello &agent);

    /// Handles the loss of the connection to an agent. Its tasks stay placed until agentGrace has elapsed.
    void disconnectAgent(const std::string &agent);

    /// Handles a message from an entry or an agent. Messages that are not meant for owners are ignored.
    void handle(const std::string &peer, const message &value);

    /// Runs the periodic work: configuration and ownership changes, table transfers, ledger queries, agent timeouts, job deadlines,
    /// delivery notices, expiry, and placement.
    void tick();

    /// Places waiting tasks if a handled message made that possible. Called once after each batch of messages.
    void flush();

    /// Returns whether the process can stop: no job is open, and no shard is owned. Shards that cannot be transferred, because no other
    /// entry is live or the log cannot be read, are ignored.
    bool canStop() const;

    const task_placer &placer() const;

    /// Returns the number of stored jobs, and the number of those that are not closed.
    std::size_t jobCount() const;
    std::size_t openJobCount() const;

    const owner_counters &counters() const;

    /// Returns the job, or nullptr if it is not stored here.
    const owned_job *find(const std::string &jobId) const;

    /// Returns one line per task that describes its state to an operator.
    std::vector<std::string> explain(const owned_job &job);

private:
    void handleMessage(const std::string &peer, const forwarded_submission &value);
    void handleMessage(const std::string &peer, const forwarded_query &value);
    void handleMessage(const std::string &peer, const upstream_status &value);
    void handleMessage(const std::string &peer, const grant &value);
    void handleMessage(const std::string &peer, const task_results &value);
    void handleMessage(const std::string &peer, const revoke_results &value);
    void handleMessage(const std::string &peer, const submission_closed &value);
    void handleMessage(const std::string &peer, const ledger_chunk &value);
    void handleMessage(const std::string &peer, const table_handover &value);
    void handleMessage(const std::string &peer, const handover_received &value);
    template<typename Other>
    void handleMessage(const std::string &, const Other &)
    {
    }

    /// Ends the tasks placed on the agent as may_have_run.
    void giveUpPlacements(const std::string &agent, const std::string &reason);

    void tickShardStates();
    void tickScheduledJobs();
    void tickAgents();
    void tickExpiry();
    void tickConfiguration();

    job_owner_environment m_environment;
    const time_source &m_time;
    job_owner_settings m_settings;
    shard_state_tracker &m_shardStates;
    peer_outbox &m_outbox;

    owner_counters m_counters;
    job_table m_jobs;
    task_tracker m_tasks;
    ledger_collector m_ledgers;
    delivery_notifier m_deliveryNotifier;
    job_finalizer m_finalizer;
    ledger_recovery m_recovery;
    submission_admission m_admission;
    shard_handover m_handover;
    std::uint64_t m_configurationVersion = 0;
    /// Epoch of each shard at its last change of ownership; 0 if it is not owned.
    std::array<std::uint64_t, SHARD_COUNT> m_lastEpochs{};
    bool m_placementNeeded = false;
};

}

#endif
