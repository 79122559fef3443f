#ifndef AZUREMOOR_DISPATCH_JOB_ADMISSION_H
#define AZUREMOOR_DISPATCH_JOB_ADMISSION_H

#include <cstdint>
#include <optional>
#include <string>

#include "base/decision_journal.h"
#include "dispatch/active_job.h"
#include "dispatch/admission_policy.h"
#include "dispatch/crash_guard.h"
#include "dispatch/entry_load_table.h"
#include "dispatch/job_answer.h"
#include "dispatch/link_admission.h"
#include "dispatch/local_load.h"
#include "dispatch/placement_policy.h"
#include "dispatch/priority_control.h"
#include "dispatch/processor_budget.h"
#include "dispatch/urgency_queue.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// Time after which a caller is told to retry when something other than room is missing: the entry has heard by then of workers that
/// became ready, or a run that is being stopped has ended.
constexpr microseconds NEWS_DELAY = milliseconds(500);

/// Time after which a caller is told to retry when an operator has to change something first.
constexpr microseconds OPERATOR_DELAY = seconds(5);

/// Numbers of refused jobs by the resource that was short.
struct refusal_counters {
    std::uint64_t processor = 0;
    std::uint64_t link = 0;
    std::uint64_t capacity = 0;
};

/// What is decided on a job that has not started.
struct admission_decision {
    /// The answer for a job that cannot be served while its caller waits; nothing for others.
    std::optional<job_answer> refusal;
    /// What the entry is short of for the job, so that it is refused or expected to miss its latency objective here.
    resource_shortage shortage = resource_shortage::none;
};

/**
 * Decides whether an entry admits a job, from the job's own requirements, the state of the entry and the load on the workers.
 *
 * Nothing is ordered for a job before it is admitted, so that a refusal always says truly that the job has not run. The objects that the
 * constructor takes must outlive this one. The processor budget and the priorities may be null; then they decide nothing.
 */
class job_admission
{
public:
    job_admission(const time_source &time,
                  const worker_pool &pool,
                  const placement_policy &placement,
                  const admission_policy &policy,
                  const urgency_queue &waitingJobs,
                  const processor_budget *processor,
                  const link_admission &link,
                  const local_load &localLoad,
                  decision_journal &journal,
                  priority_control *priorities);

    /// Decides whether a job is admitted on its arrival. The number of jobs is that of the jobs that the entry keeps already. Records the
    /// work that the caller asks for if only the load may prevent the job, and sets `active_job::shareStart`.
    admission_decision checkArrival(active_job &job, std::uint64_t request, std::size_t keptJobs);

    /// Returns whether a new job was read so late that it is expected to miss its latency objective here, or to be refused, because the
    /// entry's processor has no time for it. Records nothing, so that the job may be passed on instead.
    bool isProcessorShort(const active_job &job, std::size_t keptJobs) const;

    /// Decides whether a waiting job is still expected to start early enough for its caller.
    admission_decision checkWaiting(const active_job &job);

    /// Returns the refusal of a waiting job that has not started while that was useful, and records it.
    job_answer refuseMissedStart(const active_job &job);

    /// Returns the refusal of a job that only workers in evacuated data centres could run, or nothing. While nothing is evacuated, there is
    /// none.
    std::optional<job_answer> checkEvacuation(const active_job &job) const;

    /// Returns the answer for a job that the known workers cannot run, or nothing.
    std::optional<job_answer> checkWorkers(const active_job &job) const;

    /// Returns whether workers that can run the job are expected to connect, though none is known yet. A job of another entry does not wait
    /// for them, since its origin may know others.
    bool awaitsWorkers(const active_job &job) const;

    /// Admits jobs without a worker until the given time, since an entry that has just started learns of the workers only as they connect.
    void setWorkersExpectedUntil(steady_time end);

    /// Returns the expected time until the last waiting task of the job starts.
    microseconds expectedWait(const active_job &job) const;

    /// Returns a refusal that tells the caller to retry after the given time.
    job_answer
    refusal(answer_kind kind, const std::string &reason, microseconds wait, resource_shortage shortage = resource_shortage::none) const;

    /// Restricts admission to jobs that are expected to be done by the given time, at which the entry stops.
    void beginShutdown(steady_time end);

    /// Sets what refuses jobs that crash workers, or whose queue does. It must outlive this object. Without it nothing does.
    void setCrashGuard(crash_guard &guard);

    /// Sets the number of entries that share the workers, including this one.
    void setEntryCount(std::size_t entryCount);

    const refusal_counters &refusals() const;

private:
    /// Returns the refusal of a job that something other than the load prevents, or nothing.
    std::optional<job_answer> checkRequirements(const active_job &job, std::size_t keptJobs) const;
    std::optional<job_answer> checkWorkers(const active_job &job, const admission_load &load) const;
    bool isProcessorExhausted(const active_job &job) const;
    /// Returns the refusal of a job that the entry's processor has no time for, or nothing, and records it.
    std::optional<job_answer> checkProcessor(const active_job &job, std::uint64_t request);
    /// Returns what makes the job miss its latency objective, if the given delays do.
    resource_shortage objectiveShortage(const active_job &job, microseconds wait, microseconds linkDelay) const;
    /// Returns the expected wait of a new job whose account or data centre asks for more than its fair share: until the waiting work of
    /// that member has started at its fair part of the rate. Returns 0 for others, and without an overload.
    microseconds waitWithinShare(const active_job &job, const admission_load &load) const;
    admission_load loadFor(const active_job &job) const;
    bool fitsNoWorker(const active_job &job) const;

    const time_source &m_time;
    const worker_pool &m_pool;
    const placement_policy &m_placement;
    const admission_policy &m_policy;
    const urgency_queue &m_waitingJobs;
    const processor_budget *m_processor;
    const link_admission &m_link;
    const local_load &m_localLoad;
    decision_journal &m_journal;
    refusal_counters m_refusals;
    priority_control *m_priorities;
    crash_guard *m_crashGuard = nullptr;
    std::size_t m_entryCount = 1;
    std::optional<steady_time> m_shutdownDeadline;
    std::optional<steady_time> m_workersExpectedUntil;
};

}

#endif
