#ifndef AZUREMOOR_DISPATCH_CRASH_GUARD_H
#define AZUREMOOR_DISPATCH_CRASH_GUARD_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "dispatch/active_job.h"
#include "dispatch/crash_ledger.h"
#include "dispatch/job_answer.h"
#include "dispatch/queue_containment.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/**
 * Keeps jobs that crash their workers from worker after worker.
 *
 * A job that is given up fails, and one that is held waits for what becomes known of the workers. A suspect one runs apart from other
 * suspect ones, on an idle worker if there is one, its tasks on as few workers as they fit on, so that a further crash shows which job is
 * to blame and costs one worker. The jobs of contained queues run on a part of the workers, few at once, a suspect one alone on its worker,
 * and the other jobs on the other workers.
 */
class crash_guard
{
public:
    crash_guard(const time_source &time, const worker_pool &pool, decision_journal &journal);

    /// Sets the jobs of this entry by number, which must outlive this object. Must be called before anything else.
    void setJobs(const std::map<std::uint64_t, active_job> &jobs);

    /// Reads the agent's report of a crash.
    void recordCrash(const std::string &agent, const crash_report &report);

    /// Records that all tasks of the job have ended well.
    void recordCompleted(const std::string &job);

    /// Returns the answer for a new job that is not to be run, or nothing.
    std::optional<job_answer> checkArrival(const active_job &job);

    /// Returns the answer for a job that is given up, or nothing.
    std::optional<job_answer> checkGivenUp(const active_job &job) const;

    /// Returns whether the job's orders are to ask the worker first, because workers have crashed to which its tasks had been ordered:
    /// others may have crashed at the same moment without anybody knowing yet.
    bool mustAskWorkers(const active_job &job) const;

    /// Returns whether the job is suspect or given up, or one of a contained queue.
    bool isSetApart(const active_job &job) const;

    /// Adds the agents that must not get a task of the job's step.
    void addExcluded(const active_job &job, std::uint32_t step, std::set<std::string> &agents) const;

    /// Forgets old evidence, and releases queues. Must be called about every 20 ms.
    void tick();

    const crash_ledger &ledger() const;
    const queue_containment &containment() const;

    /// Returns the number of jobs that were refused because their queue is contained.
    std::uint64_t refusedJobs() const;

private:
    enum class run_kind : std::uint8_t {
        any,
        suspect,
    };

    /// Learns the services of the workers, at a limited rate.
    void updateServices();
    /// Chooses the agents that are set apart, by service.
    void updateContainingAgents();
    /// Adds the agents that must not get a task of the suspect job: those with runs of other suspect jobs, or of any other if it is to run
    /// alone. If there is an idle worker, or one with a run of the job, that has room, all others are added.
    void addSuspectExclusions(const active_job &job, const step_spec &step, bool isAlone, std::set<std::string> &agents) const;
    /// Returns whether a worker of the service is usable that is not set apart.
    bool hasOtherWorkers(const std::string &service) const;
    /// Returns whether the worker has a run of the kind that belongs to another job.
    bool hasOtherRun(const pooled_worker &worker, const active_job &job, run_kind kind) const;
    /// Returns whether the run is one of a suspect job.
    bool isSuspect(const task_reference &run) const;

    const time_source &m_time;
    const worker_pool &m_pool;
    const std::map<std::uint64_t, active_job> *m_jobs = nullptr;
    crash_ledger m_ledger;
    queue_containment m_containment;
    /// Services of the workers by agent, those that are down included: a fixed part is set apart, whichever of them are up. Empty for
    /// workers that have been down since this entry started; these may be of any service.
    std::map<std::string, std::string> m_services;
    steady_time m_nextServicesUpdate{};
    /// Of the services with a contained queue and enough workers.
    std::map<std::string, std::set<std::string>> m_containingAgents;
    std::uint64_t m_refusedJobs = 0;
};

}

#endif
