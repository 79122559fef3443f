#ifndef AZUREMOOR_ENTRY_JOB_API_H
#define AZUREMOOR_ENTRY_JOB_API_H

#include <cstdint>
#include <map>
#include <string>

#include "nodes/entry_node.h"
#include "transport/http_server.h"

namespace azuremoor
{

/// Serves callers over HTTP: takes, queries, cancels and explains jobs.
class job_api
{
public:
    /// Both objects must outlive the job API. Requests are answered through the server.
    job_api(entry_node &node, http_server &http);

    /// Handles a request of a caller. Returns whether the path is one of jobs.
    bool handle(const http_request &request);

    /// Notes that the caller of an unanswered request hung up.
    void abandon(std::uint64_t httpId);

    /// Sends the reply to the caller that waits for it, if there is one.
    void answer(std::uint64_t requestId, const job_reply &reply);

    /// Returns the number of callers that wait for a reply.
    std::size_t waitingCallers() const;

private:
    void submitJob(const http_request &request);
    void refuseForNow(const http_request &request);
    void queryJob(const http_request &request, const std::string &jobId);
    void explainJob(const http_request &request, const std::string &jobId);

    entry_node &m_node;
    http_server &m_http;
    std::map<std::uint64_t, std::uint64_t> m_httpByRequest;
    std::map<std::uint64_t, std::uint64_t> m_requestByHttp;
};

}

#endif
