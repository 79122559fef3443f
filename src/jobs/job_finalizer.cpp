#include "jobs/job_finalizer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "jobs/job_replies.h"

namespace azuremoor
{

namespace
{

/// Time limit for finalizing a refused or cancelled job.
constexpr milliseconds REFUSAL_TIMEOUT{1000};

/// Time after which another agent is asked to record the tombstone of a submission.
constexpr milliseconds TOMBSTONE_TIMEOUT{200};

bool hasUnrunTasks(const owned_job &job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [](const owned_task &task) {
        return task.stage == task_stage::ended && task.outcome.outcome == verdict::not_run;
    });
}

bool isTombstonePending(const owned_job &job)
{
    return job.tombstone == tombstone_stage::required || job.tombstone == tombstone_stage::sent;
}

}

job_finalizer::job_finalizer(const job_finalizer_environment &environment, const protocol_rules &rules)
    : m_time(environment.time)
    , m_fleet(environment.fleet)
    , m_shardStates(environment.shardStates)
    , m_jobs(environment.jobs)
    , m_tasks(environment.tasks)
    , m_deliveryNotifier(environment.deliveryNotifier)
    , m_outbox(environment.outbox)
    , m_journal(environment.journal)
    , m_observer(environment.observer)
    , m_counters(environment.counters)
    , m_rules(rules)
{
}

void job_finalizer::advance(owned_job &job)
{
    if (job.stage == job_stage::open && job.unfinishedTasks == 0) {
        closeOrFinalize(job);
    } else if (job.stage == job_stage::finalizing) {
        closeIfSettled(job);
    }
}

void job_finalizer::begin(owned_job &job, unix_time replyDeadline, bool awaitsRunning, const std::string &reason)
{
    if (job.stage == job_stage::closed) {
        return;
    }
    job.stage = job_stage::finalizing;
    job.replyDeadline = replyDeadline;
    job.awaitsRunning = awaitsRunning;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].stage == task_stage::waiting) {
            m_tasks.end(job, index, {verdict::not_run, {}, reason});
        }
    }
    m_tasks.revokeUnconfirmed(job);
    if (hasUnrunTasks(job)) {
        job.tombstone = tombstone_stage::required;
        requestTombstone(job);
    }
    m_jobs.schedule(job, job.replyDeadline);
    closeIfSettled(job);
}

unix_time job_finalizer::refusalDeadline(const owned_job &job) const
{
    return std::min(m_time.unixNow() + REFUSAL_TIMEOUT, job.replyDeadline);
}

void job_finalizer::repeatTombstoneRequest(owned_job &job)
{
    if (job.stage == job_stage::finalizing && isTombstonePending(job) && m_time.steadyNow() >= job.tombstoneDeadline) {
        requestTombstone(job);
    }
}

void job_finalizer::sendReply(const waiting_request &to, const owned_job &job) const
{
    m_outbox.send(to.entry, replyFor(to, job));
}

void job_finalizer::closeOrFinalize(owned_job &job)
{
    if (hasUnrunTasks(job)) {
        begin(job, job.replyDeadline, true, {});
        return;
    }
    close(job);
}

void job_finalizer::closeIfSettled(owned_job &job)
{
    if (job.tombstone == tombstone_stage::not_needed && hasUnrunTasks(job)) {
        job.tombstone = tombstone_stage::required;
        requestTombstone(job);
    }
    const bool overdue = m_time.unixNow() >= job.replyDeadline;
    const bool awaitsOutcome = std::any_of(job.tasks.begin(), job.tasks.end(), [&job](const owned_task &task) {
        return task.stage == task_stage::placed && (!task.confirmedRunning || job.awaitsRunning);
    });
    const bool tombstonePending = isTombstonePending(job);
    if (!overdue && (awaitsOutcome || tombstonePending)) {
        return;
    }
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        owned_task &task = job.tasks[index];
        if (task.stage == task_stage::placed) {
            const bool running = task.confirmedRunning;
            m_tasks.end(job,
                        index,
                        {verdict::may_have_run,
                         {},
                         running ? "the task was still running when the job ended" : "its agent did not answer in time"});
        } else if (tombstonePending && task.outcome.outcome == verdict::not_run) {
            // The task did not run, but without a recorded tombstone a later owner may still start it.
            task.outcome = {verdict::may_have_run, {}, "no agent confirmed in time that the task can no longer start"};
        }
    }
    close(job);
}

void job_finalizer::requestTombstone(owned_job &job)
{
    if (!m_rules.closeBeforeNotRun) {
        job.tombstone = tombstone_stage::confirmed;
        return;
    }
    if (m_fleet.memberNames(member_role::agent).empty()) {
        // Without agents no task can start, and a takeover without agents treats every earlier submission as possibly run.
        job.tombstone = tombstone_stage::confirmed;
        return;
    }
    const auto &workers = m_tasks.placer().directory().workers();
    // The first agent is the next one after the job identifier in the order of names; further ones follow in that order.
    auto candidate = workers.upper_bound(job.tombstoneAgent.empty() ? job.request.id : job.tombstoneAgent);
    for (std::size_t tried = 0; tried < workers.size(); ++tried) {
        if (candidate == workers.end()) {
            candidate = workers.begin();
        }
        if (candidate->second.connected) {
            break;
        }
        ++candidate;
    }
    m_jobs.schedule(job, m_time.unixNow() + TOMBSTONE_TIMEOUT);
    if (candidate == workers.end() || !candidate->second.connected) {
        return;
    }
    job.tombstone = tombstone_stage::sent;
    job.tombstoneAgent = candidate->first;
    job.tombstoneDeadline = m_time.steadyNow() + TOMBSTONE_TIMEOUT;
    ++m_counters.tombstones;
    m_outbox.send(job.tombstoneAgent, close_submission{m_tasks.keyOf(job), job.request.deadlineMilliseconds});
}

void job_finalizer::close(owned_job &job)
{
    m_jobs.close(job);
    job_reply &reply = job.reply;
    reply.jobId = job.request.id;
    reply.attempt = job.request.attempt;
    bool complete = true;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        reply.taskNames.push_back(job.request.tasks[index].name);
        reply.tasks.push_back(job.tasks[index].outcome);
        complete = complete && job.tasks[index].outcome.isAnswered();
    }
    reply.kind = complete ? reply_kind::complete : reply_kind::failed;
    if (reply.status != 0) {
        reply.kind = reply_kind::refused;
        reply.refusal = wasNotRun(job) ? verdict::not_run : verdict::may_have_run;
    }
    journalIfFailed(job, complete);
    m_counters.complete += complete ? 1 : 0;
    m_counters.failed += reply.kind == reply_kind::failed ? 1 : 0;
    m_observer.jobEnded(reply.kind, m_time.steadyNow() - job.admittedAt, job.longestRun);
    for (const waiting_request &waiting : job.waiting) {
        sendReply(waiting, job);
    }
    job.waiting.clear();
    std::set<std::string> agents;
    for (owned_task &task : job.tasks) {
        if (!task.agent.empty()) {
            agents.insert(task.agent);
        }
        // The reply now holds the outcomes.
        task.outcome.answer.clear();
    }
    for (const std::string &agent : agents) {
        m_deliveryNotifier.add(agent, m_tasks.keyOf(job));
    }
    for (task_request &task : job.request.tasks) {
        task.payload.clear();
    }
}

void job_finalizer::journalIfFailed(const owned_job &job, bool complete)
{
    if (complete || job.reply.kind == reply_kind::refused) {
        return;
    }
    m_journal.note("job_failed", failureFields(job, m_shardStates.epoch(job.shard)));
}

}
