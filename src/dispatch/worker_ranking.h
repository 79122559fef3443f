#ifndef AZUREMOOR_DISPATCH_WORKER_RANKING_H
#define AZUREMOOR_DISPATCH_WORKER_RANKING_H

#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "dispatch/placement_policy.h"

namespace azuremoor
{

/// A worker that can run a task now.
struct ranked_worker {
    pooled_worker *worker = nullptr;
    /// Time from the order until the task is expected to be done, in microseconds, with random jitter.
    double expectedMicroseconds = 0;
    /// The same without jitter.
    double estimatedMicroseconds = 0;
};

/**
 * Finds the workers that can run a task, with the time at which the task is expected to be done there.
 *
 * The estimate includes the transit time between data centres. Workers that are much slower than the others, or that often fail tasks
 * while they report that they are ready, are quarantined: they get single tasks at intervals, which show whether they have recovered. A
 * task waits for a healthy worker rather than go to a quarantined one, or to the one on which it ended without success.
 */
class worker_ranking
{
public:
    /// See `earliest_completion_placement`.
    worker_ranking(const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed);

    /// Returns the suitable workers with enough free capacity, by agent, narrowed by the request's preference. The result is valid until
    /// the next call.
    std::span<const ranked_worker> rank(worker_pool &pool, const placement_request &request);

    /// Returns the lowest time in which a healthy worker could do the task if it began now, free or not, in microseconds without jitter;
    /// nothing if there is no such worker.
    std::optional<double> shortestMicroseconds(const worker_pool &pool, const placement_request &request);

    /**
     * Returns the thousandths of a core on healthy workers that are expected to be free for such tasks in time to end them by the
     * objective of the request.
     *
     * That is what is free now, and what runs of this entry use that are expected to end soon enough. What other entries use counts as
     * theirs. The sending time is that of the order, in microseconds.
     */
    double milliCoresInTime(const worker_pool &pool, const placement_request &request, double sendingMicroseconds);

    /// Returns whether the pool has a worker that could run the task while it is idle, even if that worker is not usable now.
    bool canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const;

private:
    bool
    hasHealthyAlternative(const worker_pool &pool, const placement_request &request, const pool_medians &medians, steady_time now) const;
    const pool_medians &currentMedians(const worker_pool &pool, steady_time now);
    bool isQuarantined(const pooled_worker &worker, const pool_medians &medians, steady_time now) const;
    bool isTrialDue(const pooled_worker &worker, steady_time now) const;
    bool isHealthyAlternative(const worker_pool &pool,
                              const pooled_worker &worker,
                              const placement_request &request,
                              const pool_medians &medians,
                              steady_time now) const;
    double expectedMicroseconds(const pooled_worker &worker, const step_spec &step, steady_time now) const;
    double jitter();

    const time_source &m_time;
    std::string m_dataCentre;
    double m_remoteFactor;
    std::mt19937_64 m_random;
    pool_medians m_medians;
    steady_time m_mediansValidUntil{};
    /// Result of the latest call of rank().
    std::vector<ranked_worker> m_ranked;
};

}

#endif
