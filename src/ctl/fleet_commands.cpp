#include "ctl/fleet_commands.h"

#include "transport/http_status.h"

#include <iostream>

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr seconds TIMEOUT{10};
constexpr seconds WATCH_INTERVAL{1};

}

fleet_commands::fleet_commands(ctl_client &client, bool printJson)
    : m_client(client)
    , m_json(printJson)
{
}

exit_status fleet_commands::state(const std::string &address)
{
    if (!address.empty()) {
        const auto target = http_url::parse(address);
        if (!target) {
            std::cerr << "azuremoorctl: " << address << " is not an http:// address with an IP number and a port" << std::endl;
            return exit_status::usage;
        }
        return printState(*target);
    }
    exit_status status = exit_status::success;
    for (const http_url &entry : m_client.entries()) {
        const exit_status printed = printState(entry);
        status = printed == exit_status::success ? status : printed;
    }
    return status;
}

exit_status fleet_commands::members()
{
    const auto response = m_client.call("GET", "/v1/members", {}, TIMEOUT);
    if (!response) {
        return reportFailure(response.error());
    }
    if (m_json) {
        std::cout << response->body << std::endl;
        return exit_status::success;
    }
    for (const json &member : json::parse(response->body, nullptr, false)) {
        std::cout << member.value("name", "") << " " << member.value("role", "") << " " << member.value("data_centre", "") << " offset "
                  << member.value("offset", 0) << " heard " << member.value("heard_ms_ago", -1) << " ms ago" << std::endl;
    }
    return exit_status::success;
}

exit_status fleet_commands::watch(std::int64_t rounds)
{
    for (std::int64_t round = 0; rounds == 0 || round < rounds; ++round) {
        for (const http_url &entry : m_client.entries()) {
            printBrief(entry);
        }
        m_client.pause(WATCH_INTERVAL);
    }
    return exit_status::success;
}

exit_status fleet_commands::forget(const std::string &name)
{
    const auto response = m_client.call("DELETE", "/v1/members/" + name, {}, TIMEOUT);
    if (!response) {
        return reportFailure(response.error());
    }
    if (response->status != STATUS_OK) {
        return reportProblem(*response);
    }
    std::cout << name << " is no longer part of the fleet" << std::endl;
    return exit_status::success;
}

exit_status fleet_commands::printState(const http_url &target)
{
    const auto response = m_client.callAt(target, "GET", "/v1/state", {}, TIMEOUT);
    if (!response) {
        return reportFailure(response.error());
    }
    if (response->status != STATUS_OK) {
        return reportProblem(*response);
    }
    std::cout << response->body << std::endl;
    return exit_status::success;
}

void fleet_commands::printBrief(const http_url &target)
{
    const auto response = m_client.callAt(target, "GET", "/v1/state", {}, TIMEOUT);
    if (!response || response->status != STATUS_OK) {
        std::cout << target.address.text() << " does not answer" << std::endl;
        return;
    }
    const json state = json::parse(response->body, nullptr, false);
    const json jobs = state.value("jobs", json::object());
    std::cout << state.value("name", "") << " shards " << state.value("shards", json::array()).size() << " open jobs "
              << jobs.value("open", 0) << " waiting tasks " << jobs.value("waiting_tasks", 0) << " complete " << jobs.value("complete", 0)
              << " failed " << jobs.value("failed", 0) << " configuration " << state["control"].value("configuration_version", 0)
              << std::endl;
}

}
