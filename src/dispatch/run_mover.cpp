#include "dispatch/run_mover.h"

#include "dispatch/evacuated_runs.h"

namespace azuremoor
{

namespace
{

/// Maximum number of stalled or slow runs of one task that are stopped to run it on another worker.
constexpr std::uint32_t MAX_MOVED_RUNS = 3;

}

run_mover::run_mover(
    const time_source &time, worker_pool &pool, placement_policy &placement, const straggler_policy &stragglers, decision_journal &journal)
    : m_time(time)
    , m_pool(pool)
    , m_placement(placement)
    , m_stragglers(stragglers)
    , m_journal(journal)
{
}

std::size_t run_mover::moveRuns(std::map<std::uint64_t, active_job> &jobs)
{
    const steady_time now = m_time.steadyNow();
    std::size_t moved = 0;
    // Computed over all workers, so only if there is a run to assess. Moving runs does not change it.
    std::optional<double> medianSlowness;
    for (auto &[agent, worker] : m_pool.workers()) {
        if (worker.runs.empty()) {
            continue;
        }
        const bool isLeaving = worker.isEvacuated && m_pool.isResponsive(worker, now);
        if (!isLeaving && !m_pool.isUsable(worker, now)) {
            continue;
        }
        medianSlowness = medianSlowness ? medianSlowness : poolMedians(m_pool, now).slowness;
        for (const auto &[sequence, run] : worker.runs) {
            const run_health health = assess(worker, run, isLeaving, *medianSlowness, now);
            if (health != run_health::sound && moveRun(jobs.at(run.task.job), worker, sequence, health)) {
                ++moved;
            }
        }
    }
    return moved;
}

run_health
run_mover::assess(const pooled_worker &worker, const outstanding_run &run, bool isLeaving, double medianSlowness, steady_time now) const
{
    if (run.isStopping) {
        return run_health::sound;
    }
    const run_health health = m_stragglers.assessRun(worker, run, medianSlowness, now);
    if (isLeaving && health == run_health::sound && endsSoonerElsewhere(worker, run, medianSlowness, now)) {
        return run_health::evacuated;
    }
    return health;
}

bool run_mover::moveRun(active_job &job, pooled_worker &worker, std::uint64_t sequence, run_health health)
{
    const outstanding_run &run = worker.runs.at(sequence);
    active_task &task = job.tasks[run.task.task];
    if (job.isEnding || task.movedRuns >= MAX_MOVED_RUNS) {
        return false;
    }
    const placement_request alternative{&job.stepOf(run.task.task), job.matchedRoute.service, worker.agent, {worker.agent}};
    const pooled_worker *other = m_placement.chooseWorker(m_pool, alternative);
    if (other == nullptr) {
        return false;
    }
    if (health == run_health::evacuated && !endsSoonerElsewhere(worker, run, other->performance.slowness(), m_time.steadyNow())) {
        return false;
    }
    ++task.movedRuns;
    if (health == run_health::stalled) {
        worker.performance.recordFailure(m_time.steadyNow());
    }
    m_journal.note("run_moved",
                   {{"job", job.spec.id},
                    {"task", job.taskName(run.task.task)},
                    {"agent", worker.agent},
                    {"health", std::string(runHealthName(health))},
                    {"percent", std::to_string(run.percent.value_or(0))}});
    m_pool.stopRun(worker, sequence);
    return true;
}

}
