#ifndef AZUREMOOR_DISPATCH_CRASH_LEDGER_H
#define AZUREMOOR_DISPATCH_CRASH_LEDGER_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
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
    /// A worker crashed, or may have crashed, soon after it had started a task of the job.
    suspect,
    /// The job is not started until it is known whether the workers have crashed, of which enough are suspected to.
    held,
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
    /// The crash was not known before, or not as proved or withdrawn.
    bool isNew = false;
    steady_time noticedAt{};
    /// Queues of the jobs that the report made the ledger hold or give up, one for each job that was neither before.
    std::vector<std::string> stoppedQueues{};
    /// Queues of the jobs that it no longer holds, because crashes were withdrawn.
    std::vector<std::string> releasedQueues{};
};

/// Counters of a ledger since the start of the process.
struct crash_ledger_counters {
    /// Crashes that were reported as proved.
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
 * A crash may be reported as suspected first, when its worker refuses connections, and is proved or withdrawn later. Suspected crashes
 * count like proved ones, except that a job is only held for them: it is given up, and its caller told, on proof alone. What counts for a
 * withdrawn crash is taken back.
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

    /// Reads the report of the agent. One that was read before, in this state or a final one, changes nothing.
    crash_findings record(const std::string &agent, const crash_report &report);

    crash_verdict verdictOf(std::string_view job) const;

    /// Returns whether workers have crashed to which tasks of the job had been ordered.
    bool isCharged(std::string_view job) const;

    /// Returns the rounds of crashes that the job is charged with.
    std::size_t roundsOf(std::string_view job) const;

    /// Returns the largest number of workers that are proved to have crashed under one task of the job.
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
    /// A crash, and the runs of one job that were lost with it.
    struct charged_crash {
        std::string crash;
        crash_state state = crash_state::suspected;
        steady_time noticedAt;
        bool isSoon = false;
        bool isAlone = false;
        std::vector<crashed_run> runs;
    };

    struct charged_job {
        explicit charged_job(std::string_view jobQueue);

        /// Computes the evidence from the crashes.
        void judge();
        crash_verdict verdict() const;

        std::string queue;
        std::vector<charged_crash> crashes;
        /// What all crashes say, and what the proved ones do.
        crash_evidence evidence;
        crash_evidence provedEvidence;
        bool isHeld = false;
        bool isGivenUp = false;
    };

    struct known_crash {
        steady_time noticedAt;
        crash_state state = crash_state::suspected;
    };

    using job_map = std::map<std::string, charged_job, std::less<>>;

    /// Records the state of a crash. Returns whether it is new.
    bool learnState(const crash_report &report, steady_time noticedAt);
    /// Charges the jobs of the report's runs. Returns them.
    std::set<std::string, std::less<>> chargeRuns(const crash_report &report, steady_time noticedAt);
    /// Takes the crash back from the jobs that are charged with it. Returns them.
    std::set<std::string, std::less<>> discharge(std::string_view crash);
    /// Returns how many of the jobs are charged with the crash as one that came soon after a start.
    std::size_t countSoonJobs(const std::set<std::string, std::less<>> &jobs, std::string_view crash) const;
    /// Decides anew whether the job is held or given up.
    void reconsider(std::string_view job, const std::string &crash, crash_findings &findings);
    /// Returns the evidence against the job, new or known.
    charged_job &charge(std::string_view job, std::string_view queue);
    /// Forgets one job, of those with the least evidence the oldest, if there is no room for another one.
    void makeRoom();
    void noteStopped(std::string_view event, const job_map::value_type &job, const std::string &crash);

    const time_source &m_time;
    decision_journal &m_journal;
    crash_ledger_limits m_limits;
    job_map m_jobs;
    std::map<std::string, known_crash> m_crashes;
    crash_ledger_counters m_counters;
};

/// Returns the identifier of the job that the task belongs to.
std::string_view jobOfTask(std::string_view task);

}

#endif
