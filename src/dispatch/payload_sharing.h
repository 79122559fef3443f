#ifndef AZUREMOOR_DISPATCH_PAYLOAD_SHARING_H
#define AZUREMOOR_DISPATCH_PAYLOAD_SHARING_H

#include <cstddef>
#include <cstdint>
#include <vector>

#include "dispatch/active_job.h"
#include "dispatch/worker_pool.h"
#include "dispatch/worker_preference.h"

namespace azuremoor
{

/**
 * Prefers the workers with which the orders of a job need the fewest copies of its payload.
 *
 * Orders for the same agent in the same batch share one copy. A worker that already gets an order of the job in the batch is preferred to
 * others, and otherwise one that can take more of the step's waiting tasks. Only workers count on which the task is expected to end early
 * enough for the job's latency objective; if there is none, nothing is preferred.
 */
class payload_sharing : public worker_preference
{
public:
    /// The job must outlive this object.
    payload_sharing(const time_source &time, const active_job &job);

    /// The request must be for a step of the job.
    void narrow(const worker_pool &pool, const placement_request &request, std::vector<ranked_worker> &workers) const override;

private:
    /// Returns how many of the step's waiting tasks the worker can take at once.
    std::size_t possibleTasks(const pooled_worker &worker, std::uint32_t step, std::size_t waitingTasks) const;

    const time_source &m_time;
    const active_job &m_job;
};

}

#endif
