#include "dispatch/job_admission.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Maximum number of jobs that one entry keeps, including those whose runs are being stopped.
constexpr std::size_t MAX_KEPT_JOBS = 4000;

/// An entry that shuts down assumes that a job takes this multiple of its critical path, plus the margin.
constexpr int SHUTDOWN_ESTIMATE_FACTOR = 2;
constexpr milliseconds SHUTDOWN_MARGIN{200};

/// Shortest time after which a caller is told to retry.
constexpr microseconds MIN_RETRY_DELAY = milliseconds(1);

/// Longest time after which a caller is told to retry for want of room: the load at an entry may be another one by then.
constexpr microseconds RETRY_HORIZON = seconds(60);

const std::string LINK_SHORT = "the entry's link cannot carry it while its caller waits";

constexpr double PER_MILLE = 1000;

/// Returns the decision for a job that is refused.
admission_decision refused(job_answer answer)
{
    const resource_shortage shortage = answer.shortage;
    return {std::move(answer), shortage};
}

/// Returns the thousandths of a core that tasks of the given size can use; a size of 0 counts all.
std::uint32_t usableMilliCores(const task_shape &available, std::uint32_t taskMilliCores)
{
    return taskMilliCores == 0 ? available.milliCores : available.milliCores - available.milliCores % taskMilliCores;
}

}

job_admission::job_admission(const time_source &time,
                             const worker_pool &pool,
                             const placement_policy &placement,
                             const admission_policy &policy,
                             const urgency_queue &waitingJobs,
                             const processor_budget *processor,
                             const link_admission &link,
                             const local_load &localLoad,
                             decision_journal &journal,
                             priority_control *priorities)
    : m_time(time)
    , m_pool(pool)
    , m_placement(placement)
    , m_policy(policy)
    , m_waitingJobs(waitingJobs)
    , m_processor(processor)
    , m_link(link)
    , m_localLoad(localLoad)
    , m_journal(journal)
    , m_priorities(priorities)
{
}

admission_decision job_admission::checkArrival(active_job &job, std::uint64_t request, std::size_t keptJobs)
{
    if (std::optional<job_answer> answer = checkRequirements(job, keptJobs)) {
        return refused(std::move(*answer));
    }
    if (std::optional<job_answer> answer = m_crashGuard == nullptr ? std::nullopt : m_crashGuard->checkArrival(job)) {
        m_journal.note("job_refused_crashes",
                       {{"job", job.spec.id}, {"request", std::to_string(request)}, {"queue", job.matchedRoute.name}});
        return refused(std::move(*answer));
    }
    if (std::optional<job_answer> answer = checkProcessor(job, request)) {
        return refused(std::move(*answer));
    }
    if (awaitsWorkers(job)) {
        m_journal.note("job_awaits_workers",
                       {{"job", job.spec.id}, {"request", std::to_string(request)}, {"queue", job.matchedRoute.name}});
        if (m_priorities != nullptr) {
            m_priorities->recordAsked(job);
        }
        return {};
    }
    if (std::optional<job_answer> answer = checkEvacuation(job)) {
        return refused(std::move(*answer));
    }
    const admission_load load = loadFor(job);
    if (std::optional<job_answer> answer = checkWorkers(job, load)) {
        return refused(std::move(*answer));
    }
    if (m_priorities != nullptr) {
        m_priorities->recordAsked(job);
    }
    const microseconds queueWait = m_policy.expectedWait(load);
    const microseconds shareWait = queueWait > microseconds(0) ? waitWithinShare(job, load) : microseconds(0);
    job.shareStart = m_time.steadyNow() + shareWait;
    const microseconds wait = std::max(queueWait, shareWait);
    const bool isTooLate = wait > microseconds(0) && wait > maxExpectedWait(job.lastUsefulStart() - m_time.steadyNow());
    const microseconds linkDelay = m_link.expectedDelay(job);
    const bool isLinkShort = m_link.isShortFor(job) || m_link.delaysWaitingJobs(job);
    const bool isCapacityShort = isTooLate || m_policy.delaysAdmittedJobs(load);
    const bool isAdmitted = !isCapacityShort && !isLinkShort;
    m_journal.note(isAdmitted ? "job_admitted" : "job_refused",
                   {{"job", job.spec.id},
                    {"request", std::to_string(request)},
                    {"queue", job.matchedRoute.name},
                    {"tasks", std::to_string(job.tasks.size())},
                    {"priority", std::to_string(job.matchedRoute.priority)},
                    {"account", job.caller.account},
                    {"share_wait_us", std::to_string(shareWait.count())},
                    {"time_to_start_us", std::to_string((job.lastUsefulStart() - m_time.steadyNow()).count())},
                    {"rate_millicores", std::to_string(static_cast<std::int64_t>(expectedRate(load)))},
                    {"share_permille", std::to_string(static_cast<std::int64_t>(load.share * PER_MILLE))},
                    {"expected_wait_us", std::to_string(wait.count())},
                    {"link_delay_us", std::to_string(linkDelay.count())},
                    {"processor_delay_us", std::to_string((m_time.steadyNow() - job.arrival).count())},
                    {"free_millicores", std::to_string(static_cast<std::int64_t>(load.freeMilliCores))},
                    {"capacity_millicores", std::to_string(static_cast<std::int64_t>(load.capacityMilliCores))}});
    if (isAdmitted) {
        return {std::nullopt, objectiveShortage(job, wait, linkDelay)};
    }
    if (!isCapacityShort) {
        ++m_refusals.link;
        return refused(refusal(answer_kind::refused_full, LINK_SHORT, linkDelay, resource_shortage::link));
    }
    ++m_refusals.capacity;
    if (isTooLate) {
        const std::string reason = "queued work would keep it from being done while its caller waits";
        return refused(refusal(answer_kind::refused_full, reason, std::max(wait, linkDelay), resource_shortage::share));
    }
    const std::string reason = "it would keep admitted jobs from being done while their callers wait";
    return refused(refusal(answer_kind::refused_full, reason, std::max(m_policy.queueWait(load), linkDelay), resource_shortage::share));
}

std::optional<job_answer> job_admission::checkWorkers(const active_job &job) const
{
    return checkWorkers(job, loadFor(job));
}

std::optional<job_answer> job_admission::checkWorkers(const active_job &job, const admission_load &load) const
{
    if (load.capacityMilliCores <= 0) {
        return refusal(answer_kind::refused_unavailable, "no worker is ready", NEWS_DELAY);
    }
    if (!fitsNoWorker(job)) {
        return std::nullopt;
    }
    if (!job.origin.empty()) {
        // The origin may know other workers, so that it decides.
        return refusal(answer_kind::refused_unavailable, "no worker known here can run one of its tasks", NEWS_DELAY);
    }
    return job_answer{answer_kind::failed, "no worker can run one of its tasks", {}};
}

bool job_admission::awaitsWorkers(const active_job &job) const
{
    const bool areExpected = m_workersExpectedUntil && m_time.steadyNow() < *m_workersExpectedUntil;
    return areExpected && job.origin.empty() && checkWorkers(job);
}

void job_admission::setWorkersExpectedUntil(steady_time end)
{
    m_workersExpectedUntil = end;
}

admission_decision job_admission::checkWaiting(const active_job &job)
{
    const steady_time now = m_time.steadyNow();
    const microseconds linkDelay = m_link.expectedDelay(job);
    if (linkDelay > microseconds(0) && now + linkDelay > job.lastUsefulStart()) {
        ++m_refusals.link;
        return refused(refusal(answer_kind::refused_full, LINK_SHORT, linkDelay, resource_shortage::link));
    }
    // Shares limit jobs on their arrival only, so that later work does not displace admitted work.
    const microseconds wait = expectedWait(job);
    if (now + wait <= job.lastUsefulStart()) {
        return {std::nullopt, objectiveShortage(job, wait, linkDelay)};
    }
    ++m_refusals.capacity;
    const std::string reason = "queued work keeps it from being done while its caller waits";
    return refused(refusal(answer_kind::refused_full, reason, wait, resource_shortage::share));
}

job_answer job_admission::refuseMissedStart(const active_job &job)
{
    ++m_refusals.capacity;
    const std::string reason = "queued work has kept it from starting while it could be done for its caller";
    return refusal(answer_kind::refused_full, reason, expectedWait(job), resource_shortage::share);
}

microseconds job_admission::expectedWait(const active_job &job) const
{
    return m_policy.expectedWait(loadFor(job));
}

std::optional<job_answer> job_admission::checkEvacuation(const active_job &job) const
{
    // The workers may be unknown because they are evacuated, so that no job fails for lack of a worker meanwhile.
    if (!m_pool.isAnyEvacuated() || !fitsNoWorker(job)) {
        return std::nullopt;
    }
    m_journal.note("job_refused_evacuated",
                   {{"job", job.spec.id}, {"queue", job.matchedRoute.name}, {"evacuated", m_pool.describeEvacuations()}});
    return refusal(answer_kind::refused_unavailable, "no worker outside the evacuated data centres can run it", OPERATOR_DELAY);
}

job_answer job_admission::refusal(answer_kind kind, const std::string &reason, microseconds wait, resource_shortage shortage) const
{
    return {kind, reason, m_time.steadyNow() + std::clamp(wait, MIN_RETRY_DELAY, RETRY_HORIZON), shortage};
}

void job_admission::beginShutdown(steady_time end)
{
    m_shutdownDeadline = end;
}

void job_admission::setCrashGuard(crash_guard &guard)
{
    m_crashGuard = &guard;
}

void job_admission::setEntryCount(std::size_t entryCount)
{
    m_entryCount = std::max<std::size_t>(entryCount, 1);
}

std::optional<job_answer> job_admission::checkRequirements(const active_job &job, std::size_t keptJobs) const
{
    const std::string &unsupported = job.spec.unsupported.empty() ? job.matchedRoute.unsupported : job.spec.unsupported;
    if (!unsupported.empty()) {
        return refusal(answer_kind::refused_unavailable, unsupported, OPERATOR_DELAY);
    }
    if (job.spec.isDurable) {
        return refusal(answer_kind::refused_unavailable, "durable jobs are not supported", OPERATOR_DELAY);
    }
    const steady_time now = m_time.steadyNow();
    if (m_shutdownDeadline && now + SHUTDOWN_ESTIMATE_FACTOR * job.criticalPathDuration() + SHUTDOWN_MARGIN > *m_shutdownDeadline) {
        return refusal(answer_kind::refused_unavailable, "the entry is shutting down", NEWS_DELAY);
    }
    if (keptJobs >= MAX_KEPT_JOBS) {
        // Without a shortage, since a job that is handed over is kept as well.
        return refusal(answer_kind::refused_full, "the entry has too many active jobs", NEWS_DELAY);
    }
    return std::nullopt;
}

bool job_admission::isProcessorShort(const active_job &job, std::size_t keptJobs) const
{
    const bool isObjectiveMissed = job.readDelay > NOTICEABLE_READ_DELAY && job.arrival + 2 * job.readDelay > job.latestStart();
    return (isObjectiveMissed || isProcessorExhausted(job)) && !checkRequirements(job, keptJobs);
}

bool job_admission::isProcessorExhausted(const active_job &job) const
{
    if (job.readDelay <= NOTICEABLE_READ_DELAY) {
        return false;
    }
    // The answer is expected to wait for the processor as long as the request has.
    const bool isReadTooLate = job.arrival + 2 * job.readDelay > job.lastUsefulStart();
    return isReadTooLate || (m_processor != nullptr && m_processor->isExhausted(job.readDelay));
}

std::optional<job_answer> job_admission::checkProcessor(const active_job &job, std::uint64_t request)
{
    if (!isProcessorExhausted(job)) {
        return std::nullopt;
    }
    ++m_refusals.processor;
    m_journal.note("job_refused",
                   {{"job", job.spec.id},
                    {"request", std::to_string(request)},
                    {"queue", job.matchedRoute.name},
                    {"tasks", std::to_string(job.tasks.size())},
                    {"processor_delay_us", std::to_string(job.readDelay.count())},
                    {"link_delay_us", std::to_string(m_localLoad.linkDelay().count())}});
    const microseconds wait = m_processor == nullptr ? job.readDelay : m_processor->overdrawnTime(job.readDelay);
    return refusal(answer_kind::refused_full, "the entry's processor has no time for it", wait, resource_shortage::processor);
}

resource_shortage job_admission::objectiveShortage(const active_job &job, microseconds wait, microseconds linkDelay) const
{
    const steady_time now = m_time.steadyNow();
    if (wait > microseconds(0) && now + wait > job.latestStart()) {
        return resource_shortage::share;
    }
    return linkDelay > microseconds(0) && now + linkDelay > job.latestStart() ? resource_shortage::link : resource_shortage::none;
}

const refusal_counters &job_admission::refusals() const
{
    return m_refusals;
}

microseconds job_admission::waitWithinShare(const active_job &job, const admission_load &load) const
{
    // Without an overload there is enough for all, and a caller that asks for more than others takes nothing from them.
    // The account of a handed-over job is known to its origin only, which has checked the share.
    const bool isLimited = load.isPrioritized && job.origin.empty() && overloadPart(load) > 0;
    return isLimited ? m_priorities->waitWithinShare(job, m_waitingJobs, expectedRate(load)) : microseconds(0);
}

admission_load job_admission::loadFor(const active_job &job) const
{
    const steady_time now = m_time.steadyNow();
    admission_load load;
    load.entryCount = static_cast<double>(m_entryCount);
    load.entryRate = m_localLoad.orderedMilliCores(now);
    load.jobWork = job.waitingWork();
    load.jobMilliCores = job.waitingMilliCores();
    if (m_priorities != nullptr) {
        m_priorities->fillLoad(job, load);
    }
    m_waitingJobs.fillLoad(job, now, load);
    for (const auto &[agent, worker] : m_pool.workers()) {
        if (m_pool.isUsable(worker, now) && worker.status.service == job.matchedRoute.service) {
            load.freeMilliCores += usableMilliCores(worker.availableCapacity(), load.isPrioritized ? job.largestMilliCores() : 0);
            load.capacityMilliCores += worker.usableCapacity().milliCores;
        }
    }
    return load;
}

bool job_admission::fitsNoWorker(const active_job &job) const
{
    return std::any_of(job.spec.steps.begin(), job.spec.steps.end(), [this, &job](const step_spec &step) {
        return !m_placement.canAnyWorkerRun(m_pool, {&step, job.matchedRoute.service, {}, {}});
    });
}

}
