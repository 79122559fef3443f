#include "dispatch/run_preemption.h"

#include <algorithm>
#include <set>

namespace azuremoor
{

namespace
{

/// Minimum time between two decisions, to bound their cost in processor time.
constexpr microseconds DECISION_INTERVAL = milliseconds(20);

/// Time from the end of a run until its capacity has been ordered again.
constexpr microseconds ORDER_TIME = milliseconds(20);

/// Maximum number of jobs for which runs are considered in one decision.
constexpr std::size_t MAX_CONSIDERED_JOBS = 16;

/// Multiple of the estimated wait that a job is assumed to wait after one of its runs was stopped, since higher priorities come first.
constexpr int WAIT_FACTOR = 2;

constexpr double PERCENT = 100;

microseconds expectedTime(const pooled_worker &worker, const outstanding_run &run)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(run.estimate.count()) * worker.performance.slowness()));
}

bool canRun(const pooled_worker &worker, const step_spec &step)
{
    const std::vector<std::string> &labels = worker.status.labels;
    return step.requiredLabel.empty() || std::ranges::find(labels, step.requiredLabel) != labels.end();
}

}

run_preemption::run_preemption(
    const time_source &time, worker_pool &pool, const preemption_policy &policy, priority_control &priorities, decision_journal &journal)
    : m_time(time)
    , m_pool(pool)
    , m_policy(policy)
    , m_priorities(priorities)
    , m_journal(journal)
{
}

bool run_preemption::isDue(const active_job *mostUrgent) const
{
    if (mostUrgent == nullptr || mostUrgent->matchedRoute.priority >= m_priorities.lowestPriority()) {
        return false;
    }
    const steady_time now = m_time.steadyNow();
    return m_priorities.isActive() && now >= m_nextDecision && m_priorities.shares().remainingLossBudget(now) > 0;
}

void run_preemption::preempt(const std::vector<active_job *> &waiting,
                             std::map<std::uint64_t, active_job> &jobs,
                             const wait_estimate &expectedWait)
{
    const steady_time now = m_time.steadyNow();
    m_nextDecision = now + DECISION_INTERVAL;
    const std::optional<std::uint32_t> lowest = lowestRunningPriority(jobs);
    if (!lowest) {
        return;
    }
    // The wait is estimated once for each priority, since an estimate for each run would take much processor time.
    std::map<std::uint32_t, microseconds> waits;
    const wait_estimate waitOfPriority = [&waits, &expectedWait](const active_job &job) {
        const auto [found, isNew] = waits.try_emplace(job.matchedRoute.priority);
        if (isNew) {
            found->second = expectedWait(job);
        }
        return found->second;
    };
    std::map<std::string, capacity_forecast> forecasts;
    std::size_t consideredJobs = 0;
    for (const active_job *job : waiting) {
        if (job->matchedRoute.priority >= *lowest || consideredJobs == MAX_CONSIDERED_JOBS) {
            break;
        }
        if (job->isLate || job->latestStart() <= now + PREEMPTION_TIME) {
            continue;
        }
        ++consideredJobs;
        const auto [found, isNew] = forecasts.try_emplace(job->matchedRoute.service);
        if (isNew) {
            found->second = forecast(job->matchedRoute.service);
        }
        // What cannot make place for this job hardly makes place for less urgent ones.
        if (!preemptFor(*job, found->second, jobs, waitOfPriority)) {
            break;
        }
    }
}

void run_preemption::capacity_forecast::advanceTo(steady_time time)
{
    by = std::max(by, time);
    for (; nextRelease < releases.size() && releases[nextRelease].at < by; ++nextRelease) {
        workers[releases[nextRelease].worker].available += releases[nextRelease].shape;
    }
}

std::optional<std::uint32_t> run_preemption::lowestRunningPriority(const std::map<std::uint64_t, active_job> &jobs) const
{
    std::optional<std::uint32_t> lowest;
    for (const auto &[agent, worker] : m_pool.workers()) {
        for (const auto &[sequence, run] : worker.runs) {
            lowest = std::max(lowest.value_or(0), jobs.at(run.task.job).matchedRoute.priority);
        }
    }
    return lowest;
}

run_preemption::capacity_forecast run_preemption::forecast(const std::string &service) const
{
    const steady_time now = m_time.steadyNow();
    capacity_forecast result;
    for (auto &[agent, worker] : m_pool.workers()) {
        if (!m_pool.isUsable(worker, now) || worker.status.service != service) {
            continue;
        }
        // The agent reports the capacity of an ended run a little later than its end.
        worker_forecast each{&worker, worker.availableCapacity()};
        each.available += worker.endedSinceReport;
        for (const auto &[sequence, run] : worker.runs) {
            if (run.isStopping) {
                each.available += run.shape;
            } else {
                result.releases.push_back({run.orderedAt + expectedTime(worker, run), result.workers.size(), run.shape});
            }
        }
        result.workers.push_back(each);
    }
    std::ranges::sort(result.releases, {}, &expected_release::at);
    return result;
}

std::vector<const step_spec *> run_preemption::reserve(capacity_forecast &forecast, const active_job &job)
{
    std::vector<const step_spec *> unplaced;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].state == task_state::waiting && !reserveTask(forecast, job.stepOf(index))) {
            unplaced.push_back(&job.stepOf(index));
        }
    }
    return unplaced;
}

bool run_preemption::reserveTask(capacity_forecast &forecast, const step_spec &step)
{
    const auto fitting = std::ranges::find_if(forecast.workers, [&step](const worker_forecast &each) {
        return step.shape.fitsInto(each.available) && canRun(*each.worker, step);
    });
    if (fitting == forecast.workers.end()) {
        return false;
    }
    fitting->available = fitting->available.saturatingMinus(step.shape);
    return true;
}

bool run_preemption::preemptFor(const active_job &job,
                                capacity_forecast &forecast,
                                std::map<std::uint64_t, active_job> &jobs,
                                const wait_estimate &expectedWait)
{
    forecast.advanceTo(job.latestStart() - ORDER_TIME);
    const std::vector<const step_spec *> unplaced = reserve(forecast, job);
    if (unplaced.empty()) {
        return true;
    }
    preemption_request request;
    for (const step_spec *step : unplaced) {
        request.tasks.push_back(step->shape);
    }
    for (const worker_forecast &each : forecast.workers) {
        if (std::ranges::all_of(unplaced, [&each](const step_spec *step) { return canRun(*each.worker, *step); })) {
            request.workers.push_back(candidatesAt(each, forecast.by, job, jobs, expectedWait));
        }
    }
    request.gainedWork = job.totalWork();
    request.lossBudget = m_priorities.shares().remainingLossBudget(m_time.steadyNow());
    const std::vector<preempted_run> chosen = m_policy.chooseRuns(request);
    for (const preempted_run &run : chosen) {
        const auto stopped = std::ranges::find(forecast.workers, run.agent, [](const worker_forecast &each) { return each.worker->agent; });
        stopped->available += stopped->worker->runs.at(run.sequence).shape;
        stop(run, job, jobs);
    }
    for (const step_spec *step : unplaced) {
        reserveTask(forecast, *step);
    }
    return !chosen.empty();
}

preemptible_worker run_preemption::candidatesAt(const worker_forecast &workerForecast,
                                                steady_time by,
                                                const active_job &job,
                                                std::map<std::uint64_t, active_job> &jobs,
                                                const wait_estimate &expectedWait) const
{
    const steady_time now = m_time.steadyNow();
    const pooled_worker &worker = *workerForecast.worker;
    preemptible_worker result{worker.agent, workerForecast.available, {}};
    for (const auto &[sequence, run] : worker.runs) {
        const active_job &owner = jobs.at(run.task.job);
        // What ends in time by itself is in the forecast. An order of the same event has not left this entry.
        if (run.isStopping || owner.isEnding || m_priorities.shares().isBelowMinimum(owner.matchedRoute.priority, now)
            || owner.matchedRoute.priority <= job.matchedRoute.priority || run.orderedAt + expectedTime(worker, run) < by
            || m_pool.isOrderUnsent(worker, sequence)) {
            continue;
        }
        preemptible_run candidate;
        candidate.sequence = sequence;
        candidate.job = run.task.job;
        candidate.priority = owner.matchedRoute.priority;
        candidate.shape = run.shape;
        candidate.age = now - run.orderedAt;
        candidate.expectedTime = expectedTime(worker, run);
        candidate.progress = run.percent.value_or(0) / PERCENT;
        candidate.preemptedRunsOfTask = owner.tasks[run.task.task].preemptedRuns;
        candidate.preemptedRunsOfJob = owner.preemptedRuns;
        if (!m_policy.mayStop(candidate)) {
            continue;
        }
        const steady_time end = expectedEnd(owner, expectedWait(owner));
        if (end <= owner.deadline) {
            candidate.delayedWork = end > owner.latencyObjective() ? owner.totalWork() : 0;
            result.runs.push_back(candidate);
        }
    }
    return result;
}

steady_time run_preemption::expectedEnd(const active_job &job, microseconds expectedWait) const
{
    return m_time.steadyNow() + PREEMPTION_TIME + WAIT_FACTOR * expectedWait + job.remainingWorkTime();
}

void run_preemption::stop(const preempted_run &run, const active_job &beneficiary, std::map<std::uint64_t, active_job> &jobs)
{
    pooled_worker &worker = m_pool.workers().at(run.agent);
    const outstanding_run &stopped = worker.runs.at(run.sequence);
    active_job &job = jobs.at(stopped.task.job);
    active_task &task = job.tasks[stopped.task.task];
    ++job.preemptedRuns;
    ++task.preemptedRuns;
    task.isBeingPreempted = true;
    const microseconds age = m_time.steadyNow() - stopped.orderedAt;
    const double lostWork = static_cast<double>(stopped.shape.milliCores) * static_cast<double>((age + PREEMPTION_TIME).count());
    m_priorities.recordPreempted(job, lostWork);
    m_journal.note("run_preempted",
                   {{"job", job.spec.id},
                    {"task", job.taskName(stopped.task.task)},
                    {"priority", std::to_string(job.matchedRoute.priority)},
                    {"for_job", beneficiary.spec.id},
                    {"for_priority", std::to_string(beneficiary.matchedRoute.priority)},
                    {"agent", run.agent},
                    {"age_us", std::to_string(age.count())},
                    {"expected_us", std::to_string(expectedTime(worker, stopped).count())},
                    {"percent", std::to_string(stopped.percent.value_or(0))},
                    {"time_to_start_us", std::to_string((beneficiary.latestStart() - m_time.steadyNow()).count())},
                    {"status_age_us", std::to_string((m_time.steadyNow() - worker.statusReceivedAt).count())}});
    m_pool.stopRun(worker, run.sequence);
}

}
