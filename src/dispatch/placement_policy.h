#ifndef AZUREMOOR_DISPATCH_PLACEMENT_POLICY_H
#define AZUREMOOR_DISPATCH_PLACEMENT_POLICY_H

#include <random>
#include <set>
#include <string>

#include "dispatch/job_spec.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// What a task asks of its worker.
struct placement_request {
    const step_spec *step = nullptr;
    std::string service;
    /// Worker to avoid if another has room, since the task's last run ended there; empty for none.
    std::string avoidedAgent;
    /// Agents that may not get the task.
    std::set<std::string> excludedAgents{};
};

/// Chooses the worker for a task.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Returns the worker for the task, or null when none has room now.
    virtual pooled_worker *chooseWorker(worker_pool &pool, const placement_request &request) = 0;

    /// Returns whether some worker could run the task if it were idle.
    virtual bool canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const = 0;
};

/**
 * Chooses the worker on which the task is expected to be done first.
 *
 * Answers to long ways between data centres, and to workers that are far slower than the others or fail what they start while their health
 * is good: these are in quarantine, and get a task now and then to show that they have recovered. A task rather waits for a sound worker
 * than to go to one in quarantine, or to the one where it ended without success.
 */
class earliest_completion_placement : public placement_policy
{
public:
    /// Takes the data centre of this entry, the factor by which work away from its data takes longer, and a seed for ties.
    earliest_completion_placement(const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed);

    pooled_worker *chooseWorker(worker_pool &pool, const placement_request &request) override;
    bool canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const override;

private:
    bool hasHealthyAlternative(const worker_pool &pool, const placement_request &request, const pool_medians &medians) const;
    const pool_medians &currentMedians(const worker_pool &pool);
    bool isQuarantined(const pooled_worker &worker, const pool_medians &medians) const;
    bool isTrialDue(const pooled_worker &worker) const;
    double expectedMicroseconds(const pooled_worker &worker, const step_spec &step);

    const time_source &m_time;
    std::string m_dataCentre;
    double m_remoteFactor;
    std::mt19937_64 m_random;
    pool_medians m_medians;
    steady_time m_mediansValidUntil{};
};

}

#endif
