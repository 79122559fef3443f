#include "jobs/submission_admission.h"

#include <algorithm>

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Delay after which a caller may retry that was refused because the entry was isolated.
constexpr milliseconds RETRY_SOON{500};
/// The same if a limit was reached or the job would have missed its deadline.
constexpr milliseconds RETRY_LATER{2000};

/// HTTP status codes of refusals.
constexpr std::uint32_t STATUS_CONFLICT = 409;
constexpr std::uint32_t STATUS_GONE = 410;
constexpr std::uint32_t STATUS_UNPROCESSABLE = 422;
constexpr std::uint32_t STATUS_TOO_MANY = 429;
constexpr std::uint32_t STATUS_UNAVAILABLE = 503;

}

submission_admission::submission_admission(const submission_admission_environment &environment, const job_owner_settings &settings)
    : m_fleet(environment.fleet)
    , m_freshness(environment.freshness)
    , m_jobs(environment.jobs)
    , m_tasks(environment.tasks)
    , m_finalizer(environment.finalizer)
    , m_recovery(environment.recovery)
    , m_outbox(environment.outbox)
    , m_journal(environment.journal)
    , m_counters(environment.counters)
    , m_settings(settings)
    , m_admissionRules(environment.time, settings.bounds, m_fleet, m_tasks.placer(), m_tasks.runtimes())
    , m_deferred(environment.time)
{
}

void submission_admission::admit(const waiting_request &from, const job_request &request)
{
    owned_job *known = m_jobs.find(request.id);
    if (known != nullptr && !isSupersededBy(*known, request)) {
        admitRepeated(*known, from, request);
        return;
    }
    if (m_settings.rules.requireFreshness && !m_freshness.isFresh()) {
        replyRefusal(from, request, {STATUS_UNAVAILABLE, RETRY_SOON, "this entry can reach neither the log nor a quorum of entries"});
        return;
    }
    const std::string lifetime = m_admissionRules.lifetimeError(request);
    if (!lifetime.empty()) {
        replyRefusal(from, request, {STATUS_GONE, milliseconds(0), lifetime});
        return;
    }
    if (m_jobs.size() >= m_settings.maxJobs) {
        replyRefusal(from, request, {STATUS_UNAVAILABLE, RETRY_LATER, "the job table of this entry is full"});
        return;
    }
    createJob(from, request);
}

void submission_admission::defer(const std::string &entry, const forwarded_submission &submission)
{
    if (!m_deferred.add(shardOf(submission.job.id), entry, submission)) {
        replyRefusal(
            {entry, submission.requestId},
            submission.job,
            {STATUS_UNAVAILABLE, RETRY_LATER, "this entry does not serve the shard of the job yet and cannot defer more submissions"});
    }
}

void submission_admission::admitDeferred(std::uint32_t shard)
{
    for (const deferred_submission &deferred : m_deferred.take(shard)) {
        admit({deferred.entry, deferred.submission.requestId}, deferred.submission.job);
    }
}

void submission_admission::admitRepeated(owned_job &job, const waiting_request &from, const job_request &request)
{
    ++m_counters.attached;
    if (request.attempt == job.request.attempt && job.digest != digestOf(request)) {
        replyRefusal(
            from, request, {STATUS_CONFLICT, milliseconds(0), "another job was submitted under this identifier; choose a new identifier"});
        return;
    }
    if (request.attempt < job.request.attempt) {
        replyRefusal(from, request, {STATUS_CONFLICT, milliseconds(0), "a later attempt was submitted under this identifier"});
        return;
    }
    if (job.stage == job_stage::closed) {
        m_finalizer.sendReply(from, job);
        return;
    }
    const bool repeated = std::any_of(job.waiting.begin(), job.waiting.end(), [&from](const waiting_request &other) {
        return other.entry == from.entry && other.requestId == from.requestId;
    });
    if (!repeated) {
        job.waiting.push_back(from);
    }
}

bool submission_admission::isSupersededBy(const owned_job &job, const job_request &request) const
{
    return request.attempt > job.request.attempt && job.stage == job_stage::closed && wasNotRun(job);
}

void submission_admission::createJob(const waiting_request &from, const job_request &request)
{
    owned_job &job = m_jobs.add(request);
    job.waiting.push_back(from);
    m_tasks.assignClasses(job);
    m_recovery.applyEvidence(job);
    m_finalizer.advance(job);
    if (job.stage != job_stage::open || refuseIfInfeasible(job)) {
        return;
    }
    ++m_counters.admitted;
    m_tasks.enqueueWaiting(job);
}

bool submission_admission::refuseIfInfeasible(owned_job &job)
{
    if (m_fleet.currentConfiguration().team(job.request.team) == nullptr) {
        refuse(job,
               STATUS_UNPROCESSABLE,
               milliseconds(0),
               "unknown team " + job.request.team + "; add the team to the configuration or submit under another team");
        return true;
    }
    for (const owned_task &task : job.tasks) {
        const std::string reason = m_admissionRules.unschedulableReason(task);
        if (task.stage == task_stage::waiting && !reason.empty()) {
            m_journal.note("job_never_runs", {{"job", job.request.id}, {"reason", reason}});
            m_finalizer.begin(job, m_finalizer.refusalDeadline(job), true, reason);
            return true;
        }
    }
    if (m_tasks.placer().waiting() + job.unfinishedTasks > m_settings.maxWaitingTasks) {
        refuse(job, STATUS_UNAVAILABLE, RETRY_LATER, "the limit on waiting tasks is reached");
        return true;
    }
    if (m_admissionRules.isExpectedToMissDeadline(job)) {
        refuse(job, STATUS_TOO_MANY, RETRY_LATER, "the job would miss its deadline because of the tasks that are already waiting");
        return true;
    }
    return false;
}

void submission_admission::refuse(owned_job &job, std::uint32_t status, milliseconds retryAfter, const std::string &reason)
{
    ++m_counters.refused;
    m_journal.note("job_refused", {{"job", job.request.id}, {"reason", reason}});
    job.reply.status = status;
    job.reply.retryAfterMilliseconds = static_cast<std::uint32_t>(retryAfter.count());
    job.reply.reason = reason;
    m_finalizer.begin(job, m_finalizer.refusalDeadline(job), true, reason);
}

void submission_admission::replyRefusal(const waiting_request &to, const job_request &request, const refusal_reason &reason)
{
    ++m_counters.refused;
    m_outbox.send(to.entry, refusalReply(to, request, reason));
}

}
