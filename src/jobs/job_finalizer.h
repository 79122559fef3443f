#ifndef AZUREMOOR_JOBS_JOB_FINALIZER_H
#define AZUREMOOR_JOBS_JOB_FINALIZER_H

#include <string>

#include "base/decision_journal.h"
#include "base/protocol_rules.h"
#include "fleet/peer_outbox.h"
#include "jobs/delivery_notifier.h"
#include "jobs/job_observer.h"
#include "jobs/job_table.h"
#include "jobs/owner_counters.h"
#include "jobs/shard_state_tracker.h"
#include "jobs/task_tracker.h"

namespace azuremoor
{

/// Objects of the owner that a job finalizer uses. All must outlive it.
struct job_finalizer_environment {
    const time_source &time;
    const fleet_state &fleet;
    const shard_state_tracker &shardStates;
    job_table &jobs;
    task_tracker &tasks;
    delivery_notifier &deliveryNotifier;
    peer_outbox &outbox;
    decision_journal &journal;
    job_observer &observer;
    owner_counters &counters;
};

/**
 * Brings jobs to their end: finalizes them, has agents record the tombstones of submissions with tasks that were not run, and sends the
 * replies.
 */
class job_finalizer
{
public:
    job_finalizer(const job_finalizer_environment &environment, const protocol_rules &rules);

    /// Finishes an open job whose tasks have all ended, or closes a finalizing job if it is settled.
    void advance(owned_job &job);

    /// Ends waiting tasks as not_run with the reason, revokes unconfirmed placements, and requests a tombstone if tasks were not run. The
    /// job is closed by replyDeadline, which replaces its earlier one. Until then, the reply waits for tasks that are confirmed to run if
    /// awaitsRunning is set. Does nothing if the job is closed.
    void begin(owned_job &job, unix_time replyDeadline, bool awaitsRunning, const std::string &reason);

    /// Returns the reply deadline of a job that is refused or cancelled now.
    unix_time refusalDeadline(const owned_job &job) const;

    /// Asks another agent to record the tombstone of a finalizing job if the last one has not confirmed it in time.
    void repeatTombstoneRequest(owned_job &job);

    /// Sends the reply of a closed job, or the progress of one that is not closed.
    void sendReply(const waiting_request &to, const owned_job &job) const;

private:
    /// Begins finalizing if a task was not run, since that needs a tombstone; otherwise closes the job.
    void closeOrFinalize(owned_job &job);
    /// Closes the job if no outcome or tombstone is awaited any more, or the reply deadline has passed.
    void closeIfSettled(owned_job &job);
    /// Asks the next connected agent to record in its ledger that the submission is closed.
    void requestTombstone(owned_job &job);
    void close(owned_job &job);
    /// Notes the job in the decision journal, unless it is complete or was refused.
    void journalIfFailed(const owned_job &job, bool complete);

    const time_source &m_time;
    const fleet_state &m_fleet;
    const shard_state_tracker &m_shardStates;
    job_table &m_jobs;
    task_tracker &m_tasks;
    delivery_notifier &m_deliveryNotifier;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    job_observer &m_observer;
    owner_counters &m_counters;
    protocol_rules m_rules;
};

}

#endif
