#include "testing/fake_callers.h"

namespace azuremoor::testing
{

fake_callers::fake_callers(
    const virtual_time &time, const fake_node_map &nodes, invariant_checker &checker, const job_trace &trace, microseconds maxSkew)
    : m_time(time)
    , m_nodes(nodes)
    , m_checker(checker)
    , m_trace(trace)
    , m_maxSkew(maxSkew)
{
}

std::size_t fake_callers::submit(const std::string &entryName, const job_request &job)
{
    fake_node &target = *m_nodes.at(entryName);
    m_requests.push_back({job, entryName, target.incarnation(), m_time.steadyNow(), false, {}});
    const std::size_t position = m_requests.size() - 1;
    if (!target.isUp()) {
        return position;
    }
    const auto submitNow = [this, entryName, job, position] {
        fake_node &now = *m_nodes.at(entryName);
        // The number of the request is known before any reply can come: replies travel by message.
        const std::uint64_t requestId = now.entry()->gateway().submit(job);
        m_requestIndex[{entryName, now.incarnation(), requestId}] = position;
    };
    target.run(submitNow);
    return position;
}

void fake_callers::cancel(const std::string &entryName, const std::string &jobId)
{
    fake_node &target = *m_nodes.at(entryName);
    if (target.isUp() && !target.isPaused()) {
        target.entry()->gateway().query(jobId, true);
    }
}

void fake_callers::takeReply(const std::string &entryName, std::uint64_t requestId, const job_reply &reply)
{
    const auto found = m_requestIndex.find({entryName, m_nodes.at(entryName)->incarnation(), requestId});
    if (found == m_requestIndex.end()) {
        return;
    }
    caller_request &request = m_requests[found->second];
    if (request.answered) {
        m_checker.fail("the request for " + request.job.id + " was answered twice");
    }
    request.answered = true;
    request.reply = reply;
    if (m_trace.follows(reply.jobId)) {
        m_trace.noteEvent(entryName + " answers " + std::to_string(static_cast<int>(reply.kind)) + " verdict "
                          + std::string(verdictName(reply.refusal)) + " " + reply.reason);
    }
    m_checker.noteReply(request.job, reply);
}

std::vector<caller_request> &fake_callers::requests()
{
    return m_requests;
}

void fake_callers::checkAnswered()
{
    for (const caller_request &request : m_requests) {
        const fake_node &at = *m_nodes.at(request.entry);
        const unix_time latest = fromUnixMilliseconds(request.job.deadlineMilliseconds) + milliseconds(100) + m_maxSkew;
        const bool due = m_time.unixNow() > latest;
        if (due && !request.answered && at.isUp() && !at.isPaused() && at.incarnation() == request.incarnation) {
            m_checker.fail("the request for " + request.job.id + " at " + request.entry + " has no answer after its deadline");
        }
    }
}

}
