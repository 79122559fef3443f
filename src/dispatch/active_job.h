#ifndef AZUREMOOR_DISPATCH_ACTIVE_JOB_H
#define AZUREMOOR_DISPATCH_ACTIVE_JOB_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "dispatch/job_spec.h"
#include "dispatch/route_table.h"

namespace azuremoor
{

/// Where a task of an active job stands.
enum class task_state : std::uint8_t {
    /// Earlier steps are not done yet.
    blocked,
    /// Waits for a worker.
    waiting,
    /// A run was ordered and may be under way.
    running,
    done,
};

/// One task of an active job.
struct active_task {
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    task_state state = task_state::blocked;
    /// Number of the latest run.
    std::uint32_t runNumber = 0;
    /// Runs that failed.
    std::uint32_t failedRuns = 0;
    /// Runs that were stopped because their worker hung or was slow.
    std::uint32_t movedRuns = 0;
    /// Agent whose worker ended the latest run without success.
    std::string avoidedAgent;
};

/// What became of a job's orders, for the one line that tells of its answer.
struct job_statistics {
    std::uint32_t orders = 0;
    /// Orders that an agent or worker refused, mostly for want of room.
    std::uint32_t refusedOrders = 0;
    /// Runs that ended without success.
    std::uint32_t unsuccessfulRuns = 0;
    /// When the latest run was ordered.
    steady_time lastOrderAt{};
    /// Agent whose run ended last.
    std::string lastAgent;
};

/// A job that an entry has admitted, from its submission until no run of it is under way.
class active_job
{
public:
    /// Takes the job's number at this entry, the submission and what it may cost in time. Times are on the steady clock.
    active_job(std::uint64_t number, job_spec spec, route jobRoute, steady_time arrival, steady_time deadline);

    /// Returns the latest time at which the longest chain of work can start and still meet the latency objective.
    steady_time latestStart() const;

    /// Returns the time by which the job has to be done to meet the latency objective.
    steady_time latencyObjective() const;

    /// Returns the estimated time of the longest chain of work.
    microseconds criticalPathDuration() const;

    /// Returns the name of a task among all jobs.
    std::string taskName(std::uint32_t task) const;

    /// Notes that the task is done, and releases the steps that waited for it. Returns whether the whole job is done.
    bool finishTask(std::uint32_t task);

    /// Returns the processor time of the tasks that wait: thousandths of a core times microseconds.
    double waitingWork() const;

    /// Returns the thousandths of a core that the waiting tasks need to run side by side.
    double waitingMilliCores() const;

    /// Returns the thousandths of a core that the smallest waiting task needs, or 0 when none waits.
    std::uint32_t smallestWaitingMilliCores() const;

    /// Returns whether a task waits for a worker.
    bool hasWaitingTask() const;

    /// Returns whether a run of any task may have begun. An order that was refused has not.
    bool mayHaveStarted() const;

    /// Returns the number of tasks with a run that may be under way.
    std::size_t runningTasks() const;

    const step_spec &stepOf(std::uint32_t task) const;

    std::uint64_t number;
    job_spec spec;
    route matchedRoute;
    steady_time arrival;
    /// After this nobody waits for the answer.
    steady_time deadline;
    std::vector<active_task> tasks;
    job_statistics statistics;
    /// Requests that wait for the answer.
    std::vector<std::uint64_t> requests;
    /// The answer is given; what is still under way is being stopped.
    bool isEnding = false;
    /// The latest start has passed while a task waited.
    bool isLate = false;
    /// The wait for a worker has been looked at again after admission.
    bool isAdmissionRechecked = false;

private:
    microseconds computeCriticalPath() const;
    bool isStepDone(std::uint32_t step) const;
    void releaseSteps();

    microseconds m_criticalPathDuration;
};

}

#endif
