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

/// Returns the hash of a submission by which a resubmission with another body is told. The attempt does not count.
std::uint64_t digestOf(const job_request &request);

/// Returns whether every task of the job ended without having run.
bool wasNotRun(const owned_job &job);

/**
 * The jobs that an owner remembers, with the moments at which something is due for them.
 *
 * A job is remembered until its deadline and the deduplication window have passed.
 */
class job_table
{
public:
    job_table(const time_source &time, microseconds deduplicationWindow);

    /// Returns the job, or null when it is not known.
    owned_job *find(const std::string &jobId);
    const owned_job *find(const std::string &jobId) const;

    /// Adds an open job with its times worked out. Takes the place of an earlier attempt.
    owned_job &add(const job_request &request);

    /// Forgets the job.
    void erase(const std::string &jobId);

    /// Returns the jobs of the shard.
    std::vector<owned_job *> jobsOfShard(std::uint32_t shard);

    /// Has the job come up in takeDue at the given moment.
    void schedule(const owned_job &job, unix_time at);

    /// Returns the next job for which something is due, or null when nothing is due by now. Jobs that are gone are passed over.
    owned_job *takeDue();

    /// Forgets closed jobs whose time has passed.
    void expire();

    /// Returns the number of jobs.
    std::size_t size() const;

private:
    const time_source &m_time;
    microseconds m_deduplicationWindow;
    std::unordered_map<std::string, std::unique_ptr<owned_job>> m_jobs;
    std::multimap<unix_time, std::string> m_due;
    std::multimap<unix_time, std::string> m_expiry;
};

}

#endif
