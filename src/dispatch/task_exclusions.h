#ifndef AZUREMOOR_DISPATCH_TASK_EXCLUSIONS_H
#define AZUREMOOR_DISPATCH_TASK_EXCLUSIONS_H

#include <cstdint>
#include <set>
#include <string>

#include "dispatch/active_job.h"
#include "dispatch/crash_guard.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// Determines the agents that must not get a task, whatever their capacity.
class task_exclusions
{
public:
    explicit task_exclusions(const worker_pool &pool);

    /// Sets what keeps jobs that crash their workers away from others. It must outlive this object. Without it nothing does.
    void setCrashGuard(const crash_guard &guard);

    /// Returns whether the job is kept from workers that others may use, so that its waiting says nothing of the capacity that is left.
    bool isSetApart(const active_job &job) const;

    /// Returns the agents that must not get a task of the job's step.
    std::set<std::string> agentsFor(const active_job &job, std::uint32_t step) const;

private:
    /// Adds the agents whose workers run as many tasks of the step as it allows.
    void addAgentsAtLimit(const active_job &job, std::uint32_t step, std::set<std::string> &agents) const;

    const worker_pool &m_pool;
    const crash_guard *m_guard = nullptr;
};

}

#endif
