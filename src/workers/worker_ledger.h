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

/// How far a worker's memory of starts may grow, and how long it lasts.
struct ledger_limits {
    std::size_t maxTasks = 400'000;
    /// Bytes of answers that are kept, delivered ones included.
    std::size_t maxAnswerBytes = 32 * 1024 * 1024;
    /// Time after a job's deadline for which its entries are kept.
    microseconds retention = std::chrono::minutes(10);
};

/**
 * An agent's memory of what it started, what became of it, and what it must never start.
 *
 * It is the evidence from which a new owner rebuilds the jobs of its predecessor. Entries live until their job's deadline
 * and the retention have passed, so that a full ledger refuses new starts rather than forgetting old ones.
 */
class worker_ledger
{
public:
    /// What is remembered of a task.
    enum class task_state : std::uint8_t {
        running,
        ended,
        /// Placements up to a number under an epoch are refused; the task itself was not started here.
        blocked,
    };

    /// The memory of one task.
    struct task_record {
        task_state state = task_state::blocked;
        /// Placement that was started, or the highest one that is blocked.
        std::uint64_t epoch = 0;
        std::uint32_t placementNumber = 0;
        task_outcome outcome;
    };

    explicit worker_ledger(ledger_limits limits);

    /// Returns the memory of the task, or null when there is none.
    const task_record *find(const std::string &jobId, std::uint32_t attempt, std::uint32_t taskIndex) const;

    /// Returns whether the submission is closed: none of its tasks may start any more.
    bool isClosed(const std::string &jobId, std::uint32_t attempt) const;

    /// Returns whether another task can be remembered.
    bool hasCapacity() const;

    /// Remembers that the placement was started.
    void recordStart(const submission_key &key, const task_placement &placement, unix_time deadline);

    /// Remembers how a started task ended.
    void recordEnd(const submission_key &key, std::uint32_t taskIndex, task_outcome outcome);

    /// Remembers that the placement, and any earlier one, must not start. Does nothing when the task was started.
    void recordBlocked(const submission_key &key, const task_placement &placement, unix_time deadline);

    /// Remembers that no task of the submission may start any more.
    void recordClosed(const submission_key &key, unix_time deadline);

    /// Notes that the answers reached their caller: they are the first to go when answers take too much memory.
    void recordDelivered(const submission_key &key);

    /// Drops the entries of jobs whose deadline and retention have passed.
    void expire(unix_time now);

    /// Takes over an entry of an agent that leaves.
    void importEntry(const ledger_entry &entry);

    /// Returns the entries of the shards, as evidence for a new owner.
    std::vector<ledger_entry> entriesForShards(const std::vector<shard_epoch> &shards) const;

    /// Returns the number of tasks and closed submissions that are remembered.
    std::size_t size() const;

    /// Returns the bytes of answers that are kept.
    std::size_t answerBytes() const;

private:
    struct job_record {
        unix_time deadline;
        std::uint32_t shard = 0;
        bool closed = false;
        bool delivered = false;
        std::map<std::uint32_t, task_record> tasks;
    };

    static std::string jobKey(const std::string &jobId, std::uint32_t attempt);
    job_record &findOrCreateJob(const submission_key &key, unix_time deadline);
    void dropDeliveredAnswers();

    ledger_limits m_limits;
    std::unordered_map<std::string, job_record> m_jobs;
    /// Jobs by the moment at which their entries may be dropped.
    std::multimap<unix_time, std::string> m_expiry;
    std::vector<std::string> m_delivered;
    std::size_t m_size = 0;
    std::size_t m_answerBytes = 0;
};

}

#endif
