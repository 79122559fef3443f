#include "ctl/ctl_client.h"

#include "transport/http_status.h"

#include <iostream>

namespace azuremoor
{

namespace
{

constexpr std::size_t MAX_CONNECTIONS = 512;

}

ctl_client::ctl_client(std::vector<http_url> entries)
    : m_http(m_loop, MAX_CONNECTIONS)
    , m_entries(std::move(entries))
{
}

result_or_failure<incoming_response>
ctl_client::call(const std::string &method, const std::string &path, const std::string &body, seconds timeout)
{
    result_or_failure<incoming_response> result
        = tl::unexpected(failure{verdict::not_run, "no entry is given; use --entry or AZUREMOOR_ENTRY"});
    for (const http_url &entry : m_entries) {
        result = callAt(entry, method, path, body, timeout);
        // Only a request that no entry has seen may go to another one.
        if (result || result.error().outcome != verdict::not_run) {
            return result;
        }
    }
    return result;
}

result_or_failure<incoming_response>
ctl_client::callAt(const http_url &target, const std::string &method, const std::string &path, const std::string &body, seconds timeout)
{
    result_or_failure<incoming_response> result = tl::unexpected(failure{});
    m_http.send({method, target.address, path, {{"Content-Type", "application/json"}}, body, timeout},
                [this, &result](const auto &response) {
                    result = response;
                    m_loop.stop();
                });
    m_loop.run();
    return result;
}

void ctl_client::pause(microseconds duration)
{
    m_loop.after(duration, [this] { m_loop.stop(); });
    m_loop.run();
}

const std::vector<http_url> &ctl_client::entries() const
{
    return m_entries;
}

event_loop &ctl_client::loop()
{
    return m_loop;
}

http_client &ctl_client::http()
{
    return m_http;
}

exit_status reportFailure(const failure &error)
{
    std::cerr << "azuremoorctl: " << error.reason;
    if (error.outcome == verdict::not_run) {
        std::cerr << "; nothing was sent. Check the address of the entry" << std::endl;
    } else {
        std::cerr << "; the request may have been carried out. Ask for the job under its identifier, or send it again unchanged"
                  << std::endl;
    }
    return exit_status::unreachable;
}

exit_status reportProblem(const incoming_response &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    std::cerr << "azuremoorctl: " << response.status;
    if (body.is_object() && body.contains("detail") && body["detail"].is_string()) {
        std::cerr << ": " << body["detail"].get<std::string>();
    }
    if (body.is_object() && body.contains("verdict") && body["verdict"].is_string()) {
        std::cerr << " (" << body["verdict"].get<std::string>() << ")";
    }
    std::cerr << std::endl;
    return response.status == STATUS_CONFLICT ? exit_status::conflict : exit_status::refused;
}

}
