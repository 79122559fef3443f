#ifndef AZUREMOOR_JOBS_JOB_OWNER_H
#define AZUREMOOR_JOBS_JOB_OWNER_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "base/protocol_rules.h"
#include "fleet/peer_outbox.h"
#include "jobs/admission_rules.h"
#include "jobs/delivery_notices.h"
#include "jobs/evidence_collector.h"
#include "jobs/job_replies.h"
#include "jobs/job_table.h"
#include "jobs/parked_submissions.h"
#include "jobs/runtime_estimator.h"
#include "jobs/shard_custody.h"
#include "jobs/table_transfer.h"
#include "jobs/task_placements.h"
#include "jobs/task_placer.h"

namespace azuremoor
{

/// Bounds of an owner's table and times.
struct job_owner_settings {
    std::string name;
    std::string dataCentre;
    admission_bounds bounds;
    /// Time for which a disconnected agent may return before its tasks are given up.
    microseconds agentGrace = seconds(3);
    std::size_t maxJobs = 200'000;
    std::size_t maxWaitingTasks = 100'000;
    protocol_rules rules;
};

/// What an owner has counted since it started.
struct owner_counters {
    std::uint64_t submissions = 0;
    std::uint64_t admitted = 0;
    std::uint64_t attached = 0;
    std::uint64_t refused = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t requeued = 0;
    std::uint64_t revocations = 0;
    std::uint64_t closures = 0;
    std::uint64_t lateResults = 0;
    std::uint64_t adopted = 0;
    std::uint64_t uncertain = 0;
    std::uint64_t handedOver = 0;
};

/// Is told of the end of every job and task, for metrics.
class job_observer
{
public:
    virtual ~job_observer() = default;

    /// A task ended after waiting for a slot and running for the given times.
    virtual void taskEnded(verdict outcome, microseconds waited, microseconds ran) = 0;

    /// A job ended after the given time, in which the longest of its tasks ran as long as given.
    virtual void jobEnded(reply_kind kind, microseconds took, microseconds longestRun) = 0;
};

/// The objects of an entry that a job owner works with.
struct job_owner_environment {
    const time_source &time;
    const control_stream &stream;
    const freshness_guard &guard;
    const heartbeat_monitor &heartbeats;
    ownership_keeper &keeper;
    shard_custody &custody;
    peer_outbox &outbox;
    decision_journal &journal;
    job_observer &observer;
};

/**
 * Owns the jobs of the shards that this entry holds: admits, follows and answers them, and remembers the answers.
 *
 * A submission that is known attaches to the running job or gets the stored answer. Nothing is started that a predecessor may have
 * started. A reply that says not run is given only after an agent has remembered that the submission is closed, so that no later
 * owner starts a copy of it. Which worker gets which task is left to task_placer.
 */
class job_owner : private start_source
{
public:
    job_owner(job_owner_environment environment, job_owner_settings settings);

    /// Notes a connection to an agent.
    void connectAgent(const hello &agent);

    /// Notes that the connection to an agent is gone.
    void disconnectAgent(const std::string &agent);

    /// Handles a message from an entry or an agent. Messages that do not concern owners are ignored.
    void handle(const std::string &peer, const message &value);

    /// Does what is due by the clock.
    void tick();

    /// Starts what can be started after the messages that were handled. Called once for a batch of messages.
    void flush();

    /// Returns whether nothing is left that would be lost with this process.
    bool isEmpty() const;

    /// Returns the placer, for state dumps and metrics.
    const task_placer &placer() const;

    /// Returns the number of jobs that are remembered, and of those not yet closed.
    std::size_t jobCount() const;
    std::size_t openJobCount() const;

    /// Returns the counters.
    const owner_counters &counters() const;

    /// Returns the job, or null when it is not known.
    const owned_job *find(const std::string &jobId) const;

    /// Returns how the tasks of a job stand and why, in words for an operator.
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

    // Admission
    void admit(const waiting_request &from, const job_request &request);
    void admitKnown(owned_job &job, const waiting_request &from, const job_request &request);
    bool supersedes(const owned_job &job, const job_request &request) const;
    void create(const waiting_request &from, const job_request &request);
    owned_job &addJob(const job_request &request);
    void applyEvidence(owned_job &job);
    bool mayHaveRunBefore(const owned_job &job) const;
    const submission_evidence *evidenceFor(owned_job &job);
    void adoptRunning(owned_job &job, std::uint32_t index, const ledger_entry &entry);
    bool refuseIfHopeless(owned_job &job);
    void refuse(owned_job &job, std::uint32_t status, milliseconds retryAfter, const std::string &reason);
    void replyRefusal(const waiting_request &to, const job_request &request, const refusal_reason &reason);
    void park(const std::string &entry, const forwarded_submission &submission);
    void admitParked(std::uint32_t shard);

    // Tasks
    prepared_start prepareStart(const waiting_task &task, const worker_view &worker) override;
    void assignClasses(owned_job &job);
    void enqueue(owned_job &job, std::uint32_t index);
    void endTask(owned_job &job, std::uint32_t index, task_outcome outcome);
    void requeue(owned_job &job, std::uint32_t index);
    void leaveAgent(owned_job &job, std::uint32_t index);
    void giveUpPlacements(const std::string &agent, const std::string &reason);
    void applyLedger(const collected_ledger &ledger);
    void applyLedgerEntry(owned_job &job, const ledger_entry &entry);
    void takeBackMissing(const collected_ledger &ledger, const std::set<placed_task> &seen);

    // Replies
    void advance(owned_job &job);
    void finish(owned_job &job);
    void settle(owned_job &job, unix_time settleBy, bool awaitsRunning, const std::string &reason);
    void takeBack(owned_job &job);
    void checkSettled(owned_job &job);
    bool hasUnrunTasks(const owned_job &job) const;
    void sendClosure(owned_job &job);
    void close(owned_job &job);
    void noteFailure(const owned_job &job, bool complete);
    void sendReply(const waiting_request &to, const owned_job &job) const;

    // Custody
    void tickCustody();
    void dropShard(std::uint32_t shard);
    void installTable(std::uint32_t shard, shard_table table);
    void installJob(transferred_job handed);
    void sendTable(std::uint32_t shard, const std::string &target);
    transferred_job handedJob(const owned_job &job) const;
    void resumeShard(std::uint32_t shard);
    void tickMoves();

    // Clock
    void tickDue();
    void tickAgents();
    void tickExpiry();
    void tickConfiguration();

    submission_key keyOf(const owned_job &job) const;

    job_owner_environment m_environment;
    const time_source &m_time;
    job_owner_settings m_settings;
    shard_custody &m_custody;
    peer_outbox &m_outbox;

    task_placer m_placer;
    evidence_collector m_evidence;
    table_transfer m_transfer;
    runtime_estimator m_runtimes;
    admission_rules m_rules;
    job_table m_jobs;
    task_placements m_placed;
    parked_submissions m_parked;
    delivery_notices m_delivered;
    std::uint64_t m_configurationVersion = 0;
    std::array<std::uint64_t, SHARD_COUNT> m_installedEpochs{};
    std::uint64_t m_sequence = 0;
    bool m_placementDue = false;
    std::size_t m_openJobs = 0;
    owner_counters m_counters;
};

}

#endif
