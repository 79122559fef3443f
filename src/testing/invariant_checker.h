#ifndef AZUREMOOR_TESTING_INVARIANT_CHECKER_H
#define AZUREMOOR_TESTING_INVARIANT_CHECKER_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "messages/messages.h"

namespace azuremoor::testing
{

/// Checks what must always hold, from what upstreams saw and what callers were told.
class invariant_checker
{
public:
    /// Notes that an upstream saw the start of a task.
    void noteStart(const std::string &jobId, std::uint32_t attempt, std::uint32_t index);

    /// Notes the reply that a caller got to its request.
    void noteReply(const job_request &asked, const job_reply &reply);

    /// Notes a fault of any other kind.
    void fail(const std::string &what);

    /// Returns what did not hold.
    const std::vector<std::string> &violations() const;

    /// Returns how often the task was started.
    std::uint32_t starts(const std::string &jobId, std::uint32_t index) const;

    /// Returns the number of starts in all.
    std::uint64_t startCount() const;

    /// Returns the answer that the upstreams of the tests give.
    static std::string answerFor(const std::string &jobId, const std::string &taskName, const std::string &payload);

private:
    using task_key = std::pair<std::string, std::uint32_t>;
    using attempt_key = std::pair<std::string, std::uint32_t>;

    void checkTask(const job_request &asked, const job_reply &reply, std::size_t index);
    void noteNotRun(const job_request &asked, std::uint32_t attempt, std::uint32_t index);

    std::map<task_key, std::uint32_t> m_starts;
    std::map<attempt_key, std::set<std::uint32_t>> m_startedByAttempt;
    std::map<attempt_key, std::set<std::uint32_t>> m_toldNotRun;
    std::vector<std::string> m_violations;
    std::uint64_t m_startCount = 0;
};

}

#endif
