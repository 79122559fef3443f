#ifndef AZUREMOOR_JOBS_SUBMISSION_ADMISSION_H
#define AZUREMOOR_JOBS_SUBMISSION_ADMISSION_H

#include <cstdint>
#include <string>

#include "base/decision_journal.h"
#include "fleet/freshness_tracker.h"
#include "fleet/peer_outbox.h"
#include "jobs/admission_rules.h"
#include "jobs/deferred_submissions.h"
#include "jobs/job_finalizer.h"
#include "jobs/job_owner_settings.h"
#include "jobs/job_replies.h"
#include "jobs/job_table.h"
#include "jobs/ledger_recovery.h"
#include "jobs/owner_counters.h"
#include "jobs/task_tracker.h"

namespace azuremoor
{

/// Objects of the owner that a submission admission uses. All must outlive it.
struct submission_admission_environment {
    const time_source &time;
    const fleet_state &fleet;
    const freshness_tracker &freshness;
    job_table &jobs;
    task_tracker &tasks;
    job_finalizer &finalizer;
    ledger_recovery &recovery;
    peer_outbox &outbox;
    decision_journal &journal;
    owner_counters &counters;
};

/// Admits submissions: creates their jobs and queues the tasks, attaches repeated submissions to the stored job, or refuses them.
class submission_admission
{
public:
    submission_admission(const submission_admission_environment &environment, const job_owner_settings &settings);

    /// Handles a submission for a shard that is served.
    void admit(const waiting_request &from, const job_request &request);

    /// Holds a submission back until its shard is served. Refuses it if too many are held back.
    void defer(const std::string &entry, const forwarded_submission &submission);

    /// Handles the submissions that were held back for the shard.
    void admitDeferred(std::uint32_t shard);

private:
    void admitRepeated(owned_job &job, const waiting_request &from, const job_request &request);
    /// Returns whether the request is a later attempt that replaces the job. Only a closed job of which no task was run is replaced.
    bool isSupersededBy(const owned_job &job, const job_request &request) const;
    void createJob(const waiting_request &from, const job_request &request);
    /// Refuses a job whose team is unknown, or that would exceed a limit or is expected to miss its deadline. Finalizes, without a
    /// refusal, a job with a task that no worker can run; its reply is of the kind failed. Returns whether it did either.
    bool refuseIfInfeasible(owned_job &job);
    void refuse(owned_job &job, std::uint32_t status, milliseconds retryAfter, const std::string &reason);
    void replyRefusal(const waiting_request &to, const job_request &request, const refusal_reason &reason);

    const fleet_state &m_fleet;
    const freshness_tracker &m_freshness;
    job_table &m_jobs;
    task_tracker &m_tasks;
    job_finalizer &m_finalizer;
    ledger_recovery &m_recovery;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    owner_counters &m_counters;
    job_owner_settings m_settings;
    admission_rules m_admissionRules;
    deferred_submissions m_deferred;
};

}

#endif
