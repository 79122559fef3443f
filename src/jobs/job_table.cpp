#include "jobs/job_table.h"

#include <algorithm>

#include "base/submission_id.h"
#include "messages/codec.h"

namespace azuremoor
{

namespace
{

/// Finalizing, in which placements are revoked, starts before the deadline by this fraction of the remaining time (1/10), at most
/// MAX_FINALIZING_TIME.
constexpr int FINALIZING_DIVISOR = 10;
constexpr milliseconds MAX_FINALIZING_TIME{200};

/// Fraction of the finalizing time (1/4) that is reserved for the reply to reach the caller before the deadline.
constexpr int REPLY_MARGIN_DIVISOR = 4;

}

std::uint64_t digestOf(const job_request &request)
{
    forwarded_submission body{0, request};
    body.job.attempt = 0;
    return stableHash(encodeMessage(body));
}

bool wasNotRun(const owned_job &job)
{
    return std::all_of(job.tasks.begin(), job.tasks.end(), [](const owned_task &task) {
        return task.stage == task_stage::ended && task.outcome.outcome == verdict::not_run;
    });
}

job_table::job_table(const time_source &time, microseconds deduplicationWindow)
    : m_time(time)
    , m_deduplicationWindow(deduplicationWindow)
{
}

owned_job *job_table::find(const std::string &jobId)
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

const owned_job *job_table::find(const std::string &jobId) const
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

owned_job &job_table::add(const job_request &request)
{
    auto job = std::make_unique<owned_job>();
    job->request = request;
    job->digest = digestOf(request);
    job->shard = shardOf(request.id);
    job->deadline = fromUnixMilliseconds(request.deadlineMilliseconds);
    job->admittedAt = m_time.steadyNow();
    job->tasks.resize(request.tasks.size());
    job->unfinishedTasks = static_cast<std::uint32_t>(request.tasks.size());
    const microseconds left = std::max(job->deadline - m_time.unixNow(), microseconds(0));
    const microseconds finalizingTime = std::min<microseconds>(left / FINALIZING_DIVISOR, MAX_FINALIZING_TIME);
    job->finalizeAt = job->deadline - finalizingTime;
    job->replyDeadline = job->deadline - finalizingTime / REPLY_MARGIN_DIVISOR;
    schedule(*job, job->finalizeAt);
    m_expiry.emplace(job->deadline + m_deduplicationWindow, request.id);
    owned_job &result = *job;
    ++m_openJobs;
    m_jobs[request.id] = std::move(job);
    return result;
}

void job_table::erase(const std::string &jobId)
{
    const owned_job *job = find(jobId);
    if (job == nullptr) {
        return;
    }
    m_openJobs -= job->stage == job_stage::closed ? 0 : 1;
    m_jobs.erase(jobId);
}

void job_table::close(owned_job &job)
{
    job.stage = job_stage::closed;
    --m_openJobs;
}

std::vector<owned_job *> job_table::jobsOfShard(std::uint32_t shard)
{
    std::vector<owned_job *> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job->shard == shard) {
            jobs.push_back(job.get());
        }
    }
    return jobs;
}

void job_table::schedule(const owned_job &job, unix_time at)
{
    m_due.emplace(at, job.request.id);
}

owned_job *job_table::takeDue()
{
    while (!m_due.empty() && m_due.begin()->first <= m_time.unixNow()) {
        owned_job *job = find(m_due.begin()->second);
        m_due.erase(m_due.begin());
        if (job != nullptr) {
            return job;
        }
    }
    return nullptr;
}

void job_table::expire()
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= m_time.unixNow()) {
        const owned_job *job = find(m_expiry.begin()->second);
        // A later attempt under the same identifier has its own, later expiry entry.
        if (job != nullptr && job->stage == job_stage::closed && job->deadline + m_deduplicationWindow <= m_time.unixNow()) {
            erase(m_expiry.begin()->second);
        }
        m_expiry.erase(m_expiry.begin());
    }
}

std::size_t job_table::size() const
{
    return m_jobs.size();
}

std::size_t job_table::openCount() const
{
    return m_openJobs;
}

}
