#ifndef AZUREMOOR_DISPATCH_ACTIVE_JOB_H
#define AZUREMOOR_DISPATCH_ACTIVE_JOB_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "dispatch/caller_identity.h"
#include "dispatch/job_spec.h"
#include "dispatch/route_table.h"

namespace azuremoor
{

/// Time that orders, results and the answer need on their ways, beside the run times: between the entry and the workers, and to the caller.
constexpr microseconds RESULT_TIME = milliseconds(20);

/// Part of its estimate that a run may take longer.
constexpr double RUN_TIME_RESERVE = 0.1;

/// State of one task of an active job.
enum class task_state : std::uint8_t {
    /// At least one step that the task depends on is not done.
    blocked,
    /// Ready to run; no worker has been chosen.
    waiting,
    /// A run was ordered from an agent, and its result has not arrived.
    running,
    done,
};

/// One task of an active job.
struct active_task {
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    task_state state = task_state::blocked;
    /// Number of the latest run that was ordered; 0 before the first order.
    std::uint32_t runNumber = 0;
    /// Runs that failed or that the worker rejected as unreadable. They count towards the route's maximum of attempts.
    std::uint32_t failedRuns = 0;
    /// Runs whose worker fell silent after it had confirmed their start.
    std::uint32_t silentWorkers = 0;
    /// Runs that were to be stopped because they were stalled, or because their worker was much slower than the others.
    std::uint32_t movedRuns = 0;
    /// Runs that were stopped for a job of a higher priority.
    std::uint32_t preemptedRuns = 0;
    /// The present run is being stopped for a job of a higher priority.
    bool isBeingPreempted = false;
    /// Agent on whose worker the latest unsuccessful run of the task ended; empty when there is none.
    std::string avoidedAgent;
};

/// Figures on a job's orders and runs, for the journal event that is written with its answer.
struct job_statistics {
    std::uint32_t orders = 0;
    /// Orders whose run never began, mostly because of missing capacity, and whose task is ordered again.
    std::uint32_t refusedOrders = 0;
    /// Runs that began and ended without success, and whose task is run again.
    std::uint32_t unsuccessfulRuns = 0;
    /// Times of the first and the latest order, on the steady clock.
    steady_time firstOrderAt{};
    steady_time lastOrderAt{};
    /// Agent that reported the latest end of a run.
    std::string lastAgent;
};

/// A submitted job and the state of its tasks. The dispatcher keeps an admitted job until it is answered or dropped and
/// none of its runs is active.
class active_job
{
public:
    /// Creates the job under its number at this entry, and releases the steps that depend on no other. Times are on the steady clock.
    active_job(std::uint64_t number, job_spec spec, route jobRoute, steady_time arrival, steady_time deadline);

    /// Returns the latest time at which the critical path can start so that the job still meets its latency objective.
    steady_time latestStart() const;

    /// Returns the time by which the job has to be done to meet its latency objective. See `route::slackFactor`.
    steady_time latencyObjective() const;

    /// Returns the latest time at which the waiting tasks can start so that the job is done while its caller waits: the caller's deadline
    /// less `remainingWorkTime()`. It is not before the arrival: estimates are rough, so that a job whose work does not fit into its
    /// caller's time may still be begun at once.
    steady_time lastUsefulStart() const;

    /// Returns how long the work that is left on the critical path may take: its estimated run time with a reserve, and RESULT_TIME.
    microseconds remainingWorkTime() const;

    /// Returns the estimated run time of the longest chain of dependent steps.
    microseconds criticalPathDuration() const;

    /// Returns the time by which the tasks of the step have to be done so that the steps that depend on it can still meet the latency
    /// objective.
    steady_time latestEndOf(std::uint32_t step) const;

    /// Returns the name of the task, unique among all jobs: `JOB.0.STEP.INDEX`. The second part is always 0.
    std::string taskName(std::uint32_t task) const;

    /// Marks the task as done, and releases the steps whose dependencies are now done. Returns whether all tasks of the job are done.
    bool finishTask(std::uint32_t task);

    /// Returns the estimated processor time of the waiting tasks, in thousandths of a core times microseconds.
    double waitingWork() const;

    /// Returns the thousandths of a core that the waiting tasks need to run concurrently.
    double waitingMilliCores() const;

    /// Returns the estimated processor time of all tasks, in thousandths of a core times microseconds.
    double totalWork() const;

    /// Returns the thousandths of a core that the smallest waiting task needs, or 0 when no task waits.
    std::uint32_t smallestWaitingMilliCores() const;

    /// Returns the thousandths of a core that the largest task needs, waiting or not.
    std::uint32_t largestMilliCores() const;

    bool hasWaitingTask() const;

    /// Returns the number of waiting tasks, of all steps or of the given one.
    std::size_t waitingTaskCount() const;
    std::size_t waitingTaskCount(std::uint32_t step) const;

    /// Returns whether a run of any task may have begun. An order that was refused never began.
    bool mayHaveStarted() const;

    /// Returns the number of tasks that have an order without a result.
    std::size_t runningTaskCount() const;

    const step_spec &stepOf(std::uint32_t task) const;

    std::uint64_t number;
    job_spec spec;
    route matchedRoute;
    /// Who submitted the job first.
    caller_identity caller;
    steady_time arrival;
    /// The job is answered as expired at this time, because the caller no longer waits.
    steady_time deadline;
    std::vector<active_task> tasks;
    job_statistics statistics;
    /// Requests that wait for the answer: the first submission and later ones with the same identifier.
    std::vector<std::uint64_t> requests;
    /// Runs of all tasks that were stopped for jobs of a higher priority.
    std::uint32_t preemptedRuns = 0;
    /// The job has been answered or dropped; its remaining runs are being stopped.
    bool isEnding = false;
    /// The latest start for the latency objective had passed when the job was last queued or moved in the queue.
    bool isLate = false;
    /// All workers have been tried for the waiting tasks since the job was last queued.
    bool isPlacementTried = false;
    /// Free capacity was left unused for the waiting tasks in the latest attempt to place them; see `placement_policy::hasDeclined`.
    bool isDeclining = false;
    /// The job was submitted here a short time before, so that its work counts as asked for already.
    bool isRepeated = false;
    /// When the job's turn comes if its account gets no more than its fair part of the capacity; not after its arrival without an overload.
    steady_time shareStart;
    /// When the expected wait is checked again while the job has not started.
    steady_time nextAdmissionCheck;
    /// The job was admitted without a worker, shortly after the start of the entry. Until that time is over no wait can be expected for it,
    /// since nothing queued delays it.
    bool isAwaitingWorkers = false;
    /// Entry, incarnation and epoch from which the job was handed over; empty for an own job. See `run_order::origin`.
    std::string origin;
    /// Time for which the request waited to be read by this entry. What a job waited for at the entry that handed it over, or while another
    /// entry had it, says nothing of this entry's processor and does not count.
    microseconds readDelay{0};
    /// The job was admitted here, before any handover.
    bool isAdmitted = false;
    /// Another entry has the job.
    bool isHandedOver = false;
    /// Another entry has or had the job. It is not handed over again.
    bool wasHandedOver = false;
    /// Entry at which runs of the job may go on, so that a copy of it must not begin here; empty for none.
    std::string mayRunAt;

private:
    /// How far a step is.
    struct step_progress {
        /// Position of the step's first task.
        std::uint32_t firstTask = 0;
        std::uint32_t unfinishedTasks = 0;
        /// Steps on which it depends and that are not done.
        std::uint32_t unfinishedDependencies = 0;
        /// Steps that depend on it, once for each time that they name it.
        std::vector<std::uint32_t> dependents;
        /// Estimated run time of the longest chain of steps that begins with this one.
        microseconds pathDuration{0};
    };

    void computePathDurations();
    /// Returns the longest path that begins with a step whose tasks are not all done.
    microseconds longestUnfinishedPath() const;
    void createTasks();
    void countDependencies();
    /// Lets the tasks of a step run that depends on nothing unfinished. An empty step is done at once.
    void release(std::uint32_t step);
    void finishStep(std::uint32_t step);

    std::vector<step_progress> m_progress;
    microseconds m_criticalPathDuration{0};
    microseconds m_remainingPathDuration{0};
    std::size_t m_unfinishedTasks = 0;
};

}

#endif
