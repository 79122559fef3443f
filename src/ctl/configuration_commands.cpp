#include "ctl/configuration_commands.h"

#include <iostream>

#include "configuration/configuration.h"
#include "ctl/configuration_fetch.h"
#include "ctl/text_file.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr seconds TIMEOUT{15};
constexpr milliseconds WAIT_INTERVAL{100};

/// Returns the document in the file, checked as a whole; nothing, and a message, when it is none.
std::optional<json> readDocument(const std::string &file)
{
    const auto text = readTextFile(file);
    if (!text) {
        std::cerr << "azuremoorctl: cannot read " << file << std::endl;
        return std::nullopt;
    }
    const auto parsed = configuration::parseText(*text);
    if (!parsed) {
        std::cerr << "azuremoorctl: " << file << ": " << parsed.error().location << ": " << parsed.error().reason << std::endl;
        return std::nullopt;
    }
    return json::parse(*text, nullptr, true, true);
}

std::vector<std::string> membersBehind(const json &members, std::uint64_t version)
{
    std::vector<std::string> behind;
    for (const json &member : members) {
        if (member.value("offset", std::uint64_t(0)) < version) {
            behind.push_back(member.value("name", ""));
        }
    }
    return behind;
}

}

configuration_commands::configuration_commands(ctl_client &client, bool printJson, std::string author)
    : m_client(client)
    , m_json(printJson)
    , m_author(std::move(author))
{
}

exit_status configuration_commands::apply(const std::string &file, std::optional<std::uint64_t> baseVersion)
{
    const auto document = readDocument(file);
    if (!document) {
        return exit_status::usage;
    }
    if (!baseVersion) {
        exit_status status = exit_status::success;
        const auto current = fetchConfiguration(m_client, std::nullopt, status);
        if (!current) {
            return status;
        }
        baseVersion = current->at("version").get<std::uint64_t>();
    }
    return publish(*document, *baseVersion);
}

exit_status configuration_commands::diff(const std::string &file)
{
    const auto document = readDocument(file);
    if (!document) {
        return exit_status::usage;
    }
    exit_status status = exit_status::success;
    const auto current = fetchConfiguration(m_client, std::nullopt, status);
    if (!current) {
        return status;
    }
    const json changes = json::diff(current->at("document"), *document);
    if (m_json) {
        std::cout << changes.dump(2) << std::endl;
        return exit_status::success;
    }
    std::cout << "against version " << current->at("version") << ": " << (changes.empty() ? "no difference" : "") << std::endl;
    for (const json &change : changes) {
        std::cout << "  " << change.value("op", "") << " " << change.value("path", "") << " " << change.value("value", json()).dump()
                  << std::endl;
    }
    return exit_status::success;
}

exit_status configuration_commands::get(std::optional<std::uint64_t> version)
{
    exit_status status = exit_status::success;
    const auto found = fetchConfiguration(m_client, version, status);
    if (found) {
        std::cout << (m_json ? found->dump() : found->dump(2)) << std::endl;
    }
    return status;
}

exit_status configuration_commands::history()
{
    const auto response = m_client.call("GET", "/v1/configuration/history", {}, TIMEOUT);
    if (!response) {
        return reportFailure(response.error());
    }
    if (m_json) {
        std::cout << response->body << std::endl;
        return exit_status::success;
    }
    for (const json &version : json::parse(response->body, nullptr, false)) {
        std::cout << version.value("version", 0) << " by " << version.value("author", "") << " at "
                  << version.value("at_ms", std::int64_t(0)) << std::endl;
    }
    return exit_status::success;
}

exit_status configuration_commands::rollback(std::uint64_t version)
{
    exit_status status = exit_status::success;
    const auto earlier = fetchConfiguration(m_client, version, status);
    if (!earlier) {
        return status;
    }
    const auto current = fetchConfiguration(m_client, std::nullopt, status);
    if (!current) {
        return status;
    }
    return publish(earlier->at("document"), current->at("version").get<std::uint64_t>());
}

exit_status configuration_commands::wait(std::uint64_t version, seconds timeout)
{
    std::vector<std::string> behind;
    const auto rounds = timeout / WAIT_INTERVAL;
    for (std::int64_t round = 0; round <= rounds; ++round) {
        const auto response = m_client.call("GET", "/v1/members", {}, TIMEOUT);
        if (!response) {
            return reportFailure(response.error());
        }
        behind = membersBehind(json::parse(response->body, nullptr, false), version);
        if (behind.empty()) {
            std::cout << "version " << version << " is in force everywhere" << std::endl;
            return exit_status::success;
        }
        m_client.pause(WAIT_INTERVAL);
    }
    std::cerr << "azuremoorctl: these members have not reported version " << version << ":";
    for (const std::string &name : behind) {
        std::cerr << " " << name;
    }
    std::cerr << std::endl;
    return exit_status::failed;
}

exit_status configuration_commands::publish(const json &document, std::uint64_t baseVersion)
{
    const json change = {{"base_version", baseVersion}, {"author", m_author}, {"document", document}};
    const auto response = m_client.call("PUT", "/v1/configuration", change.dump(), TIMEOUT);
    if (!response) {
        return reportFailure(response.error());
    }
    if (response->status != STATUS_OK) {
        const json body = json::parse(response->body, nullptr, false);
        if (body.is_object() && body.contains("in_force")) {
            std::cerr << "azuremoorctl: in force is " << body["in_force"].dump() << std::endl;
        }
        return reportProblem(*response);
    }
    const json body = json::parse(response->body);
    std::cout << (m_json ? response->body : "version " + body.at("version").dump() + " is accepted") << std::endl;
    return exit_status::success;
}

}
