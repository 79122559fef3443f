#ifndef AZUREMOOR_DISPATCH_PLACEMENT_POLICY_H
#define AZUREMOOR_DISPATCH_PLACEMENT_POLICY_H

#include <memory>
#include <set>
#include <string>

#include "dispatch/job_spec.h"
#include "dispatch/worker_pool.h"
#include "dispatch/worker_preference.h"

namespace azuremoor
{

class worker_ranking;

/// Requirements of a task on its worker.
struct placement_request {
    const step_spec *step = nullptr;
    std::string service;
    /// Agent whose worker is used only if no healthy alternative exists, because the latest unsuccessful run of the
    /// task ended there or its run there is to be moved; empty for none.
    std::string avoidedAgent;
    /// Agents that must not get the task.
    std::set<std::string> excludedAgents{};
    /// Number of the task's job at this entry; 0 for none.
    std::uint64_t job = 0;
    /// Size of the payload that an order of the task carries.
    std::size_t payloadBytes = 0;
    /// When the job has to be done to meet its latency objective; the epoch if that does not matter.
    steady_time objective{};
    /// Largest amount of each resource that a task of this entry needs for which no worker has enough free capacity.
    task_shape largestWaiting{};
    /// Narrows the workers to choose from, whatever the policy; null for none. Not owned.
    const worker_preference *preference = nullptr;
    /// Thousandths of a core that the job's waiting tasks need, and those of the entry's more urgent jobs for which there is no worker.
    double waitingMilliCores = 0;
    /// Whether other tasks may use what this one leaves free. It is then left to them if the task would end late there.
    bool mayYield = false;
};

/// Chooses the worker for a task.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Returns the worker for the task, or null when no suitable worker has enough free capacity. The worker belongs to the pool.
    virtual pooled_worker *chooseWorker(worker_pool &pool, const placement_request &request) = 0;

    /// Returns whether the latest call of chooseWorker() found a worker with enough free capacity and left it free.
    virtual bool hasDeclined() const
    {
        return false;
    }

    /// Returns whether the pool has a worker that could run the task while it is idle, even if that worker is not usable now.
    /// Workers in evacuated data centres count as absent.
    virtual bool canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const = 0;
};

/// Chooses the worker on which the task is expected to be done first; see `worker_ranking`.
class earliest_completion_placement : public placement_policy
{
public:
    /**
     * Creates the policy for an entry in the data centre.
     *
     * The remote factor is the ratio by which a task takes longer on a worker outside its preferred rack, in any data centre. The seed is
     * that of the random jitter.
     */
    earliest_completion_placement(const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed);
    ~earliest_completion_placement() override;

    pooled_worker *chooseWorker(worker_pool &pool, const placement_request &request) override;
    bool canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const override;

private:
    std::unique_ptr<worker_ranking> m_ranking;
};

}

#endif
