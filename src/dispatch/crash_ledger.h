#ifndef AZUREMOOR_DISPATCH_CRASH_LEDGER_H
#define AZUREMOOR_DISPATCH_CRASH_LEDGER_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/decision_journal.h"
#include "base/time_source.h"
#include "dispatch/crash_evidence.h"
#include "messages/crash_messages.h"

namespace azuremoor
{

/// What an entry takes a job for.
enum class crash_verdict : std::uint8_t {
    sound,
    /// A worker crashed soon after it had started a task of the job.
    suspect,
    /// The job is not started again.
    given_up,
};

/// Limits on what a crash ledger keeps and concludes.
struct crash_ledger_limits {
    /// Time from the order until the crash within which a run may be the cause.
    microseconds soonCrashTime = milliseconds(100);
    /// Time from the last crash after which a job's evidence is forgotten.
    microseconds memory = seconds(30);
    std::size_t jobs = 4096;
    std::size_t crashes = 1024;
};

/// Rounds of crashes, and possible crashes under one task, after which a job is given up whatever else ran on the workers.
constexpr std::size_t MAX_CRASH_ROUNDS = 3;

/// What is new in a report of a crash.
struct crash_findings {
    /// The crash was not known before.
    bool isNew = false;
    steady_time noticedAt{};
    /// Queues of the jobs that the crash made the ledger give up, one for each job.
    std::vector<std::string> givenUpQueues{};
};

/// Counters of a ledger since the start of the process.
struct crash_ledger_counters {
    std::uint64_t crashes = 0;
    std::uint64_t givenUpJobs = 0;
};

/**
 * Concludes from reports of crashes which jobs crash their workers.
 *
 * Tasks of one job count together, and so do copies of it at other entries, since agents report a crash to all entries. Whatever ran on a
 * crashed worker is charged with the crash; most of it is innocent. A job is given up after three rounds, and after two if each crash came
 * soon after the start of one of its tasks and in one of them no other run was as young. What ran longer is run again like any lost run.
 * For two rounds, the worker must have confirmed the runs.
 *
 * No job is given up unless two workers have crashed under runs of one of its tasks that are known to have begun. A run whose worker did
 * not confirm it may have crashed its worker at once, or may have been ordered to one that was gone: the next ones ask their worker first.
 */
class crash_ledger
{
public:
    /// State of one job, for reports to operators.
    struct job_row {
        std::string job;
        std::string queue;
        std::size_t rounds = 0;
        crash_verdict verdict = crash_verdict::sound;
        steady_time lastCrashAt{};
    };

    crash_ledger(const time_source &time, decision_journal &journal, const crash_ledger_limits &limits = {});

    /// Reads the report of the agent. One that was read before changes nothing.
    crash_findings record(const std::string &agent, const crash_report &report);

    crash_verdict verdictOf(std::string_view job) const;

    /// Returns whether workers have crashed to which tasks of the job had been ordered.
    bool isCharged(std::string_view job) const;

    /// Returns the rounds of crashes that the job is charged with.
    std::size_t roundsOf(std::string_view job) const;

    /// Returns the largest number of workers that are known to have crashed under one task of the job.
    std::size_t crashesUnderOneTaskOf(std::string_view job) const;

    /// Forgets the evidence against a job, because all of its tasks have ended well.
    void clear(std::string_view job);

    /// Forgets what is too old.
    void forgetOld();

    /// Returns whether there is evidence against any job.
    bool isEmpty() const;

    const crash_ledger_counters &counters() const;

    /// Returns the jobs that are suspect or given up.
    std::vector<job_row> rows() const;

private:
    struct charged_job {
        crash_evidence evidence;
        bool isGivenUp = false;

        crash_verdict verdict() const;
    };

    using job_map = std::map<std::string, charged_job, std::less<>>;

    /// Returns the evidence against the job, new or known.
    charged_job &charge(std::string_view job, std::string_view queue);
    /// Forgets one job, of those with the least evidence the oldest, if there is no room for another one.
    void makeRoom();
    void giveUp(job_map::value_type &job, const std::string &crash, crash_findings &findings);

    const time_source &m_time;
    decision_journal &m_journal;
    crash_ledger_limits m_limits;
    job_map m_jobs;
    /// When the known crashes were noticed.
    std::map<std::string, steady_time> m_crashes;
    crash_ledger_counters m_counters;
};

/// Returns the identifier of the job that the task belongs to.
std::string_view jobOfTask(std::string_view task);

}

#endif
