#include "standin/upstream_standin.h"

#include "transport/http_status.h"

#include <nlohmann/json.hpp>

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr milliseconds ANNOUNCEMENT_INTERVAL{500};
constexpr std::size_t MAX_BODY_BYTES = 1024 * 1024;

}

upstream_standin::upstream_standin(event_loop &loop,
                                   const system_time &time,
                                   const socket_address &listen,
                                   upstream_standin_settings settings)
    : m_loop(loop)
    , m_time(time)
    , m_http(loop, listen, http_limits{MAX_BODY_BYTES, 16 * 1024, 600}, *this)
    , m_client(loop, 1)
    , m_settings(std::move(settings))
{
    if (!m_settings.agent.empty()) {
        announce();
        m_loop.every(ANNOUNCEMENT_INTERVAL, [this] { announce(); });
    }
}

socket_address upstream_standin::address() const
{
    return m_http.address();
}

void upstream_standin::leave(std::function<void()> done)
{
    m_leaving = true;
    if (m_settings.agent.empty()) {
        done();
        return;
    }
    const http_url agent = http_url::parse(m_settings.agent).value();
    m_client.send({"DELETE", agent.address, "/v1/announce", {}, {}, seconds(1)}, [done = std::move(done)](const auto &) { done(); });
}

void upstream_standin::handleRequest(const http_request &request)
{
    if (request.path == "/run" && request.method == "POST") {
        run(request);
    } else if (request.path == "/v1/starts") {
        m_http.answer(request.id, {200, "application/json", startsJson(), {}});
    } else if (request.path == "/v1/state") {
        const json state = {{"role", "upstream"}, {"starts", m_starts.size()}, {"running", m_running}, {"most_running", m_mostRunning}};
        m_http.answer(request.id, {200, "application/json", state.dump(), {}});
    } else if (request.path == "/healthz") {
        m_http.answer(request.id, {200, "application/json", R"({"healthy":true})", {}});
    } else {
        m_http.answer(request.id, problemResponse(STATUS_NOT_FOUND, "Not Found", request.path));
    }
}

void upstream_standin::abandonRequest(std::uint64_t, connection_end)
{
    m_running -= m_running > 0 ? 1 : 0;
}

void upstream_standin::run(const http_request &request)
{
    const std::string job = request.header("Azuremoor-Job");
    const std::string task = request.header("Azuremoor-Task");
    m_starts.push_back({job, task, request.header("Idempotency-Key"), unixMilliseconds(m_time.unixNow())});
    ++m_running;
    m_mostRunning = std::max(m_mostRunning, m_running);
    const json payload = json::parse(request.body, nullptr, false);
    const bool controls = payload.is_object();
    if (controls && payload.value("hang", false)) {
        return;
    }
    const milliseconds runTime(controls ? payload.value("run_ms", m_settings.runMs) : m_settings.runMs);
    const bool failing = controls && payload.value("fail", false);
    m_loop.after(runTime, [this, id = request.id, answer = task + ":" + request.body, failing] {
        m_running -= m_running > 0 ? 1 : 0;
        m_http.answer(id, {failing ? STATUS_FAILED : 200, "text/plain", failing ? "failed as asked" : answer, {}});
    });
}

void upstream_standin::announce()
{
    if (m_leaving) {
        return;
    }
    const json body = {{"name", m_settings.name},
                       {"url", "http://" + address().text() + "/run"},
                       {"labels", m_settings.labels},
                       {"slots", m_settings.slots},
                       {"connections", m_settings.connections},
                       {"cores", m_settings.cores},
                       {"memory_mb", m_settings.memoryMb},
                       {"accelerators", m_settings.accelerators}};
    const http_url agent = http_url::parse(m_settings.agent).value();
    m_client.send({"POST", agent.address, "/v1/announce", {{"Content-Type", "application/json"}}, body.dump(), seconds(1)},
                  [](const auto &) {});
}

std::string upstream_standin::startsJson() const
{
    json starts = json::array();
    for (const seen_start &start : m_starts) {
        starts.push_back({{"job", start.job}, {"task", start.task}, {"key", start.key}, {"at_ms", start.atMilliseconds}});
    }
    return starts.dump();
}

}
