#include "jobs/entry_gateway.h"

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Time before the caller's deadline at which the timeout reply is sent, so that it arrives in time.
constexpr milliseconds ANSWER_MARGIN{5};

/// Timeout of status queries, cancellations, and submissions whose deadline has already passed.
constexpr seconds QUERY_TIMEOUT{3};

constexpr milliseconds RETRY_AFTER{1000};
constexpr std::uint32_t STATUS_UNAVAILABLE = 503;
constexpr std::uint32_t STATUS_TIMEOUT = 504;

}

entry_gateway::entry_gateway(const time_source &time,
                             const control_stream_replica &stream,
                             const freshness_tracker &guard,
                             peer_outbox &outbox,
                             caller_outbox &callers)
    : m_time(time)
    , m_stream(stream)
    , m_guard(guard)
    , m_outbox(outbox)
    , m_callers(callers)
{
}

std::uint64_t entry_gateway::submit(const job_request &job)
{
    pending_request request;
    request.forwarded = forwarded_submission{m_nextId, job};
    request.jobId = job.id;
    request.attempt = job.attempt;
    request.deadline = fromUnixMilliseconds(job.deadlineMilliseconds) - ANSWER_MARGIN;
    if (request.deadline <= m_time.unixNow()) {
        // The owner may hold a stored reply, so a submission whose deadline has passed is still forwarded.
        request.deadline = m_time.unixNow() + QUERY_TIMEOUT;
    }
    return add(std::move(request));
}

std::uint64_t entry_gateway::query(const std::string &jobId, bool cancel)
{
    pending_request request;
    request.forwarded = forwarded_query{m_nextId, jobId, cancel};
    request.jobId = jobId;
    request.deadline = m_time.unixNow() + QUERY_TIMEOUT;
    return add(std::move(request));
}

void entry_gateway::abandon(std::uint64_t requestId)
{
    const auto found = m_pending.find(requestId);
    if (found != m_pending.end()) {
        found->second.abandoned = true;
    }
}

void entry_gateway::handle(const message &value)
{
    const auto *reply = std::get_if<job_reply>(&value);
    if (reply == nullptr) {
        return;
    }
    const auto found = m_pending.find(reply->requestId);
    if (found == m_pending.end() || found->second.jobId != reply->jobId) {
        return;
    }
    const bool isSubmission = std::holds_alternative<forwarded_submission>(found->second.forwarded);
    if (isSubmission && reply->kind == reply_kind::pending) {
        // The caller of a submission gets only the final reply.
        return;
    }
    answer(reply->requestId, found->second, *reply);
}

void entry_gateway::connectEntry(const std::string &entry)
{
    for (auto &[id, request] : m_pending) {
        if (request.sentTo == entry) {
            request.sentEpoch = 0;
            forward(request);
        }
    }
}

void entry_gateway::tick()
{
    if (m_stream.state().offset() != m_lastOffset) {
        m_lastOffset = m_stream.state().offset();
        for (auto &[id, request] : m_pending) {
            forward(request);
        }
    }
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= m_time.unixNow()) {
        const std::uint64_t requestId = m_deadlines.begin()->second;
        const pending_request &request = m_pending.at(requestId);
        answer(requestId, request, timeoutReply(request));
    }
}

bool entry_gateway::isFull() const
{
    return m_pending.size() >= MAX_PENDING;
}

std::size_t entry_gateway::pending() const
{
    return m_pending.size();
}

std::uint64_t entry_gateway::forwardedAgain() const
{
    return m_forwardedAgain;
}

std::uint64_t entry_gateway::add(pending_request request)
{
    const std::uint64_t requestId = m_nextId++;
    request.shard = shardOf(request.jobId);
    m_deadlines.emplace(request.deadline, requestId);
    pending_request &added = m_pending[requestId];
    added = std::move(request);
    forward(added);
    return requestId;
}

void entry_gateway::forward(pending_request &request)
{
    const shard_ownership &ownership = m_stream.state().ownership(request.shard);
    if (ownership.epoch == 0 || ownership.epoch == request.sentEpoch) {
        return;
    }
    m_forwardedAgain += request.sentTo.empty() ? 0 : 1;
    request.sentEpoch = ownership.epoch;
    request.sentTo = ownership.owner;
    m_outbox.send(ownership.owner, request.forwarded);
}

void entry_gateway::answer(std::uint64_t requestId, const pending_request &request, const job_reply &reply)
{
    const bool abandoned = request.abandoned;
    m_deadlines.erase({request.deadline, requestId});
    m_pending.erase(requestId);
    if (!abandoned) {
        m_callers.answer(requestId, reply);
    }
}

job_reply entry_gateway::timeoutReply(const pending_request &request) const
{
    job_reply reply;
    reply.jobId = request.jobId;
    reply.attempt = request.attempt;
    reply.kind = reply_kind::refused;
    reply.refusal = verdict::may_have_run;
    reply.status = m_guard.isFresh() ? STATUS_TIMEOUT : STATUS_UNAVAILABLE;
    reply.retryAfterMilliseconds = static_cast<std::uint32_t>(RETRY_AFTER.count());
    reply.reason = "the owner of the job did not reply in time; query the job by its identifier, or submit it again unchanged";
    return reply;
}

}
