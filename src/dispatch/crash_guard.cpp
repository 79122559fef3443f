#include "dispatch/crash_guard.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Jobs of contained queues that an entry keeps at once for each worker that is set apart and up.
constexpr std::size_t CONTAINED_JOBS_PER_WORKER = 4;

/// Workers on which a suspect job may run at once, if its tasks do not fit on one.
constexpr std::size_t MAX_SUSPECT_WORKERS = 2;

/// Time until a crashed worker is back, as a caller is told. A job that is refused because there are too many may come sooner.
constexpr microseconds WORKER_RETURN_TIME = seconds(3);
constexpr microseconds FULL_RETRY_DELAY = seconds(1);

constexpr microseconds SERVICES_UPDATE_INTERVAL = milliseconds(500);

}

crash_guard::crash_guard(const time_source &time, const worker_pool &pool, decision_journal &journal)
    : m_time(time)
    , m_pool(pool)
    , m_ledger(time, journal)
    , m_containment(time, journal)
{
}

void crash_guard::setJobs(const std::map<std::uint64_t, active_job> &jobs)
{
    m_jobs = &jobs;
}

void crash_guard::recordCrash(const std::string &agent, const crash_report &report)
{
    const crash_findings findings = m_ledger.record(agent, report);
    if (!findings.isNew) {
        return;
    }
    m_nextServicesUpdate = {};
    updateServices();
    if (const auto service = m_services.find(agent); service != m_services.end()) {
        for (const std::string &queue : findings.stoppedQueues) {
            m_containment.recordGivenUp(queue, service->second);
        }
    }
    for (const std::string &queue : findings.releasedQueues) {
        m_containment.recordReleased(queue);
    }
    for (const crashed_run &run : report.runs) {
        if (report.state == crash_state::proved && hadBegun(run.start)) {
            m_containment.recordCrash(run.queue, findings.noticedAt);
        }
    }
    updateContainingAgents();
}

void crash_guard::recordCompleted(const std::string &job)
{
    m_ledger.clear(job);
}

std::optional<job_answer> crash_guard::checkArrival(const active_job &job)
{
    if (std::optional<job_answer> answer = checkGivenUp(job)) {
        return answer;
    }
    if (m_containment.learnService(job.matchedRoute.name, job.matchedRoute.service)) {
        updateContainingAgents();
    }
    const auto containing = m_containingAgents.find(job.matchedRoute.service);
    if (containing == m_containingAgents.end() || !m_containment.isContained(job.matchedRoute.name)) {
        return std::nullopt;
    }
    const steady_time now = m_time.steadyNow();
    const std::size_t workers = std::ranges::count_if(
        m_pool.workers(), [&](const auto &each) { return containing->second.contains(each.first) && m_pool.isUsable(each.second, now); });
    if (workers == 0) {
        ++m_refusedJobs;
        return job_answer{answer_kind::refused_unavailable,
                          "jobs of this queue crash workers, and those that are left to it are down",
                          now + WORKER_RETURN_TIME};
    }
    const std::size_t kept = std::ranges::count_if(*m_jobs, [&](const auto &each) {
        const route &other = each.second.matchedRoute;
        return other.service == job.matchedRoute.service && !each.second.isHandedOver && m_containment.isContained(other.name);
    });
    if (kept >= workers * CONTAINED_JOBS_PER_WORKER) {
        ++m_refusedJobs;
        return job_answer{
            answer_kind::refused_full, "jobs of this queue crash workers, so that only few are run at once", now + FULL_RETRY_DELAY};
    }
    return std::nullopt;
}

std::optional<job_answer> crash_guard::checkGivenUp(const active_job &job) const
{
    if (m_ledger.verdictOf(job.spec.id) != crash_verdict::given_up) {
        return std::nullopt;
    }
    const std::string crashes = std::to_string(m_ledger.crashesUnderOneTaskOf(job.spec.id));
    return job_answer{answer_kind::failed, "a task crashed " + crashes + " workers that started it, one after the other", {}};
}

bool crash_guard::mustAskWorkers(const active_job &job) const
{
    return m_ledger.isCharged(job.spec.id);
}

bool crash_guard::isSetApart(const active_job &job) const
{
    const bool isContained = m_containingAgents.contains(job.matchedRoute.service) && m_containment.isContained(job.matchedRoute.name);
    return isContained || m_ledger.verdictOf(job.spec.id) != crash_verdict::sound;
}

void crash_guard::addExcluded(const active_job &job, std::uint32_t step, std::set<std::string> &agents) const
{
    const auto containing = m_containingAgents.find(job.matchedRoute.service);
    const bool isContained = containing != m_containingAgents.end() && m_containment.isContained(job.matchedRoute.name);
    const crash_verdict verdict = m_ledger.verdictOf(job.spec.id);
    if (containing == m_containingAgents.end() && verdict == crash_verdict::sound) {
        return;
    }
    // Sound queues use the workers that are set apart when no others are left.
    const bool isSplit = containing != m_containingAgents.end() && (isContained || hasOtherWorkers(job.matchedRoute.service));
    const bool isStopped = verdict == crash_verdict::held || verdict == crash_verdict::given_up;
    for (const auto &[agent, worker] : m_pool.workers()) {
        const bool isElsewhere = isSplit && containing->second.contains(agent) != isContained;
        if (isElsewhere || isStopped || (isContained && hasOtherRun(worker, job, run_kind::suspect))) {
            agents.insert(agent);
        }
    }
    if (verdict == crash_verdict::suspect) {
        addSuspectExclusions(job, job.spec.steps[step], isContained, agents);
    }
}

void crash_guard::tick()
{
    m_ledger.forgetOld();
    m_containment.releaseQuiet();
    updateServices();
    updateContainingAgents();
}

const crash_ledger &crash_guard::ledger() const
{
    return m_ledger;
}

const queue_containment &crash_guard::containment() const
{
    return m_containment;
}

std::uint64_t crash_guard::refusedJobs() const
{
    return m_refusedJobs;
}

void crash_guard::updateServices()
{
    const steady_time now = m_time.steadyNow();
    if (now < m_nextServicesUpdate) {
        return;
    }
    m_nextServicesUpdate = now + SERVICES_UPDATE_INTERVAL;
    std::erase_if(m_services, [this](const auto &known) { return !m_pool.workers().contains(known.first); });
    for (const auto &[agent, worker] : m_pool.workers()) {
        std::string &service = m_services[agent];
        if (!worker.status.service.empty()) {
            service = worker.status.service;
        }
    }
}

void crash_guard::updateContainingAgents()
{
    m_containingAgents.clear();
    for (const std::string &service : m_containment.services()) {
        std::vector<std::string> agents;
        for (const auto &[agent, agentService] : m_services) {
            if (agentService == service || agentService.empty()) {
                agents.push_back(agent);
            }
        }
        if (std::set<std::string> containing = containingAgents(agents); !containing.empty()) {
            m_containingAgents[service] = std::move(containing);
        }
    }
}

void crash_guard::addSuspectExclusions(const active_job &job, const step_spec &step, bool isAlone, std::set<std::string> &agents) const
{
    const steady_time now = m_time.steadyNow();
    std::set<std::string> own;
    std::set<std::string> fitting;
    std::set<std::string> idle;
    for (const auto &[agent, worker] : m_pool.workers()) {
        const bool hasOwnRun = std::ranges::any_of(worker.runs, [&job](const auto &each) { return each.second.task.job == job.number; });
        if (hasOwnRun) {
            own.insert(agent);
        }
        if (hasOtherRun(worker, job, isAlone ? run_kind::any : run_kind::suspect)) {
            agents.insert(agent);
        }
        const bool isLabelled
            = step.requiredLabel.empty() || std::ranges::find(worker.status.labels, step.requiredLabel) != worker.status.labels.end();
        if (agents.contains(agent) || !isLabelled || !m_pool.isUsable(worker, now) || !step.shape.fitsInto(worker.availableCapacity())) {
            continue;
        }
        if (hasOwnRun) {
            fitting.insert(agent);
        } else if (worker.runs.empty() && worker.status.free.milliCores == worker.status.capacity.milliCores) {
            idle.insert(agent);
        }
    }
    const bool isLimitedToOwn = !fitting.empty() || own.size() >= MAX_SUSPECT_WORKERS;
    const std::set<std::string> &preferred = isLimitedToOwn ? own : idle;
    if (!isLimitedToOwn && idle.empty()) {
        return;
    }
    for (const auto &[agent, worker] : m_pool.workers()) {
        if (!preferred.contains(agent)) {
            agents.insert(agent);
        }
    }
}

bool crash_guard::hasOtherWorkers(const std::string &service) const
{
    const steady_time now = m_time.steadyNow();
    const std::set<std::string> &containing = m_containingAgents.at(service);
    return std::ranges::any_of(m_pool.workers(), [&](const auto &each) {
        return each.second.status.service == service && m_pool.isUsable(each.second, now) && !containing.contains(each.first);
    });
}

bool crash_guard::hasOtherRun(const pooled_worker &worker, const active_job &job, run_kind kind) const
{
    return std::ranges::any_of(worker.runs, [&](const auto &each) {
        const task_reference &run = each.second.task;
        return run.job != job.number && (kind == run_kind::any || isSuspect(run));
    });
}

bool crash_guard::isSuspect(const task_reference &run) const
{
    const auto found = m_jobs->find(run.job);
    return found != m_jobs->end() && m_ledger.verdictOf(found->second.spec.id) == crash_verdict::suspect;
}

}
