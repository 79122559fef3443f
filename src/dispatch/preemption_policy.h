#ifndef AZUREMOOR_DISPATCH_PREEMPTION_POLICY_H
#define AZUREMOOR_DISPATCH_PREEMPTION_POLICY_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/job_request.h"

namespace azuremoor
{

/// Time from the decision to stop a run until its end is known and its capacity has been ordered again.
constexpr microseconds PREEMPTION_TIME = milliseconds(60);

/// Limits of preemption. All but tests use the default values.
struct preemption_limits {
    /// Runs of one task, and of one job, that are stopped at most.
    std::uint32_t maxPerTask = 1;
    std::uint32_t maxPerJob = 2;
    /// Part of its expected time from which on a run is not stopped any more.
    double maxProgress = 0.5;
};

/// A run of this entry that may be stopped for a job of a higher priority.
struct preemptible_run {
    /// Sequence of its order at its agent.
    std::uint64_t sequence = 0;
    std::uint64_t job = 0;
    std::uint32_t priority = 0;
    task_shape shape;
    /// Time since the order.
    microseconds age{0};
    /// Expected time from the order to the end.
    microseconds expectedTime{0};
    /// Completed part of the run, from 0 to 1.
    double progress = 0;
    /// Runs of the same task and of the same job that were stopped before.
    std::uint32_t preemptedRunsOfTask = 0;
    std::uint32_t preemptedRunsOfJob = 0;
    /// Work of the run's job if the stop is expected to make it miss its latency objective; otherwise 0.
    double delayedWork = 0;

    /// Returns the work that is lost if the run is stopped, in thousandths of a core times microseconds. The time that the stop takes
    /// counts as well, since the capacity serves nothing until then.
    double lostWork() const
    {
        return static_cast<double>(shape.milliCores) * static_cast<double>((age + PREEMPTION_TIME).count());
    }
};

/// A worker that can run the tasks of the job, with the runs there that may be stopped.
struct preemptible_worker {
    std::string agent;
    /// Capacity that is expected to be available in time without preemption, less what jobs ahead need.
    task_shape available;
    std::vector<preemptible_run> runs;
};

/// What a waiting job of a higher priority needs.
struct preemption_request {
    /// Shapes of the waiting tasks that are expected to start too late.
    std::vector<task_shape> tasks;
    std::vector<preemptible_worker> workers;
    /// Work of the job, which would miss its latency objective without a stop, in thousandths of a core times microseconds.
    double gainedWork = 0;
    /// Work that may be lost at most, because of the limit over time.
    double lossBudget = 0;
};

/// A run that is to be stopped.
struct preempted_run {
    std::string agent;
    std::uint64_t sequence = 0;
};

/// Decides which runs are stopped for a job of a higher priority.
class preemption_policy
{
public:
    virtual ~preemption_policy() = default;

    /// Returns whether the run may be stopped at all.
    virtual bool mayStop(const preemptible_run &run) const = 0;

    /// Returns the runs to stop so that all tasks of the request can start in time; none if that is impossible or loses more than it gains.
    virtual std::vector<preempted_run> chooseRuns(const preemption_request &request) const = 0;
};

/// Stops the newest runs that make place for each task, where the least work is lost or delayed beyond its objective. Runs of the lowest
/// priority are stopped before others.
class least_loss_preemption : public preemption_policy
{
public:
    explicit least_loss_preemption(preemption_limits limits = {});

    bool mayStop(const preemptible_run &run) const override;
    std::vector<preempted_run> chooseRuns(const preemption_request &request) const override;

private:
    /// Returns the runs to stop if only those of the given priority and lower ones may be.
    std::vector<preempted_run> chooseAmong(const preemption_request &request, std::uint32_t highestPriority) const;

    preemption_limits m_limits;
};

}

#endif
