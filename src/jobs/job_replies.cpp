#include "jobs/job_replies.h"

#include <algorithm>

namespace azuremoor
{

job_reply refusalReply(const waiting_request &to, const job_request &request, const refusal_reason &reason)
{
    job_reply reply;
    reply.requestId = to.requestId;
    reply.jobId = request.id;
    reply.attempt = request.attempt;
    reply.kind = reply_kind::refused;
    reply.refusal = verdict::may_have_run;
    reply.status = reason.status;
    reply.retryAfterMilliseconds = static_cast<std::uint32_t>(reason.retryAfter.count());
    reply.reason = reason.text;
    return reply;
}

job_reply replyFor(const waiting_request &to, const owned_job &job)
{
    job_reply reply;
    if (job.stage == job_stage::closed) {
        reply = job.reply;
    } else {
        reply.jobId = job.request.id;
        reply.attempt = job.request.attempt;
        reply.kind = reply_kind::pending;
        reply.endedTasks = static_cast<std::uint32_t>(job.tasks.size()) - job.unfinishedTasks;
        for (const task_request &task : job.request.tasks) {
            reply.taskNames.push_back(task.name);
        }
    }
    reply.requestId = to.requestId;
    return reply;
}

journal_fields failureFields(const owned_job &job, std::uint64_t epoch)
{
    const auto first = std::find_if(job.tasks.begin(), job.tasks.end(), [](const owned_task &task) { return !task.outcome.isAnswered(); });
    const auto index = static_cast<std::size_t>(first - job.tasks.begin());
    return {{"job", job.request.id},
            {"shard", std::to_string(job.shard)},
            {"epoch", std::to_string(epoch)},
            {"task", job.request.tasks[index].name},
            {"verdict", std::string(verdictName(first->outcome.outcome))},
            {"agent", first->agent},
            {"reason", first->outcome.error}};
}

}
