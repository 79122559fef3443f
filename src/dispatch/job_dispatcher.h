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
#include "dispatch/admission_policy.h"
#include "dispatch/decaying_rate.h"
#include "dispatch/job_answer.h"
#include "dispatch/placement_policy.h"
#include "dispatch/straggler_policy.h"
#include "dispatch/urgency_queue.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// What a dispatcher has counted.
struct dispatch_counters {
    std::uint64_t admitted = 0;
    std::uint64_t orders = 0;
    std::uint64_t retries = 0;
    std::uint64_t failedRuns = 0;
    std::uint64_t refusedOrders = 0;
    std::uint64_t movedRuns = 0;
    std::uint64_t abandoned = 0;
    std::array<std::uint64_t, ANSWER_KIND_COUNT> answers{};
};

/**
 * Owns the jobs that an entry admitted: decides who is served, orders their runs, retries what ended without success, and answers.
 *
 * Jobs live in memory only. A job whose caller is gone, whose time is over or that has failed is ended early, and no run of it is
 * repeated before the earlier one is known to be over.
 */
class job_dispatcher : public run_listener
{
public:
    job_dispatcher(const time_source &time,
                   worker_pool &pool,
                   placement_policy &placement,
                   const admission_policy &admission,
                   const straggler_policy &stragglers,
                   answer_sink &answers,
                   decision_journal &journal);

    /// Takes a request to run a job by the deadline. It is answered through the sink, perhaps at once.
    void submit(std::uint64_t request, job_spec spec, const route &jobRoute, steady_time deadline);

    /// The caller of a request has left.
    void abandonRequest(std::uint64_t request);

    /// Cancels the job. Returns whether it was known.
    bool cancel(const std::string &id);

    /// Returns whether the job is known and not answered.
    bool isActive(const std::string &id) const;

    /// Returns the number of the queue's jobs of which no task has started.
    std::size_t pendingJobs(const std::string &queue) const;

    void handleRunEnd(const task_reference &task, run_outcome outcome, const std::string &agent) override;

    /// Orders runs for waiting tasks as far as there is room. To be called when room or work may have come.
    void placeWaitingTasks();

    /// Ends what is out of time; to be called often.
    void tick();

    /// From now on takes only jobs that can be expected to be over by the time given, which is when this process ends.
    void beginShutdown(steady_time end);

    /// Answers everything that is not answered, and stops its runs: this process ends now.
    void expireAllJobs();

    /// Sets how many entries share the workers, this one included.
    void setEntryCount(std::size_t entryCount);

    /// Returns the number of jobs that are not over.
    std::size_t activeJobs() const;

    const dispatch_counters &counters() const;

private:
    void enqueue(active_job &job);
    admission_load loadFor(const active_job &job) const;
    bool refuseOnArrival(const active_job &job, std::uint64_t request);
    bool fitsNoWorker(const active_job &job) const;
    void handleSuccessfulRun(active_job &job, std::uint32_t task);
    void handleUnsuccessfulRun(active_job &job, active_task &task, run_outcome outcome, const std::string &agent);
    bool placeTasks(active_job &job);
    std::set<std::string> agentsAtLimit(const active_job &job, std::uint32_t step) const;
    void moveStragglers();
    void moveRun(pooled_worker &worker, std::uint64_t sequence, run_health health);
    void recheckAdmission(active_job &job);
    void endJob(active_job &job, const job_answer &answer);
    void removeIfNoRunIsActive(active_job &job);
    job_answer refusal(answer_kind kind, const std::string &reason, microseconds wait) const;
    void answerSingleRequest(std::uint64_t request, const active_job &job, const job_answer &answer);

    const time_source &m_time;
    worker_pool &m_pool;
    placement_policy &m_placement;
    const admission_policy &m_admission;
    const straggler_policy &m_stragglers;
    answer_sink &m_answers;
    decision_journal &m_journal;
    std::map<std::uint64_t, active_job> m_jobs;
    std::map<std::string, std::uint64_t> m_jobNumbersById;
    std::map<std::uint64_t, std::uint64_t> m_jobNumbersByRequest;
    urgency_queue m_waitingJobs;
    std::uint64_t m_nextJobNumber = 1;
    /// Waiting tasks may find room that they did not find before.
    bool m_isPlacementNeeded = false;
    /// Work that was ordered lately.
    decaying_rate m_orderedWork;
    std::size_t m_entryCount = 1;
    std::optional<steady_time> m_shutdownDeadline;
    dispatch_counters m_counters;
};

}

#endif
