#ifndef AZUREMOOR_JOBS_ADMISSION_RULES_H
#define AZUREMOOR_JOBS_ADMISSION_RULES_H

#include <string>

#include "fleet/fleet_state.h"
#include "jobs/owned_job.h"
#include "jobs/runtime_estimator.h"
#include "jobs/task_placer.h"

namespace azuremoor
{

/// Bounds on the times of submissions.
struct admission_bounds {
    /// Oldest issue time that is accepted, from now.
    microseconds deduplicationWindow = std::chrono::minutes(10);
    /// Furthest deadline that is accepted, from now.
    microseconds maxDeadline = std::chrono::minutes(5);
    microseconds clockSkew = milliseconds(500);
};

/// Tells which submissions an owner cannot take, with reasons for people. It changes nothing.
class admission_rules
{
public:
    admission_rules(
        const time_source &time, admission_bounds bounds, const fleet_state &fleet, task_placer &placer, const runtime_estimator &runtimes);

    /// Returns why the times of the submission are not accepted, or an empty text.
    std::string lifetimeError(const job_request &request) const;

    /// Returns why the task can never run on this fleet, or an empty text.
    std::string unschedulableReason(const owned_task &task) const;

    /// Returns whether the tasks that wait already would make the job miss its deadline, by the run times that were learned.
    bool missesDeadline(const owned_job &job) const;

private:
    const time_source &m_time;
    admission_bounds m_bounds;
    const fleet_state &m_fleet;
    task_placer &m_placer;
    const runtime_estimator &m_runtimes;
};

}

#endif
