#ifndef AZUREMOOR_DISPATCH_JOB_DISPATCHER_H
#define AZUREMOOR_DISPATCH_JOB_DISPATCHER_H

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/decision_journal.h"
#include "dispatch/active_job.h"
#include "dispatch/asked_jobs.h"
#include "dispatch/caller_presence.h"
#include "dispatch/job_admission.h"
#include "dispatch/job_answer.h"
#include "dispatch/link_admission.h"
#include "dispatch/job_forwarder.h"
#include "dispatch/job_journal.h"
#include "dispatch/job_removal_listener.h"
#include "dispatch/local_load.h"
#include "dispatch/payload_sharing.h"
#include "dispatch/placement_order.h"
#include "dispatch/placement_policy.h"
#include "dispatch/priority_control.h"
#include "dispatch/processor_budget.h"
#include "dispatch/reservation_planner.h"
#include "dispatch/run_mover.h"
#include "dispatch/run_preemption.h"
#include "dispatch/straggler_policy.h"
#include "dispatch/task_exclusions.h"
#include "dispatch/urgency_queue.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// Counters of a dispatcher since the start of the process.
struct dispatch_counters {
    std::uint64_t admitted = 0;
    std::uint64_t orders = 0;
    /// Orders whose worker was chosen with a preference for shared payloads, because the link was short.
    std::uint64_t payloadSharingOrders = 0;
    /// Runs that began and ended without success, and whose task is run again.
    std::uint64_t retries = 0;
    /// Runs that failed or that the worker rejected as unreadable.
    std::uint64_t failedRuns = 0;
    /// Orders whose run never began, and whose task is ordered again.
    std::uint64_t refusedOrders = 0;
    /// Runs that were stopped, because they were stalled or slow, so that their task is run again on another worker: moved runs.
    std::uint64_t movedRuns = 0;
    /// Requests whose caller disconnected before the answer.
    std::uint64_t abandoned = 0;
    /// Answered requests by kind of answer.
    std::array<std::uint64_t, ANSWER_KIND_COUNT> answers{};
};

/**
 * Admits jobs, orders their runs, retries unsuccessful runs and answers the callers' requests.
 *
 * Jobs are kept in memory only. A job is ended early when its callers have disconnected, its deadline has passed or it has failed. A task
 * is run again only when its previous run has certainly ended.
 *
 * The priority control that the constructor takes may be null; then queues have no priorities, and the work of priorities is not counted.
 * Without a preemption policy, which may be null too, no run is stopped for a job of a higher priority. Without
 * a link budget, which may be null as well, orders go at any rate. Without a processor budget, which may also be null, jobs are refused for
 * lack of processor time by their read delay alone.
 */
class job_dispatcher : public run_listener, public entry_load_source
{
public:
    job_dispatcher(const time_source &time,
                   worker_pool &pool,
                   placement_policy &placement,
                   const admission_policy &admission,
                   const straggler_policy &stragglers,
                   local_load &localLoad,
                   answer_sink &answers,
                   decision_journal &journal,
                   priority_control *priorities = nullptr,
                   const preemption_policy *preemption = nullptr,
                   link_budget *link = nullptr,
                   processor_budget *processor = nullptr);

    /// Sets the planner of reservations, which is not owned; null for none.
    void setReservationPlanner(reservation_planner *planner);

    /**
     * Submits a request to run the job by the deadline.
     *
     * The arrival is the time at which the request reached this machine, which is before it was read when the processor is busy. The
     * latency objective counts from then.
     *
     * The caller is who sent the request. The request is answered through the sink, possibly before this call returns. A request for an
     * active job of the same identifier joins that job and gets the same answer. If the active job belongs to another queue, or to another
     * service under an earlier configuration, the request is refused as unavailable: its answer would not be that of its own route.
     */
    void submit(std::uint64_t request,
                job_spec spec,
                const route &jobRoute,
                steady_time arrival,
                steady_time deadline,
                caller_identity caller = {});

    /// Sets what is asked before the first order of a job whose request was read some time ago: a job that nobody waits for any more is not
    /// begun. Must outlive this object. Without it, callers count as present until abandonRequest().
    void setCallerPresence(const caller_presence &callers);

    /// Sets where jobs are passed on that this entry is short of a resource for. Without it none are.
    void setForwarder(job_forwarder &forwarder);

    /**
     * Submits a job that another entry handed over. The request's number is one for handovers; see `answer_router.h`.
     *
     * The job is refused if there is one of the same identifier. Its runs are ordered under the origin's name until the request is
     * abandoned; see `run_order::origin`.
     */
    void submitHandedOver(
        std::uint64_t request, job_spec spec, const route &jobRoute, steady_time arrival, steady_time deadline, const std::string &origin);

    /// Sets what keeps jobs from crashing worker after worker. Must outlive this object. Without it such jobs are run again without limit.
    void setCrashGuard(crash_guard &guard);

    /// Sets who is told of removed jobs. Must outlive this object. Without it nobody is.
    void setRemovalListener(job_removal_listener &listener);

    /// Handles the outcome of a job that was passed on, by its number. A job that was refused is decided here, unless runs of it may go on
    /// at an entry, which is named then.
    void returnJob(std::uint64_t number, const job_answer &answer, const std::string &mayRunAt);

    /// Forgets an ended job of which no run can go on at another entry any more. Until then a copy of it is refused.
    void releaseJob(std::uint64_t number);

    /// Returns whether a run of a job with the identifier may go on or begin at the order of this entry, or of one that has it from here,
    /// other than the asking one.
    bool mayRun(const std::string &id, const std::string &asker) const;

    /// Returns the identifier of the job with the number; empty if there is none.
    std::string jobId(std::uint64_t number) const;

    /// Removes the request, because its caller has disconnected. It gets no answer. The job is ended if it has no other requests.
    void abandonRequest(std::uint64_t request);

    /// Cancels the job of the queue. Returns whether there was an active job of this identifier in it.
    bool cancel(std::string_view queue, const std::string &id);

    /// Returns whether the job of the queue is known and not yet answered. Jobs whose remaining runs are being stopped are not active.
    bool isActive(std::string_view queue, const std::string &id) const;

    /// Returns the number of the queue's unanswered jobs of which certainly no task has started. Jobs that wait for capacity after a start
    /// are not counted.
    std::size_t pendingJobs(const std::string &queue) const;

    void handleRunEnd(const task_reference &task, run_outcome outcome, const std::string &agent) override;

    /// Orders runs for waiting tasks as capacity allows. To be called after jobs or messages of agents have arrived.
    void placeWaitingTasks();

    /// Ends jobs past their deadline, refuses unstarted jobs that can no longer start in time, and moves stalled or slow runs to other
    /// workers. Must be called about every 20 ms.
    void tick();

    /// Restricts admission to jobs that are expected to be done by the given time, at which the entry stops.
    void beginShutdown(steady_time end);

    /// Answers all unanswered jobs as expired and stops their runs, because the entry is shutting down.
    void expireAllJobs();

    /// Sets the number of entries that share the workers, including this one.
    void setEntryCount(std::size_t entryCount);

    /// Keeps jobs that no known worker can run until the given time, shortly after the start, instead of refusing them. Those that are
    /// still without a worker then are refused.
    void setWorkersExpectedUntil(steady_time end);

    /// Returns the load of this entry with the waiting work by priority, as it is reported to other entries.
    entry_load currentLoad() const override;

    /// Returns the number of jobs that the dispatcher keeps: unanswered ones, and answered ones with runs that are being stopped.
    std::size_t activeJobs() const;

    const dispatch_counters &counters() const;

    /// Returns the numbers of refused jobs by the resource that they were refused for.
    const refusal_counters &refusals() const;

private:
    /// Returns the number of the queue's active job with the identifier; nothing if there is none.
    std::optional<std::uint64_t> findActive(std::string_view queue, const std::string &id) const;
    /// Decides on a new job: it is passed on, refused or kept.
    /// Returns the answer for a job that another entry refused, or nothing if it is queued. One that was admitted here before is not put
    /// through admission again: it is queued as it was, or passes the second check of its wait, for which it was handed over.
    std::optional<job_answer> checkReturned(active_job &job);
    /// Answers the jobs that still have no worker, once the time in which workers were expected is over.
    void endWaitForWorkers();
    /// Counts an order, a result or an answer against the processor budget, if there is one.
    void recordOperation();
    /// Returns whether a request on the route may be answered by the active job.
    bool canJoin(const active_job &active, const route &jobRoute) const;
    void join(active_job &active, std::uint64_t request, const route &jobRoute);
    /// Returns whether all callers of the job have left, as far as that can have changed since it was submitted.
    bool haveCallersLeft(const active_job &job) const;
    /// Counts the job as admitted, once.
    void recordAdmission(active_job &job);
    void admit(active_job job, std::uint64_t request);
    active_job &keep(active_job job, std::uint64_t request);
    /// Passes the job on if there is another entry for it. Returns whether it did.
    bool forward(active_job &job, const admission_decision &decision);
    /// Passes the job on if another entry is expected to start it by the given time.
    bool forwardBy(active_job &job, resource_shortage shortage, steady_time startBy);
    /// Passes on the jobs that have not begun, because this entry stops.
    void forwardUnstartedJobs();
    void enqueue(active_job &job);
    void recordUnplaced(const active_job &job, std::uint32_t task);
    void handleSuccessfulRun(active_job &job, std::uint32_t task);
    void handleUnsuccessfulRun(active_job &job, active_task &task, run_outcome outcome, const std::string &agent);
    /// Orders runs for the job's waiting tasks. A task that does not fit into the possible capacity fits no worker, so that none is tried
    /// for it. Returns whether all of them found a worker. Stops when the link is full.
    bool placeTasks(active_job &job, const task_shape &possibleCapacity);
    /// Lets the jobs that left free capacity to others use what is still free.
    void placeDecliningJobs();
    /// Returns the answer for a job that has crashed too many workers, or nothing.
    std::optional<job_answer> checkCrashes(const active_job &job) const;
    /// Refuses the unstarted jobs that no worker outside the evacuated data centres can run.
    void refuseEvacuatedJobs();
    /// Stops runs of lower priorities for waiting jobs that would otherwise start too late.
    void preemptRuns();
    /// Answers all requests of the job, and stops its runs. The job may be destroyed.
    void endJob(active_job &job, const job_answer &answer);
    /// Destroys the job unless a run of it may be active, here or at another entry.
    void removeIfNoRunIsActive(active_job &job);
    /// Delivers the answer to one request, counts it and records it in the journal.
    void answerSingleRequest(std::uint64_t request, const active_job &job, const job_answer &answer);

    const time_source &m_time;
    worker_pool &m_pool;
    placement_policy &m_placement;
    local_load &m_localLoad;
    answer_sink &m_answers;
    job_journal m_journal;
    /// Null when there is none.
    priority_control *m_priorities;
    /// Nothing when no runs are stopped for jobs of higher priorities.
    std::optional<run_preemption> m_preemption;
    std::map<std::uint64_t, active_job> m_jobs;
    task_exclusions m_exclusions;
    asked_jobs m_askedJobs;
    std::map<std::string, std::uint64_t> m_jobNumbersById;
    std::map<std::uint64_t, std::uint64_t> m_jobNumbersByRequest;
    urgency_queue m_waitingJobs;
    run_mover m_mover;
    /// Null when processor time is not limited.
    processor_budget *m_processor;
    link_admission m_link;
    job_admission m_admission;
    std::optional<steady_time> m_workersExpectedUntil;
    reservation_planner *m_planner = nullptr;
    std::uint64_t m_nextJobNumber = 1;
    /// Whether waiting tasks are to be placed although no worker's capacity has changed.
    bool m_isPlacementNeeded = false;
    /// Whether all workers are to be tried for each waiting job, and not only for those that were not tried since they were queued.
    bool m_isEachJobDue = false;
    /// When unstarted jobs are checked against evacuations again.
    steady_time m_nextEvacuationCheck{};
    /// Whether the latest order had to wait for the link.
    bool m_isLinkFull = false;
    /// Largest amount of each resource that the tasks without a worker need in the current pass over the waiting jobs.
    task_shape m_largestUnplaced;
    /// Thousandths of a core that the tasks without a worker need in the current pass.
    double m_unplacedMilliCores = 0;
    /// Whether tasks leave free capacity on which they would be late to the tasks behind them.
    bool m_isYielding = false;
    /// Whether a waiting job may be marked as declining.
    bool m_areJobsDeclining = false;
    const caller_presence *m_callers = nullptr;
    job_forwarder *m_forwarder = nullptr;
    job_removal_listener *m_removalListener = nullptr;
    crash_guard *m_crashGuard = nullptr;
    bool m_isStopping = false;
    dispatch_counters m_counters;
};

}

#endif
