#include "dispatch/task_exclusions.h"

#include <algorithm>

namespace azuremoor
{

task_exclusions::task_exclusions(const worker_pool &pool)
    : m_pool(pool)
{
}

void task_exclusions::setCrashGuard(const crash_guard &guard)
{
    m_guard = &guard;
}

bool task_exclusions::isSetApart(const active_job &job) const
{
    return m_guard != nullptr && m_guard->isSetApart(job);
}

std::set<std::string> task_exclusions::agentsFor(const active_job &job, std::uint32_t step) const
{
    std::set<std::string> result;
    addAgentsAtLimit(job, step, result);
    if (m_guard != nullptr) {
        m_guard->addExcluded(job, step, result);
    }
    return result;
}

void task_exclusions::addAgentsAtLimit(const active_job &job, std::uint32_t step, std::set<std::string> &agents) const
{
    const std::uint32_t limit = job.spec.steps[step].maxTasksPerWorker;
    if (limit == 0) {
        return;
    }
    for (const auto &[agent, worker] : m_pool.workers()) {
        const auto count = std::count_if(worker.runs.begin(), worker.runs.end(), [&](const auto &each) {
            return each.second.task.job == job.number && job.tasks[each.second.task.task].step == step;
        });
        if (count >= static_cast<std::ptrdiff_t>(limit)) {
            agents.insert(agent);
        }
    }
}

}
