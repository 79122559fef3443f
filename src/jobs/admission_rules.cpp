#include "jobs/admission_rules.h"

#include "base/submission_id.h"

namespace azuremoor
{

admission_rules::admission_rules(
    const time_source &time, admission_bounds bounds, const fleet_state &fleet, task_placer &placer, const runtime_estimator &runtimes)
    : m_time(time)
    , m_bounds(bounds)
    , m_fleet(fleet)
    , m_placer(placer)
    , m_runtimes(runtimes)
{
}

std::string admission_rules::lifetimeError(const job_request &request) const
{
    const unix_time now = m_time.unixNow();
    const unix_time deadline = fromUnixMilliseconds(request.deadlineMilliseconds);
    const std::optional<unix_time> issued = issueTime(request.id);
    if (issued && *issued > now + m_bounds.clockSkew) {
        return "the identifier was issued in the future; check the clock of the caller";
    }
    if (issued && *issued + m_bounds.deduplicationWindow < now) {
        return "the identifier is older than the deduplication window; nothing was started for this request";
    }
    if (deadline <= now) {
        return "the deadline has passed; nothing was started for this request";
    }
    if (deadline > now + m_bounds.maxDeadline) {
        return "the deadline is further in the future than this fleet accepts; nothing was started for this request";
    }
    return {};
}

std::string admission_rules::unschedulableReason(const owned_task &task) const
{
    if (!m_placer.eligibleWorkers(task.taskClass).empty()) {
        return {};
    }
    for (const std::string &agent : m_fleet.memberNames(member_role::agent)) {
        const worker_view *worker = m_placer.directory().find(agent);
        if (worker == nullptr || !worker->status.present) {
            // The agent is a member of the fleet, but the labels and capacity of its upstream are not known yet.
            return {};
        }
    }
    return "no upstream of the fleet matches the selector, placement rules and resources of the task";
}

bool admission_rules::isExpectedToMissDeadline(const owned_job &job) const
{
    for (const owned_task &task : job.tasks) {
        if (task.stage != task_stage::waiting) {
            continue;
        }
        const microseconds mean = m_runtimes.mean(task.taskClass);
        std::size_t slots = 0;
        for (const std::string &name : m_placer.eligibleWorkers(task.taskClass)) {
            slots += m_placer.directory().find(name)->status.slots;
        }
        if (mean == microseconds(0) || slots == 0) {
            continue;
        }
        const auto waiting = static_cast<std::int64_t>(m_placer.waiting(task.taskClass) + job.unfinishedTasks);
        const microseconds expectedWait = mean * waiting / static_cast<std::int64_t>(slots);
        if (m_time.unixNow() + expectedWait > job.deadline) {
            return true;
        }
    }
    return false;
}

}
