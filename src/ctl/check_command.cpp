#include "ctl/check_command.h"

#include <iostream>

#include "checks/configuration_check.h"
#include "checks/configuration_entries.h"
#include "ctl/configuration_fetch.h"
#include "ctl/text_file.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr seconds TIMEOUT{15};

/// Entries list at most this many workers in their state, so a list of this length may not be whole.
constexpr std::size_t MAX_LISTED_WORKERS = 200;

std::optional<std::uint64_t> versionOf(const std::string &against)
{
    return against == "current" ? std::nullopt : std::optional<std::uint64_t>(std::stoull(against));
}

std::vector<label> labelsOf(const json &worker)
{
    std::vector<label> labels;
    for (const auto &[key, value] : worker.at("labels").items()) {
        labels.push_back({key, value.get<std::string>()});
    }
    return labels;
}

}

check_command::check_command(ctl_client &client, bool printJson)
    : m_client(client)
    , m_json(printJson)
{
}

exit_status check_command::run(const std::string &file, const std::string &against)
{
    const auto text = readTextFile(file);
    if (!text) {
        std::cerr << "azuremoorctl: cannot read " << file << std::endl;
        return exit_status::usage;
    }
    check_report report{file, configuration_check().run(*text), std::nullopt, {}};
    if (!against.empty() && statusOf(report) != check_status::errors) {
        const exit_status status = compare(*text, against, report);
        if (status != exit_status::success) {
            return status;
        }
    }
    return print(report);
}

exit_status check_command::compare(const std::string &text, const std::string &against, check_report &report)
{
    exit_status status = exit_status::success;
    const auto base = fetchConfiguration(m_client, versionOf(against), status);
    if (!base) {
        return status;
    }
    const auto upstreams = fetchUpstreams(status);
    if (!upstreams) {
        return status;
    }
    report.findings = configuration_check(*upstreams).run(text);
    report.comparedVersion = base->at("version").get<std::uint64_t>();
    report.differences = compareEntries(entriesOf(base->at("document")),
                                        entriesOf(json::parse(text, nullptr, /*allow_exceptions=*/true, /*ignore_comments=*/true)));
    return exit_status::success;
}

std::optional<known_upstreams> check_command::fetchUpstreams(exit_status &status)
{
    const auto inForce = fetchConfiguration(m_client, std::nullopt, status);
    if (!inForce) {
        return std::nullopt;
    }
    const auto response = m_client.call("GET", "/v1/state", {}, TIMEOUT);
    if (!response || response->status != STATUS_OK) {
        status = response ? reportProblem(*response) : reportFailure(response.error());
        return std::nullopt;
    }
    const json state = json::parse(response->body);
    std::vector<std::vector<label>> upstreams;
    for (const json &worker : state.at("workers")) {
        upstreams.push_back(labelsOf(worker));
    }
    if (upstreams.size() >= MAX_LISTED_WORKERS) {
        return known_upstreams();
    }
    return known_upstreams(std::move(upstreams), configuration::parse(inForce->at("document")).value_or(configuration()));
}

exit_status check_command::print(const check_report &report) const
{
    if (m_json) {
        std::cout << renderJson(report).dump(2, ' ', false, json::error_handler_t::replace) << std::endl;
    } else {
        std::cout << renderText(report) << std::flush;
    }
    return static_cast<exit_status>(statusOf(report));
}

}
