#ifndef AZUREMOOR_DISPATCH_URGENCY_QUEUE_H
#define AZUREMOOR_DISPATCH_URGENCY_QUEUE_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "dispatch/active_job.h"
#include "dispatch/admission_policy.h"
#include "messages/entry_messages.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/**
 * Jobs with waiting tasks, ordered by their priority, and within a priority by the time at which they have to start to keep the next
 * promise that they still can: the latency objective of their queue, and after that the deadline of their caller. A job whose account asks
 * for more than its fair part comes no earlier than that part allows.
 *
 * A job that has missed its objective so goes behind those that can still meet theirs, and ahead of them again when its caller's time runs
 * short. One that has started keeps its position, because the work already done for it would otherwise be lost. The queue does not own the
 * jobs; each must be removed before it is destroyed.
 */
class urgency_queue
{
public:
    /// Adds the job, or moves it to its current position if it is queued. Updates `active_job::isLate`.
    void add(active_job &job, steady_time now);

    /// Removes the job with the number, if it is queued.
    void remove(std::uint64_t jobNumber);

    /// Moves jobs that can no longer meet their objective, and have not started, to the place that their caller's deadline gives them.
    /// Updates their `active_job::isLate`.
    void moveLateJobs(steady_time now);

    /// Returns the first job in order, or null if none is queued.
    const active_job *mostUrgent() const;

    /// Returns the jobs in order, with the most urgent first.
    std::vector<active_job *> jobsByUrgency() const;

    /// Calls the function for each job in order.
    void visitByUrgency(const std::function<void(const active_job &job)> &visit) const;

    /// Returns whether the first job has its place before the second one, queued or not.
    static bool isBefore(const active_job &first, const active_job &second);

    /// Sets the parts of the job's load that depend on the queue: the work ahead of the job, and the later jobs. These
    /// include the job itself if it is queued, but none of lower priorities. Work of higher priorities is left out if
    /// `admission_load::isBelowMinimum` is set.
    void fillLoad(const active_job &job, steady_time now, admission_load &load) const;

    /// Returns the waiting work by priority, with the highest one first. The lowest ones are counted together when there are more than
    /// MAX_REPORTED_PRIORITIES.
    std::vector<priority_load> waitingWorkByPriority() const;

    /// Returns the waiting work of the jobs of one priority that the function selects.
    double waitingWorkOf(std::uint32_t priority, const std::function<bool(const active_job &job)> &isCounted) const;

    /// Returns the capacity that waiting tasks need. Counts at most the `MAX_DEMAND_JOBS` most urgent jobs of each priority.
    room_wish waitingDemand() const;

private:
    struct queue_position {
        std::uint32_t priority = 0;
        /// When the job has to start to keep the next promise that it still can.
        steady_time dueStart;
        std::uint64_t job = 0;

        auto operator<=>(const queue_position &) const = default;
    };

    static queue_position positionOf(const active_job &job);

    std::map<queue_position, active_job *> m_jobs;
    /// Positions by job number.
    std::map<std::uint64_t, queue_position> m_positions;
};

}

#endif
