#ifndef AZUREMOOR_TESTING_FAKE_CALLERS_H
#define AZUREMOOR_TESTING_FAKE_CALLERS_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "testing/fake_node.h"
#include "testing/invariant_checker.h"
#include "testing/job_trace.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// A request of a caller, and what became of it.
struct caller_request {
    job_request job;
    std::string entry;
    std::uint64_t incarnation = 0;
    steady_time sent;
    bool answered = false;
    job_reply reply;
};

/// The callers of a fake fleet: submit and cancel jobs, and have the replies checked.
class fake_callers
{
public:
    /// The wall clocks of entries differ from the true time by at most maxSkew. All referenced objects must outlive the callers.
    fake_callers(
        const virtual_time &time, const fake_node_map &nodes, invariant_checker &checker, const job_trace &trace, microseconds maxSkew);

    /// Submits a job at the entry. Returns the position of the request.
    std::size_t submit(const std::string &entry, const job_request &job);

    /// Cancels a job at the entry.
    void cancel(const std::string &entry, const std::string &jobId);

    /// Takes the reply of an entry. Fails the check if the request already has one.
    void takeReply(const std::string &entry, std::uint64_t requestId, const job_reply &reply);

    /// Returns the requests in the order of their submission.
    std::vector<caller_request> &requests();

    /// Fails the check for requests whose entry is up and that have no answer though their deadline has passed.
    void checkAnswered();

private:
    const virtual_time &m_time;
    const fake_node_map &m_nodes;
    invariant_checker &m_checker;
    const job_trace &m_trace;
    microseconds m_maxSkew;
    std::vector<caller_request> m_requests;
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::size_t> m_requestIndex;
};

}

#endif
