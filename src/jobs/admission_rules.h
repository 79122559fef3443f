#ifndef AZUREMOOR_JOBS_ADMISSION_RULES_H
#define AZUREMOOR_JOBS_ADMISSION_RULES_H

#include <string>

#include "fleet/fleet_state.h"
#include "jobs/owned_job.h"
#include "jobs/runtime_estimator.h"
#include "jobs/task_placer.h"

namespace azuremoor
{

/// Limits on the issue time and the deadline of a submission.
struct admission_bounds {
    /// Submissions issued longer ago than this are refused.
    microseconds deduplicationWindow = std::chrono::minutes(10);
    /// Submissions whose deadline is further in the future than this are refused.
    microseconds maxDeadline = std::chrono::minutes(5);
    /// Submissions issued further in the future than this, by the clock of the entry, are refused.
    microseconds clockSkew = milliseconds(500);
};

/// Checks whether an owner can accept a submission, and explains refusals to callers. The checks change no state.
class admission_rules
{
public:
    admission_rules(
        const time_source &time, admission_bounds bounds, const fleet_state &fleet, task_placer &placer, const runtime_estimator &runtimes);

    /// Returns why the issue time or the deadline of the submission is not accepted, or an empty string if both are.
    std::string lifetimeError(const job_request &request) const;

    /// Returns why no worker of the fleet can ever run the task, or an empty string if one may be able to.
    std::string unschedulableReason(const owned_task &task) const;

    /// Returns whether the job is expected to miss its deadline. For each waiting task, the estimate multiplies the mean run
    /// time of its class by the number of tasks per slot: the waiting tasks of the class and all unfinished tasks of the job. Classes
    /// without a known run time or without slots are skipped.
    bool isExpectedToMissDeadline(const owned_job &job) const;

private:
    const time_source &m_time;
    admission_bounds m_bounds;
    const fleet_state &m_fleet;
    task_placer &m_placer;
    const runtime_estimator &m_runtimes;
};

}

#endif
