#include "standin/log_standin.h"

#include "transport/http_status.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr std::uint64_t MAX_PAGE_RECORDS = 1000;
constexpr std::size_t MAX_RECORD_BYTES = 16 * 1024 * 1024;

std::uint64_t toNumber(const std::string &text, std::uint64_t absent)
{
    const bool digits
        = !text.empty() && text.size() < 19 && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    return digits ? std::stoull(text) : absent;
}

}

log_standin::log_standin(event_loop &loop, const socket_address &listen)
    : m_loop(loop)
    , m_http(loop, listen, http_limits{MAX_RECORD_BYTES, 16 * 1024, 60}, *this)
{
}

socket_address log_standin::address() const
{
    return m_http.address();
}

void log_standin::handleRequest(const http_request &request)
{
    constexpr std::string_view PREFIX = "/v1/streams/";
    constexpr std::string_view SUFFIX = "/records";
    if (request.path == "/healthz") {
        m_http.answer(request.id, {200, "application/json", R"({"healthy":true})", {}});
        return;
    }
    if (request.path == "/v1/faults") {
        setFaults(request);
        return;
    }
    if (request.path == "/v1/state") {
        m_http.answer(request.id, {200, "application/json", statistics(), {}});
        return;
    }
    if (!request.path.starts_with(PREFIX) || !request.path.ends_with(SUFFIX) || request.path.size() <= PREFIX.size() + SUFFIX.size()) {
        m_http.answer(request.id, problemResponse(STATUS_NOT_FOUND, "Not Found", request.path));
        return;
    }
    if (m_faults.down) {
        m_http.answer(request.id, problemResponse(STATUS_UNAVAILABLE, "Unavailable", "the log is down"));
        return;
    }
    stream &target = m_streams[request.path.substr(PREFIX.size(), request.path.size() - PREFIX.size() - SUFFIX.size())];
    if (request.method == "POST") {
        append(request, target);
    } else {
        read(request, target);
    }
}

void log_standin::abandonRequest(std::uint64_t, connection_end)
{
}

void log_standin::append(const http_request &request, stream &target)
{
    target.records.push_back(request.body);
    ++m_appends;
    m_appendedBytes += request.body.size();
    const std::uint64_t offset = target.firstOffset + target.records.size() - 1;
    while (m_faults.retainRecords > 0 && target.records.size() > m_faults.retainRecords) {
        target.records.pop_front();
        ++target.firstOffset;
    }
    if (m_faults.loseAcknowledgements > 0) {
        --m_faults.loseAcknowledgements;
        answer(request.id, problemResponse(STATUS_UNAVAILABLE, "Unavailable", "the acknowledgement was lost"));
        return;
    }
    answer(request.id, {200, "application/json", json{{"offset", offset}}.dump(), {}});
}

void log_standin::read(const http_request &request, const stream &target)
{
    ++m_reads;
    const std::uint64_t next = target.firstOffset + target.records.size();
    const std::uint64_t from = std::max(toNumber(request.queryOr("from", "1"), 1), target.firstOffset);
    const std::uint64_t limit = std::min(toNumber(request.queryOr("limit", "100"), 100), MAX_PAGE_RECORDS);
    json records = json::array();
    for (std::uint64_t offset = from; offset < next && records.size() < limit; ++offset) {
        records.push_back({{"offset", offset}, {"body", target.records[offset - target.firstOffset]}});
    }
    answer(request.id, {200, "application/json", json{{"first", target.firstOffset}, {"next", next}, {"records", records}}.dump(), {}});
}

void log_standin::setFaults(const http_request &request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        m_http.answer(request.id, problemResponse(STATUS_BAD_REQUEST, "Bad Request", "expected an object of faults"));
        return;
    }
    m_faults.down = body.value("down", false);
    m_faults.slow = milliseconds(body.value("slow_ms", 0));
    m_faults.loseAcknowledgements = body.value("lose_acknowledgements", std::uint64_t(0));
    m_faults.retainRecords = body.value("retain_records", std::uint64_t(0));
    m_http.answer(request.id, {200, "application/json", body.dump(), {}});
}

void log_standin::answer(std::uint64_t id, const http_response &response)
{
    if (m_faults.slow == milliseconds(0)) {
        m_http.answer(id, response);
        return;
    }
    m_loop.after(m_faults.slow, [this, id, response] { m_http.answer(id, response); });
}

std::string log_standin::statistics() const
{
    json streams = json::object();
    for (const auto &[name, target] : m_streams) {
        streams[name] = {{"first", target.firstOffset}, {"records", target.records.size()}};
    }
    return json{{"role", "log"}, {"appends", m_appends}, {"appended_bytes", m_appendedBytes}, {"reads", m_reads}, {"streams", streams}}
        .dump();
}

}
