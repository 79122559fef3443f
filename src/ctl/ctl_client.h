#ifndef AZUREMOOR_CTL_CTL_CLIENT_H
#define AZUREMOOR_CTL_CTL_CLIENT_H

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "transport/event_loop.h"
#include "transport/http_client.h"

namespace azuremoor
{

/// Exit statuses of the operator's tool.
enum class exit_status : int {
    success = 0,
    /// The job ended, and failed; or something waited for did not come about.
    failed = 1,
    /// The arguments are wrong.
    usage = 2,
    /// The fleet refused the request.
    refused = 3,
    /// Another change came first.
    conflict = 4,
    /// No entry could be reached.
    unreachable = 5,
};

/// Talks to the fleet's entries over HTTP, one request after the other.
class ctl_client
{
public:
    /// Takes the addresses of entries, of which the first that answers is used.
    explicit ctl_client(std::vector<http_url> entries);

    /// Sends the request to the first entry that can be reached, and waits for the answer.
    result_or_failure<incoming_response> call(const std::string &method, const std::string &path, const std::string &body, seconds timeout);

    /// Sends the request to one address, and waits for the answer.
    result_or_failure<incoming_response>
    callAt(const http_url &target, const std::string &method, const std::string &path, const std::string &body, seconds timeout);

    /// Waits for the given time.
    void pause(microseconds duration);

    /// Returns the addresses of the entries.
    const std::vector<http_url> &entries() const;

    event_loop &loop();
    http_client &http();

private:
    event_loop m_loop;
    http_client m_http;
    std::vector<http_url> m_entries;
};

/// Prints what went wrong and what to do next. Returns the exit status for it.
exit_status reportFailure(const failure &error);

/// Prints the problem that a response holds. Returns the exit status for it.
exit_status reportProblem(const incoming_response &response);

}

#endif
