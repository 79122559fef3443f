#ifndef AZUREMOOR_WORKERS_WORKER_LEDGER_H
#define AZUREMOOR_WORKERS_WORKER_LEDGER_H

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Limits on the size of a ledger, and how long its records are kept.
struct ledger_limits {
    /// Maximum number of recorded tasks and closed submissions.
    std::size_t maxTasks = 400'000;
    /// Bytes of answers and error texts, including those that were delivered.
    std::size_t maxAnswerBytes = 32 * 1024 * 1024;
    /// Time for which the records of a submission are kept after its deadline.
    microseconds retention = std::chrono::minutes(10);
};

/**
 * Records which tasks an agent started, how they ended, and which ones it must not start.
 *
 * A new owner rebuilds the jobs of its predecessor from these records. They are kept until the deadline of the submission and the retention
 * time have passed, so a full ledger refuses new starts instead of dropping old records.
 */
class worker_ledger
{
public:
    enum class task_state : std::uint8_t {
        running,
        ended,
        /// Placements up to the recorded epoch and number must not be started. The task has not run here.
        blocked,
    };

    struct task_record {
        task_state state = task_state::blocked;
        /// Epoch and number of the placement that was started, or of the highest one that is blocked.
        std::uint64_t epoch = 0;
        std::uint32_t placementNumber = 0;
        task_outcome outcome;
    };

    explicit worker_ledger(ledger_limits limits);

    /// Returns the record of the task, or null if there is none. The pointer is invalid once the record expires.
    const task_record *find(const std::string &jobId, std::uint32_t attempt, std::uint32_t taskIndex) const;

    /// Returns whether the submission is closed, so that none of its tasks may be started any more.
    bool isClosed(const std::string &jobId, std::uint32_t attempt) const;

    /// Returns whether another task may be recorded within the limits. The functions that record do not check them.
    bool canRecordTask() const;

    /// Records that the placement was started.
    void recordStart(const submission_key &key, const task_placement &placement, unix_time deadline);

    /// Records how a running task ended. A task that was not run is recorded as blocked. Ignores tasks that are not running.
    void recordEnd(const submission_key &key, std::uint32_t taskIndex, task_outcome outcome);

    /// Records that the placement and all earlier ones must not be started. Has no effect if the task was started.
    void recordBlocked(const submission_key &key, const task_placement &placement, unix_time deadline);

    /// Records that no task of the submission may be started any more.
    void recordClosed(const submission_key &key, unix_time deadline);

    /// Records that the answers reached their caller. Such answers are dropped first when answers use too much memory.
    void recordDelivered(const submission_key &key);

    /// Drops the records of submissions whose deadline and retention time have passed, except for submissions with running tasks.
    void expire(unix_time now);

    /// Adds an entry handed over by an agent that stops. Tasks that are already recorded keep their record.
    void importEntry(const ledger_entry &entry);

    /// Returns the entries of the shards, for a new owner of them. Blocked tasks are left out.
    std::vector<ledger_entry> entriesForShards(const std::vector<shard_epoch> &shards) const;

    /// Returns the number of recorded tasks and closed submissions.
    std::size_t size() const;

    /// Returns the bytes of the answers and error texts that are kept.
    std::size_t answerBytes() const;

private:
    struct submission_record {
        unix_time deadline;
        std::uint32_t shard = 0;
        bool closed = false;
        bool delivered = false;
        std::map<std::uint32_t, task_record> tasks;
    };

    static std::string submissionKey(const std::string &jobId, std::uint32_t attempt);
    submission_record &findOrCreateSubmission(const submission_key &key, unix_time deadline);
    /// Drops delivered answers, in order of delivery, until the byte limit is met or none is left.
    void dropDeliveredAnswers();

    ledger_limits m_limits;
    std::unordered_map<std::string, submission_record> m_submissions;
    /// Keys of the submissions by the time at which their records may be dropped.
    std::multimap<unix_time, std::string> m_expiry;
    /// Keys of submissions whose answers were delivered and not dropped, in order of delivery. May contain submissions that have expired.
    std::vector<std::string> m_delivered;
    std::size_t m_size = 0;
    std::size_t m_answerBytes = 0;
};

}

#endif
