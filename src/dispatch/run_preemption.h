#ifndef AZUREMOOR_DISPATCH_RUN_PREEMPTION_H
#define AZUREMOOR_DISPATCH_RUN_PREEMPTION_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "dispatch/active_job.h"
#include "dispatch/preemption_policy.h"
#include "dispatch/priority_control.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/**
 * Stops runs of this entry for waiting jobs of higher priorities that would otherwise start too late.
 *
 * A job is expected to start in time by itself if the capacity that is free, or that this entry's runs release before the job's latest
 * start, suffices for it and for the jobs ahead of it. The objects that the constructor takes must outlive this one.
 */
class run_preemption
{
public:
    /// Returns the expected time until the waiting tasks of a job start.
    using wait_estimate = std::function<microseconds(const active_job &job)>;

    run_preemption(const time_source &time,
                   worker_pool &pool,
                   const preemption_policy &policy,
                   priority_control &priorities,
                   decision_journal &journal);

    /// Returns whether a decision is due: priorities count, the most urgent waiting job is not of the lowest priority, some work may be
    /// lost, and the previous decision is some milliseconds ago. The job is null if none waits.
    bool isDue(const active_job *mostUrgent) const;

    /// Requests that runs are stopped, with the next flush of the pool. Takes the waiting jobs in the order in which they are placed, and
    /// all jobs by number. To be called when a decision is due.
    void preempt(const std::vector<active_job *> &waiting, std::map<std::uint64_t, active_job> &jobs, const wait_estimate &expectedWait);

private:
    struct worker_forecast {
        pooled_worker *worker = nullptr;
        task_shape available;
    };
    /// An expected end of a run, which releases capacity of the worker at the index.
    struct expected_release {
        steady_time at;
        std::size_t worker = 0;
        task_shape shape;
    };
    /// The usable workers of a service with the capacity that is expected to be available there by a time, less what is reserved.
    struct capacity_forecast {
        std::vector<worker_forecast> workers;
        /// Later ends of runs, in order.
        std::vector<expected_release> releases;
        std::size_t nextRelease = 0;
        steady_time by{};

        /// Moves the time on; it never goes back.
        void advanceTo(steady_time time);
    };

    /// Returns the lowest priority of which this entry has a run, or nothing if it has none.
    std::optional<std::uint32_t> lowestRunningPriority(const std::map<std::uint64_t, active_job> &jobs) const;
    capacity_forecast forecast(const std::string &service) const;
    /// Removes the capacity that the job's waiting tasks need from the forecast. Returns the tasks for which there is none.
    static std::vector<const step_spec *> reserve(capacity_forecast &forecast, const active_job &job);
    /// Removes the capacity for one task. Returns whether there was enough.
    static bool reserveTask(capacity_forecast &forecast, const step_spec &step);
    /// Returns whether all tasks of the job are expected to start in time, after stops if they are needed.
    bool preemptFor(const active_job &job,
                    capacity_forecast &forecast,
                    std::map<std::uint64_t, active_job> &jobs,
                    const wait_estimate &expectedWait);
    preemptible_worker candidatesAt(const worker_forecast &workerForecast,
                                    steady_time by,
                                    const active_job &job,
                                    std::map<std::uint64_t, active_job> &jobs,
                                    const wait_estimate &expectedWait) const;
    /// Returns when the job is expected to be done if a run of it is stopped now.
    steady_time expectedEnd(const active_job &job, microseconds expectedWait) const;
    void stop(const preempted_run &run, const active_job &beneficiary, std::map<std::uint64_t, active_job> &jobs);

    const time_source &m_time;
    worker_pool &m_pool;
    const preemption_policy &m_policy;
    priority_control &m_priorities;
    decision_journal &m_journal;
    steady_time m_nextDecision{};
};

}

#endif
