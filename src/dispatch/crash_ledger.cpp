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
    if (isOld || m_crashes.contains(report.crash)) {
        return findings;
    }
    if (m_crashes.size() >= m_limits.crashes) {
        m_crashes.erase(std::ranges::min_element(m_crashes, {}, [](const auto &known) { return known.second; }));
    }
    m_crashes.emplace(report.crash, findings.noticedAt);
    findings.isNew = true;
    ++m_counters.crashes;
    std::map<std::string_view, std::vector<lost_run>> runsByJob;
    std::map<std::string_view, std::string_view> queues;
    for (const crashed_run &run : report.runs) {
        const std::string_view job = jobOfTask(run.task);
        const milliseconds age(run.ageMilliseconds);
        runsByJob[job].push_back({run.task, findings.noticedAt - age, findings.noticedAt, run.start});
        queues[job] = run.queue;
    }
    std::set<std::string_view> soonJobs;
    // Those that may have begun too late to be confirmed may be to blame as well.
    std::set<std::string_view> possiblySoonJobs;
    for (const crashed_run &run : report.runs) {
        if (milliseconds(run.ageMilliseconds) <= m_limits.soonCrashTime) {
            possiblySoonJobs.insert(jobOfTask(run.task));
            if (hadBegun(run.start)) {
                soonJobs.insert(jobOfTask(run.task));
            }
        }
    }
    for (const auto &[job, runs] : runsByJob) {
        const bool isSoon = soonJobs.contains(job);
        charge(job, queues.at(job)).evidence.addCrash(runs, isSoon, isSoon && possiblySoonJobs.size() == 1);
    }
    for (const auto &[job, runs] : runsByJob) {
        const auto found = m_jobs.find(job);
        if (found != m_jobs.end() && isToBlame(found->second.evidence)) {
            giveUp(*found, report.crash, findings);
        }
    }
    m_journal.note("crash_recorded",
                   {{"crash", report.crash},
                    {"agent", agent},
                    {"age_ms", std::to_string(report.ageMilliseconds)},
                    {"runs", std::to_string(report.runs.size())},
                    {"confirmed_runs", std::to_string(std::ranges::count(report.runs, start_evidence::confirmed, &crashed_run::start))},
                    {"begun_runs", std::to_string(std::ranges::count_if(report.runs, &hadBegun, &crashed_run::start))},
                    {"jobs", std::to_string(runsByJob.size())},
                    {"soon_jobs", std::to_string(soonJobs.size())},
                    {"given_up", std::to_string(findings.givenUpQueues.size())}});
    return findings;
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
    return found == m_jobs.end() ? 0 : found->second.evidence.begunCrashesUnderOneTask();
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
    std::erase_if(m_crashes, [oldest](const auto &each) { return each.second <= oldest; });
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
            result.push_back({job, charged.evidence.queue(), charged.evidence.rounds(), charged.verdict(), charged.evidence.lastCrashAt()});
        }
    }
    return result;
}

crash_verdict crash_ledger::charged_job::verdict() const
{
    if (isGivenUp) {
        return crash_verdict::given_up;
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
    return m_jobs.emplace(std::string(job), charged_job{crash_evidence(queue)}).first->second;
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

void crash_ledger::giveUp(job_map::value_type &job, const std::string &crash, crash_findings &findings)
{
    auto &[id, charged] = job;
    if (std::exchange(charged.isGivenUp, true)) {
        return;
    }
    ++m_counters.givenUpJobs;
    findings.givenUpQueues.push_back(charged.evidence.queue());
    m_journal.note("job_given_up",
                   {{"job", id},
                    {"queue", charged.evidence.queue()},
                    {"crash", crash},
                    {"rounds", std::to_string(charged.evidence.rounds())},
                    {"begun_crashes_under_one_task", std::to_string(charged.evidence.begunCrashesUnderOneTask())},
                    {"possible_crashes_under_one_task", std::to_string(charged.evidence.possibleCrashesUnderOneTask(0))},
                    {"all_soon", charged.evidence.areAllSoon() ? "yes" : "no"},
                    {"was_alone", charged.evidence.wasAlone() ? "yes" : "no"}});
}

}
