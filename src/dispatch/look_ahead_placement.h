#ifndef AZUREMOOR_DISPATCH_LOOK_AHEAD_PLACEMENT_H
#define AZUREMOOR_DISPATCH_LOOK_AHEAD_PLACEMENT_H

#include "dispatch/worker_ranking.h"

namespace azuremoor
{

/// When a task goes to the worker that keeps the least free capacity, so that the others keep gaps that large tasks fit into.
enum class packing_rule : std::uint8_t {
    never,
    /// While a task that needs more than this one waits at the entry.
    for_larger_tasks,
    always,
};

/// What `look_ahead_placement` considers beside the expected completion.
struct look_ahead_options {
    packing_rule packing = packing_rule::never;
    /// Lets a task wait for a worker that ends it in time, rather than take one that is free and too slow.
    bool waitsForObjective = true;
    /// Rate of the entry's link, in bytes per microsecond; 0 if payloads cost no time.
    double linkRate = 0;
};

/**
 * Chooses among the workers on which the task is expected to be done about first.
 *
 * The time that a payload needs on the entry's link counts as part of the expected time, unless the payload is sent to the worker in any
 * case. Among the workers within a tenth of the lowest expected time, one that gets the job's payload in the same batch is preferred, and
 * then, while a larger task waits, the one that keeps the least free capacity. A task waits when only workers are free that would end it
 * after its objective, and others would end it in time.
 */
class look_ahead_placement : public placement_policy
{
public:
    /// See `earliest_completion_placement` for the parameters that both have.
    look_ahead_placement(
        const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed, const look_ahead_options &options);

    pooled_worker *chooseWorker(worker_pool &pool, const placement_request &request) override;
    bool hasDeclined() const override;
    bool canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const override;

private:
    struct choice {
        pooled_worker *worker = nullptr;
        double expectedMicroseconds = 0;
        /// The same without jitter.
        double estimatedMicroseconds = 0;
        bool sharesPayload = false;
        /// Sum of the free parts of cores and memory that the worker keeps; 0 if that does not matter.
        double remainingCapacity = 0;
    };

    choice evaluate(const worker_pool &pool, const placement_request &request, const ranked_worker &ranked) const;
    static bool isPreferred(const choice &one, const choice &other);
    bool isPacked(const placement_request &request) const;

    /// Returns whether the task is to wait although a worker is free, which would end it in the given time, in microseconds, at the
    /// earliest.
    bool isWaitBetter(const worker_pool &pool, const placement_request &request, double lowest);

    /// Returns the time that the payload of the request needs on the entry's link, in microseconds.
    double sendingMicroseconds(const placement_request &request) const;

    const time_source &m_time;
    worker_ranking m_ranking;
    look_ahead_options m_options;
    bool m_hasDeclined = false;
};

}

#endif
