#include "entry/operator_api.h"

#include <optional>

#include <nlohmann/json.hpp>

#include "entry/http_responses.h"
#include "fleet/member_json.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

/// Time after which an operator's change that was not read back is reported as uncertain.
constexpr seconds CHANGE_TIMEOUT{10};

nlohmann::json versionJson(const published_configuration &version)
{
    return {{"version", version.version},
            {"author", version.author},
            {"at_ms", unixMilliseconds(version.writtenAt)},
            {"document", nlohmann::json::parse(version.document, nullptr, false, true)}};
}

}

operator_api::operator_api(const time_source &time, const std::string &name, entry_node &node, http_server &http)
    : m_time(time)
    , m_name(name)
    , m_node(node)
    , m_http(http)
{
}

bool operator_api::handle(const http_request &request)
{
    const std::string members = "/v1/members/";
    if (request.path == "/v1/configuration") {
        request.method == "PUT" ? putConfiguration(request) : getConfiguration(request);
    } else if (request.path == "/v1/configuration/history") {
        getHistory(request);
    } else if (request.path == "/v1/members") {
        getMembers(request);
    } else if (request.path.starts_with(members) && request.path.size() > members.size()) {
        forgetMember(request, request.path.substr(members.size()));
    } else {
        return false;
    }
    return true;
}

void operator_api::abandon(std::uint64_t httpId)
{
    m_changes.erase(httpId);
}

void operator_api::answerChanges()
{
    for (auto change = m_changes.begin(); change != m_changes.end();) {
        const auto [httpId, pending] = *change;
        const bool known = m_node.stream().state().effectOf(pending.recordId).has_value();
        if (!known && m_time.steadyNow() < pending.deadline) {
            ++change;
            continue;
        }
        change = m_changes.erase(change);
        answerChange(httpId, pending.recordId);
    }
}

void operator_api::getConfiguration(const http_request &request)
{
    if (request.method != "GET") {
        m_http.answer(request.id, methodNotAllowedResponse(request, "GET, PUT"));
        return;
    }
    const std::string wanted = request.queryOr("version", "");
    const auto &history = m_node.stream().state().configurationHistory();
    if (wanted.empty() && history.empty()) {
        m_http.answer(request.id, {200, "application/json", versionJson({}).dump(), {}});
        return;
    }
    for (const published_configuration &version : history) {
        if (wanted.empty() ? version.version == history.back().version : std::to_string(version.version) == wanted) {
            m_http.answer(request.id, {200, "application/json", versionJson(version).dump(), {}});
            return;
        }
    }
    m_http.answer(request.id,
                  problemResponse(STATUS_NOT_FOUND, "Not Found", "version " + wanted + " is not among the versions that are kept"));
}

void operator_api::putConfiguration(const http_request &request)
{
    const nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("base_version") && body["base_version"].is_number_unsigned()
        && body.contains("document") && body.contains("author") && body["author"].is_string();
    if (!valid) {
        m_http.answer(request.id,
                      problemResponse(STATUS_BAD_REQUEST, "Bad Request", "expected an object with base_version, author and document"));
        return;
    }
    const auto parsed = configuration::parse(body["document"]);
    if (!parsed) {
        m_http.answer(request.id,
                      problemResponse(STATUS_UNPROCESSABLE, "Unprocessable", parsed.error().location + ": " + parsed.error().reason));
        return;
    }
    const std::string recordId = m_node.publishConfiguration(
        body["base_version"].get<std::uint64_t>(), body["author"].get<std::string>(), body["document"].dump());
    m_changes[request.id] = {recordId, m_time.steadyNow() + CHANGE_TIMEOUT};
}

void operator_api::getHistory(const http_request &request)
{
    nlohmann::json body = nlohmann::json::array();
    for (const published_configuration &version : m_node.stream().state().configurationHistory()) {
        body.push_back({{"version", version.version}, {"author", version.author}, {"at_ms", unixMilliseconds(version.writtenAt)}});
    }
    m_http.answer(request.id, {200, "application/json", body.dump(), {}});
}

void operator_api::getMembers(const http_request &request)
{
    nlohmann::json body = nlohmann::json::array();
    const auto &reports = m_node.heartbeats().memberReports();
    for (const auto &[name, member] : m_node.stream().state().members()) {
        nlohmann::json entry = memberToJson(member);
        const auto report = reports.find(name);
        if (name == m_name) {
            entry["offset"] = m_node.stream().state().offset();
            entry["heard_ms_ago"] = 0;
        } else if (report != reports.end()) {
            entry["offset"] = report->second.offset;
            entry["heard_ms_ago"] = (m_time.steadyNow() - report->second.receivedAt).count() / 1000;
        }
        body.push_back(entry);
    }
    m_http.answer(request.id, {200, "application/json", body.dump(), {}});
}

void operator_api::forgetMember(const http_request &request, const std::string &name)
{
    if (request.method != "DELETE") {
        m_http.answer(request.id, methodNotAllowedResponse(request, "DELETE"));
        return;
    }
    const std::string recordId = m_node.publishMemberLoss(name);
    if (recordId.empty()) {
        m_http.answer(request.id, problemResponse(STATUS_NOT_FOUND, "Not Found", "no process of the fleet is called " + name));
        return;
    }
    m_changes[request.id] = {recordId, m_time.steadyNow() + CHANGE_TIMEOUT};
}

void operator_api::answerChange(std::uint64_t httpId, const std::string &recordId)
{
    const fleet_state &state = m_node.stream().state();
    const std::optional<record_effect> effect = state.effectOf(recordId);
    if (!effect) {
        http_response response = problemResponse(STATUS_GATEWAY_TIMEOUT,
                                                 "Not Read Back",
                                                 "the change was not read back from the log in time and may still come into force; "
                                                 "look at the history before publishing it again");
        response.headers.emplace("Retry-After", "5");
        m_http.answer(httpId, response);
        return;
    }
    if (*effect == record_effect::applied) {
        m_http.answer(httpId, {200, "application/json", nlohmann::json{{"version", state.offsetOf(recordId)}}.dump(), {}});
        return;
    }
    const nlohmann::json other = state.configurationHistory().empty() ? nlohmann::json() : versionJson(state.configurationHistory().back());
    nlohmann::json body = {{"type", "about:blank"}, {"status", STATUS_CONFLICT}, {"title", "Conflict"}, {"in_force", other}};
    body["detail"] = "another change came first; nothing of this one is in force. Compare it with the version in force and publish it anew";
    m_http.answer(httpId, {STATUS_CONFLICT, "application/problem+json", body.dump(), {}});
}

}
