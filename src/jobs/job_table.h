#ifndef AZUREMOOR_JOBS_JOB_TABLE_H
#define AZUREMOOR_JOBS_JOB_TABLE_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "jobs/owned_job.h"

namespace azuremoor
{

/// Returns a hash of the submission, without its attempt number. It reveals whether an identifier was reused for a different job.
std::uint64_t digestOf(const job_request &request);

/// Returns whether every task of the job ended with the verdict not_run.
bool wasNotRun(const owned_job &job);

/**
 * The jobs of an owner, with the times at which their deadlines and timeouts are due.
 *
 * A closed job is stored until the deduplication window has elapsed since its deadline, so that a repeated submission is recognised.
 */
class job_table
{
public:
    job_table(const time_source &time, microseconds deduplicationWindow);

    /// Returns the job, or nullptr if it is not stored.
    owned_job *find(const std::string &jobId);
    const owned_job *find(const std::string &jobId) const;

    /// Adds an open job, computes its finalizeAt and replyDeadline, and schedules finalizeAt. Replaces an earlier attempt under the same
    /// identifier.
    owned_job &add(const job_request &request);

    void erase(const std::string &jobId);

    /// Marks an open or finalizing job as closed.
    void close(owned_job &job);

    std::vector<owned_job *> jobsOfShard(std::uint32_t shard);

    /// Makes takeDue return the job once the given time is reached.
    void schedule(const owned_job &job, unix_time at);

    /// Removes and returns the next job whose scheduled time has been reached, or returns nullptr if there is none. Entries of erased
    /// jobs are skipped.
    owned_job *takeDue();

    /// Erases closed jobs if the deduplication window has elapsed since their deadline.
    void expire();

    std::size_t size() const;

    /// Returns the number of jobs that are not closed.
    std::size_t openCount() const;

private:
    const time_source &m_time;
    microseconds m_deduplicationWindow;
    std::unordered_map<std::string, std::unique_ptr<owned_job>> m_jobs;
    std::multimap<unix_time, std::string> m_due;
    std::multimap<unix_time, std::string> m_expiry;
    std::size_t m_openJobs = 0;
};

}

#endif
