#include "dispatch/payload_sharing.h"

#include <algorithm>
#include <limits>

#include "dispatch/worker_ranking.h"

namespace azuremoor
{

namespace
{

/// Multiple of the expected time that a worker must have for the task. Run times are spread around their estimates, and a task that has to
/// be ordered a second time needs time for that.
constexpr double TIME_RESERVE_FACTOR = 1.25;

std::size_t copiesThatFit(std::uint32_t required, std::uint32_t available)
{
    return required == 0 ? std::numeric_limits<std::size_t>::max() : available / required;
}

/// Returns how many tasks of the shape the capacity holds.
std::size_t copiesThatFit(const task_shape &shape, const task_shape &capacity)
{
    return std::min({copiesThatFit(shape.milliCores, capacity.milliCores),
                     copiesThatFit(shape.memoryMegabytes, capacity.memoryMegabytes),
                     copiesThatFit(shape.accelerators, capacity.accelerators)});
}

}

payload_sharing::payload_sharing(const time_source &time, const active_job &job)
    : m_time(time)
    , m_job(job)
{
}

void payload_sharing::narrow(const worker_pool &pool, const placement_request &request, std::vector<ranked_worker> &workers) const
{
    const auto step = static_cast<std::uint32_t>(request.step - m_job.spec.steps.data());
    const microseconds timeToEnd = m_job.latestEndOf(step) - m_time.steadyNow();
    const std::size_t waitingTasks = m_job.waitingTaskCount(step);
    std::vector<std::size_t> values(workers.size());
    std::size_t highest = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (TIME_RESERVE_FACTOR * workers[index].expectedMicroseconds <= static_cast<double>(timeToEnd.count())) {
            const pooled_worker &worker = *workers[index].worker;
            // All of the waiting tasks are worth less than a copy that is sent in any case.
            values[index] = pool.hasUnsentOrderOf(worker, m_job.number) ? waitingTasks + 1 : possibleTasks(worker, step, waitingTasks);
            highest = std::max(highest, values[index]);
        }
    }
    if (highest == 0) {
        return;
    }
    std::size_t kept = 0;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (values[index] == highest) {
            workers[kept++] = workers[index];
        }
    }
    workers.resize(kept);
}

std::size_t payload_sharing::possibleTasks(const pooled_worker &worker, std::uint32_t step, std::size_t waitingTasks) const
{
    const step_spec &spec = m_job.spec.steps[step];
    const std::size_t limit = spec.maxTasksPerWorker == 0 ? waitingTasks : std::min<std::size_t>(waitingTasks, spec.maxTasksPerWorker);
    return std::min(limit, copiesThatFit(spec.shape, worker.availableCapacity()));
}

}
