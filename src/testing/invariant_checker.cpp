#include "testing/invariant_checker.h"

namespace azuremoor::testing
{

void invariant_checker::noteStart(const std::string &jobId, std::uint32_t attempt, std::uint32_t index)
{
    ++m_startCount;
    if (++m_starts[{jobId, index}] > 1) {
        fail("task " + std::to_string(index) + " of " + jobId + " started twice");
    }
    m_startedByAttempt[{jobId, attempt}].insert(index);
    if (m_toldNotRun[{jobId, attempt}].contains(index)) {
        fail("task " + std::to_string(index) + " of " + jobId + " started after a caller was told that it had not run");
    }
}

void invariant_checker::noteReply(const job_request &asked, const job_reply &reply)
{
    if (reply.jobId != asked.id) {
        fail("the caller of " + asked.id + " got the reply of " + reply.jobId);
        return;
    }
    if (reply.kind == reply_kind::refused) {
        for (std::uint32_t index = 0; reply.refusal == verdict::not_run && index < asked.tasks.size(); ++index) {
            noteNotRun(asked, reply.attempt, index);
        }
        return;
    }
    if (reply.kind != reply_kind::complete && reply.kind != reply_kind::failed) {
        return;
    }
    if (reply.tasks.size() != asked.tasks.size()) {
        fail("the reply to " + asked.id + " is not whole");
        return;
    }
    for (std::size_t index = 0; index < reply.tasks.size(); ++index) {
        checkTask(asked, reply, index);
    }
}

void invariant_checker::fail(const std::string &what)
{
    m_violations.push_back(what);
}

const std::vector<std::string> &invariant_checker::violations() const
{
    return m_violations;
}

std::uint32_t invariant_checker::starts(const std::string &jobId, std::uint32_t index) const
{
    const auto found = m_starts.find({jobId, index});
    return found == m_starts.end() ? 0 : found->second;
}

std::uint64_t invariant_checker::startCount() const
{
    return m_startCount;
}

std::string invariant_checker::answerFor(const std::string &jobId, const std::string &taskName, const std::string &payload)
{
    return jobId + "|" + taskName + "|" + payload;
}

void invariant_checker::checkTask(const job_request &asked, const job_reply &reply, std::size_t index)
{
    const task_outcome &outcome = reply.tasks[index];
    const std::string name = asked.id + " task " + std::to_string(index);
    if (reply.kind == reply_kind::complete && !outcome.isAnswered()) {
        fail(name + " has no answer in a complete reply");
    }
    if (outcome.isAnswered() && outcome.answer != answerFor(asked.id, asked.tasks[index].name, asked.tasks[index].payload)) {
        fail(name + " has the answer of another request");
    }
    if (outcome.outcome == verdict::ran && starts(asked.id, static_cast<std::uint32_t>(index)) == 0) {
        fail(name + " is said to have run and never started");
    }
    if (outcome.outcome == verdict::not_run) {
        noteNotRun(asked, reply.attempt, static_cast<std::uint32_t>(index));
    }
}

void invariant_checker::noteNotRun(const job_request &asked, std::uint32_t attempt, std::uint32_t index)
{
    m_toldNotRun[{asked.id, attempt}].insert(index);
    if (m_startedByAttempt[{asked.id, attempt}].contains(index)) {
        fail("task " + std::to_string(index) + " of " + asked.id + " is said not to have run, and it had started");
    }
}

}
