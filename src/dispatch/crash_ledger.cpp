#include "dispatch/crash_ledger.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace azuremoor
{

namespace
{

/// Rounds after which a job is given up if nothing else explains the crashes.
constexpr std::size_t SUFFICIENT_CRASH_ROUNDS = 2;

/// Maximum number of crashes that are kept of one job, the latest ones.
constexpr std::size_t MAX_CRASHES_OF_JOB = 16;

/// Crashes under begun runs of one task without which its job is not given up, whatever happened to the others.
constexpr std::size_t MIN_CRASHES_UNDER_ONE_TASK = 2;

bool isToBlame(const crash_evidence &evidence)
{
    // Two workers have crashed under begun runs of one task, and a third one may have.
    if (evidence.possibleCrashesUnderOneTask(MIN_CRASHES_UNDER_ONE_TASK) >= MAX_CRASH_ROUNDS) {
        return true;
    }
    // With two crashes, or with one under another task, nothing less than the worker's word will do.
    if (evidence.confirmedCrashesUnderOneTask() < MIN_CRASHES_UNDER_ONE_TASK) {
        return false;
    }
    return evidence.rounds() >= MAX_CRASH_ROUNDS
        || (evidence.rounds() >= SUFFICIENT_CRASH_ROUNDS && evidence.areAllSoon() && evidence.wasAlone());
}

}

std::string_view jobOfTask(std::string_view task)
{
    // The identifier of a job may contain dots; the three parts after it are numbers.
    std::size_t end = task.size();
    for (int part = 0; part < 3 && end != std::string_view::npos; ++part) {
        end = end == 0 ? std::string_view::npos : task.rfind('.', end - 1);
    }
    return task.substr(0, end);
}

crash_ledger::crash_ledger(const time_source &time, decision_journal &journal, const crash_ledger_limits &limits)
    : m_time(time)
    , m_journal(journal)
    , m_limits(limits)
{
}

crash_findings crash_ledger::record(const std::string &agent, const crash_report &report)
{
    crash_findings findings;
    findings.noticedAt = m_time.steadyNow() - milliseconds(report.ageMilliseconds);
    const bool isOld = m_time.steadyNow() - findings.noticedAt >= m_limits.memory;
    if (isOld || !learnState(report, findings.noticedAt)) {
        return findings;
    }
    findings.isNew = true;
    m_counters.crashes += report.state == crash_state::proved ? 1 : 0;
    // The runs of a suspected crash may have turned out to be fewer.
    std::set<std::string, std::less<>> jobs = discharge(report.crash);
    if (report.state != crash_state::withdrawn) {
        jobs.merge(chargeRuns(report, findings.noticedAt));
    }
    for (const std::string &job : jobs) {
        reconsider(job, report.crash, findings);
    }
    m_journal.note("crash_recorded",
                   {{"crash", report.crash},
                    {"agent", agent},
                    {"state", std::string(crashStateName(report.state))},
                    {"age_ms", std::to_string(report.ageMilliseconds)},
                    {"runs", std::to_string(report.runs.size())},
                    {"confirmed_runs", std::to_string(std::ranges::count(report.runs, start_evidence::confirmed, &crashed_run::start))},
                    {"begun_runs", std::to_string(std::ranges::count_if(report.runs, &hadBegun, &crashed_run::start))},
                    {"jobs", std::to_string(jobs.size())},
                    {"soon_jobs", std::to_string(countSoonJobs(jobs, report.crash))},
                    {"stopped", std::to_string(findings.stoppedQueues.size())},
                    {"released", std::to_string(findings.releasedQueues.size())}});
    return findings;
}

std::size_t crash_ledger::countSoonJobs(const std::set<std::string, std::less<>> &jobs, std::string_view crash) const
{
    return std::ranges::count_if(jobs, [&](const std::string &job) {
        const auto found = m_jobs.find(job);
        return found != m_jobs.end() && std::ranges::any_of(found->second.crashes, [crash](const charged_crash &each) {
                   return each.crash == crash && each.isSoon;
               });
    });
}

bool crash_ledger::learnState(const crash_report &report, steady_time noticedAt)
{
    const auto found = m_crashes.find(report.crash);
    if (found != m_crashes.end()) {
        const bool isNew = found->second.state == crash_state::suspected && report.state != crash_state::suspected;
        found->second.state = isNew ? report.state : found->second.state;
        return isNew;
    }
    if (m_crashes.size() >= m_limits.crashes) {
        m_crashes.erase(std::ranges::min_element(m_crashes, {}, [](const auto &known) { return known.second.noticedAt; }));
    }
    m_crashes.emplace(report.crash, known_crash{noticedAt, report.state});
    return true;
}

std::set<std::string, std::less<>> crash_ledger::chargeRuns(const crash_report &report, steady_time noticedAt)
{
    std::map<std::string_view, std::vector<crashed_run>> runsByJob;
    std::set<std::string_view> soonJobs;
    // Those that may have begun too late to be confirmed may be to blame as well.
    std::set<std::string_view> possiblySoonJobs;
    for (const crashed_run &run : report.runs) {
        const std::string_view job = jobOfTask(run.task);
        runsByJob[job].push_back(run);
        if (milliseconds(run.ageMilliseconds) <= m_limits.soonCrashTime) {
            possiblySoonJobs.insert(job);
            if (hadBegun(run.start)) {
                soonJobs.insert(job);
            }
        }
    }
    std::set<std::string, std::less<>> jobs;
    for (const auto &[job, runs] : runsByJob) {
        const bool isSoon = soonJobs.contains(job);
        charged_job &charged = charge(job, runs.back().queue);
        charged.crashes.push_back({report.crash, report.state, noticedAt, isSoon, isSoon && possiblySoonJobs.size() == 1, runs});
        if (charged.crashes.size() > MAX_CRASHES_OF_JOB) {
            charged.crashes.erase(charged.crashes.begin());
        }
        charged.judge();
        jobs.emplace(job);
    }
    return jobs;
}

std::set<std::string, std::less<>> crash_ledger::discharge(std::string_view crash)
{
    std::set<std::string, std::less<>> jobs;
    for (auto &[job, charged] : m_jobs) {
        if (std::erase_if(charged.crashes, [crash](const charged_crash &each) { return each.crash == crash; }) > 0) {
            charged.judge();
            jobs.insert(job);
        }
    }
    return jobs;
}

void crash_ledger::reconsider(std::string_view job, const std::string &crash, crash_findings &findings)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return;
    }
    charged_job &charged = found->second;
    const bool wasStopped = charged.isHeld || charged.isGivenUp;
    charged.isHeld = isToBlame(charged.evidence);
    if (!charged.isGivenUp && isToBlame(charged.provedEvidence)) {
        charged.isGivenUp = true;
        ++m_counters.givenUpJobs;
        noteStopped("job_given_up", *found, crash);
    } else if (!wasStopped && charged.isHeld) {
        noteStopped("job_held", *found, crash);
    }
    const bool isStopped = charged.isHeld || charged.isGivenUp;
    if (isStopped && !wasStopped) {
        findings.stoppedQueues.push_back(charged.queue);
    } else if (wasStopped && !isStopped) {
        findings.releasedQueues.push_back(charged.queue);
        noteStopped("job_released", *found, crash);
    }
    if (charged.crashes.empty() && !charged.isGivenUp) {
        m_jobs.erase(found);
    }
}

crash_verdict crash_ledger::verdictOf(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? crash_verdict::sound : found->second.verdict();
}

bool crash_ledger::isCharged(std::string_view job) const
{
    return m_jobs.contains(job);
}

std::size_t crash_ledger::roundsOf(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.evidence.rounds();
}

std::size_t crash_ledger::crashesUnderOneTaskOf(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? 0 : found->second.provedEvidence.begunCrashesUnderOneTask();
}

void crash_ledger::clear(std::string_view job)
{
    if (const auto found = m_jobs.find(job); found != m_jobs.end()) {
        m_jobs.erase(found);
    }
}

void crash_ledger::forgetOld()
{
    const steady_time oldest = m_time.steadyNow() - m_limits.memory;
    std::erase_if(m_jobs, [oldest](const auto &each) { return each.second.evidence.lastCrashAt() <= oldest; });
    std::erase_if(m_crashes, [oldest](const auto &each) { return each.second.noticedAt <= oldest; });
}

bool crash_ledger::isEmpty() const
{
    return m_jobs.empty();
}

const crash_ledger_counters &crash_ledger::counters() const
{
    return m_counters;
}

std::vector<crash_ledger::job_row> crash_ledger::rows() const
{
    std::vector<job_row> result;
    for (const auto &[job, charged] : m_jobs) {
        if (charged.verdict() != crash_verdict::sound) {
            result.push_back({job, charged.queue, charged.evidence.rounds(), charged.verdict(), charged.evidence.lastCrashAt()});
        }
    }
    return result;
}

crash_ledger::charged_job::charged_job(std::string_view jobQueue)
    : queue(jobQueue)
{
}

void crash_ledger::charged_job::judge()
{
    evidence = {};
    provedEvidence = {};
    for (const charged_crash &crash : crashes) {
        std::vector<lost_run> lost;
        for (const crashed_run &run : crash.runs) {
            lost.push_back({run.task, crash.noticedAt - milliseconds(run.ageMilliseconds), crash.noticedAt, run.start});
        }
        evidence.addCrash(lost, crash.isSoon, crash.isAlone);
        if (crash.state == crash_state::proved) {
            provedEvidence.addCrash(lost, crash.isSoon, crash.isAlone);
        }
    }
}

crash_verdict crash_ledger::charged_job::verdict() const
{
    if (isGivenUp) {
        return crash_verdict::given_up;
    }
    if (isHeld) {
        return crash_verdict::held;
    }
    return evidence.areAllSoon() ? crash_verdict::suspect : crash_verdict::sound;
}

crash_ledger::charged_job &crash_ledger::charge(std::string_view job, std::string_view queue)
{
    const auto found = m_jobs.find(job);
    if (found != m_jobs.end()) {
        return found->second;
    }
    makeRoom();
    return m_jobs.emplace(std::string(job), charged_job(queue)).first->second;
}

void crash_ledger::makeRoom()
{
    if (m_jobs.size() >= m_limits.jobs) {
        m_jobs.erase(std::ranges::min_element(m_jobs, {}, [](const auto &each) {
            const crash_evidence &evidence = each.second.evidence;
            return std::tuple(each.second.isGivenUp, evidence.rounds(), evidence.lastCrashAt());
        }));
    }
}

void crash_ledger::noteStopped(std::string_view event, const job_map::value_type &job, const std::string &crash)
{
    const auto &[id, charged] = job;
    m_journal.note(std::string(event),
                   {{"job", id},
                    {"queue", charged.queue},
                    {"crash", crash},
                    {"rounds", std::to_string(charged.evidence.rounds())},
                    {"begun_crashes_under_one_task", std::to_string(charged.evidence.begunCrashesUnderOneTask())},
                    {"possible_crashes_under_one_task", std::to_string(charged.evidence.possibleCrashesUnderOneTask(0))},
                    {"proved_rounds", std::to_string(charged.provedEvidence.rounds())},
                    {"all_soon", charged.evidence.areAllSoon() ? "yes" : "no"},
                    {"was_alone", charged.evidence.wasAlone() ? "yes" : "no"}});
}

}
