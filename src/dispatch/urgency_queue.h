#ifndef AZUREMOOR_DISPATCH_URGENCY_QUEUE_H
#define AZUREMOOR_DISPATCH_URGENCY_QUEUE_H

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "dispatch/active_job.h"
#include "dispatch/admission_policy.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/**
 * Jobs with waiting tasks, the most urgent first: by latest start, but those that have not begun and are late come last.
 *
 * What has begun is finished first: ended halfway it would be lost work. The queue does not own the jobs, which have to outlive it.
 */
class urgency_queue
{
public:
    /// Adds a job, or moves it to its present place.
    void add(active_job &job, steady_time now);

    /// Removes a job, if it waits.
    void remove(std::uint64_t job);

    /// Moves jobs that have become late to their new places.
    void demoteLateJobs(steady_time now);

    /// Returns the jobs, the most urgent first.
    std::vector<active_job *> jobsByUrgency() const;

    /// Sets the parts of the load on a job that depend on what else waits.
    void fillLoad(const active_job &job, steady_time now, admission_load &load) const;

    /// Returns what the tasks need that wait and can still be in time.
    room_wish waitingDemand() const;

private:
    enum class urgency_class : std::uint8_t {
        on_time_or_started,
        late,
    };
    struct queue_position {
        urgency_class urgency = urgency_class::on_time_or_started;
        steady_time latestStart;
        std::uint64_t job = 0;

        auto operator<=>(const queue_position &) const = default;
    };

    static queue_position positionOf(const active_job &job);

    std::map<queue_position, active_job *> m_jobs;
    /// Positions by number of the job.
    std::map<std::uint64_t, queue_position> m_positions;
};

}

#endif
