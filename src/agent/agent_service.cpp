#include "agent/agent_service.h"

#include "agent/announcement_json.h"
#include "daemon/incarnation.h"
#include "daemon/state_json.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

constexpr milliseconds TICK_INTERVAL{20};
constexpr std::size_t LOG_CONNECTIONS = 2;
constexpr std::size_t MAX_REPORTED_ERROR = 512;

task_outcome outcomeOf(const result_or_failure<incoming_response> &response)
{
    if (!response) {
        return {response.error().outcome, {}, "the upstream did not answer: " + response.error().reason};
    }
    if (response->status < 200 || response->status > 299) {
        return {verdict::ran,
                {},
                "the upstream answered " + std::to_string(response->status) + ": " + response->body.substr(0, MAX_REPORTED_ERROR)};
    }
    if (response->body.size() > MAX_PAYLOAD_BYTES) {
        return {verdict::ran, {}, "the answer of the upstream is larger than " + std::to_string(MAX_PAYLOAD_BYTES) + " bytes"};
    }
    return {verdict::ran, response->body, {}};
}

}

agent_service::agent_service(const agent_settings &settings)
    : m_settings(settings)
    , m_frame(settings.process, http_limits{})
    , m_mesh(m_frame.loop(),
             {settings.process.name, member_role::agent, newIncarnation(), settings.process.dataCentre, settings.process.rack},
             socket_address{},
             *this)
    , m_logClient(m_frame.loop(), LOG_CONNECTIONS)
    , m_upstreamClient(m_frame.loop(), 1)
    , m_platform(m_frame.time(),
                 m_logClient,
                 http_url::parse(settings.process.log).value(),
                 settings.process.controlStream(),
                 [this](const std::string &recordId, bool acknowledged) { m_node.noteAppend(recordId, acknowledged); })
    , m_node(m_frame.time(), settings.nodeSettings(m_mesh.self().incarnation), *this, m_platform, m_mesh.self().incarnation)
    , m_runSeconds(
          m_frame.metrics().addDurations("azuremoor_upstream_run_seconds", "Time from the start of a task to the upstream's answer"))
{
}

int agent_service::run()
{
    m_node.journal().setListener(&m_frame);
    m_frame.loop().every(TICK_INTERVAL, [this] { tick(); });
    m_frame.loop().every(milliseconds(m_settings.process.logPollMs), [this] { readLogIfAlone(); });
    m_frame.log().write(log_level::info, "listening", {{"incarnation", m_mesh.self().incarnation}});
    readLogIfAlone();
    return m_frame.run(*this);
}

nlohmann::json agent_service::describeState()
{
    const worker_agent &worker = m_node.worker();
    const worker_counters &counters = worker.counters();
    nlohmann::json state = {{"name", m_settings.process.name},
                            {"role", "agent"},
                            {"incarnation", m_mesh.self().incarnation},
                            {"data_centre", m_settings.process.dataCentre},
                            {"rack", m_settings.process.rack},
                            {"registered", worker.isRegistered()},
                            {"accepts_work", worker.acceptsWork()}};
    if (worker.upstream()) {
        state["upstream"] = {{"name", worker.upstream()->name}, {"url", worker.upstream()->url}, {"slots", worker.capacity().slots()}};
        state["upstream"]["used_slots"] = worker.capacity().usedSlots();
    }
    state["ledger"] = {{"entries", worker.ledger().size()}, {"answer_bytes", worker.ledger().answerBytes()}};
    state["tasks"] = {{"started", counters.started},
                      {"ended", counters.ended},
                      {"refused_stale", counters.refusedStaleEpoch},
                      {"refused_isolated", counters.refusedIsolated},
                      {"refused_revoked", counters.refusedRevoked},
                      {"refused_no_capacity", counters.refusedNoCapacity},
                      {"refused_no_upstream", counters.refusedNoUpstream},
                      {"refused_late", counters.refusedPastDeadline},
                      {"duplicate_starts", counters.duplicateStarts},
                      {"other_incarnation", counters.wrongIncarnation},
                      {"credits_granted", counters.creditsGranted},
                      {"credits_returned", counters.creditsReturned}};
    state["control"] = controlJson(m_node.stream(), m_node.freshness(), m_node.publisher());
    state["mesh"] = meshJson(m_mesh);
    state["decisions"] = journalJson(m_node.journal());
    return state;
}

std::vector<metric_sample> agent_service::samples()
{
    const worker_agent &worker = m_node.worker();
    const worker_counters &counters = worker.counters();
    std::vector<metric_sample> samples = {
        counterSample("azuremoor_tasks_started_total", "Tasks that were started", static_cast<double>(counters.started)),
        counterSample("azuremoor_tasks_finished_total", "Tasks whose request to the upstream ended", static_cast<double>(counters.ended)),
        gaugeSample("azuremoor_slots", "Slots of the upstream", worker.capacity().slots()),
        gaugeSample("azuremoor_used_slots", "Slots that are in use or granted", worker.capacity().usedSlots()),
        gaugeSample("azuremoor_ledger_entries", "Entries of the ledger", static_cast<double>(worker.ledger().size())),
        gaugeSample("azuremoor_ledger_answer_bytes", "Bytes of answers in the ledger", static_cast<double>(worker.ledger().answerBytes())),
    };
    const std::map<std::string, std::uint64_t> refusals = {{"stale", counters.refusedStaleEpoch},
                                                           {"isolated", counters.refusedIsolated},
                                                           {"revoked", counters.refusedRevoked},
                                                           {"no_capacity", counters.refusedNoCapacity},
                                                           {"no_upstream", counters.refusedNoUpstream},
                                                           {"late", counters.refusedPastDeadline},
                                                           {"duplicate", counters.duplicateStarts},
                                                           {"other_incarnation", counters.wrongIncarnation}};
    for (const auto &[reason, count] : refusals) {
        samples.push_back(
            counterSample("azuremoor_starts_refused_total", "Starts that were refused", static_cast<double>(count), {{"reason", reason}}));
    }
    addMeshSamples(samples, m_mesh);
    addControlSamples(samples, m_node.stream(), m_node.freshness(), m_node.publisher());
    return samples;
}

std::string agent_service::unhealthyReason()
{
    if (!m_node.freshness().isFresh()) {
        return "the agent hears neither the log nor enough entries";
    }
    return m_node.worker().isRegistered() ? "" : "the agent is not yet registered";
}

bool agent_service::handleOwnRequest(const http_request &request)
{
    if (request.path != "/v1/announce") {
        return false;
    }
    if (request.method == "POST") {
        announce(request);
    } else if (request.method == "DELETE") {
        m_node.worker().handleDeparture();
        m_frame.log().write(log_level::info, "upstream_leaving", nlohmann::json::object());
        m_frame.http().answer(request.id, {200, "application/json", R"({"leaving":true})", {}});
    } else {
        http_response response = problemResponse(STATUS_METHOD_NOT_ALLOWED, "Method Not Allowed", "/v1/announce answers POST and DELETE");
        response.headers["Allow"] = "POST, DELETE";
        m_frame.http().answer(request.id, response);
    }
    return true;
}

void agent_service::abandonOwnRequest(std::uint64_t)
{
}

void agent_service::beginStop()
{
    m_node.beginLeaving();
}

bool agent_service::hasStopped()
{
    return m_node.hasLeft();
}

nlohmann::json agent_service::describeUnfinished()
{
    return {{"used_slots", m_node.worker().capacity().usedSlots()}, {"ledger_entries", m_node.worker().ledger().size()}};
}

void agent_service::connectPeer(const hello &peer)
{
    m_frame.log().write(log_level::info, "peer_connected", {{"peer", peer.name}, {"incarnation", peer.incarnation}});
    m_node.connectEntry(peer);
}

void agent_service::disconnectPeer(const std::string &peer)
{
    m_frame.log().write(log_level::warning, "peer_disconnected", {{"peer", peer}});
    m_node.disconnectEntry(peer);
}

void agent_service::handleMessage(const std::string &peer, const message &value)
{
    m_node.handle(peer, value);
}

void agent_service::flush()
{
}

void agent_service::send(const std::string &peer, message value)
{
    m_mesh.send(peer, std::move(value));
}

void agent_service::callUpstream(const upstream_call &call)
{
    const http_url url = http_url::parse(call.url).value();
    outgoing_request request;
    request.method = "POST";
    request.address = url.address;
    request.path = url.path;
    request.headers = {{"Idempotency-Key", call.jobId + "/" + call.taskName},
                       {"Azuremoor-Job", call.jobId},
                       {"Azuremoor-Task", call.taskName},
                       {"Azuremoor-Deadline", std::to_string(unixMilliseconds(call.deadline))}};
    request.body = call.payload;
    const microseconds left = call.deadline - m_frame.time().unixNow();
    request.timeout = std::max(std::chrono::ceil<seconds>(left), seconds(0)) + seconds(m_settings.lateAnswerS + 1);
    const steady_time began = m_frame.time().steadyNow();
    m_upstreamClient.send(std::move(request), [this, callId = call.callId, began](const result_or_failure<incoming_response> &response) {
        m_runSeconds.Observe(std::chrono::duration<double>(m_frame.time().steadyNow() - began).count());
        m_node.worker().finishCall(callId, outcomeOf(response));
    });
}

void agent_service::announce(const http_request &request)
{
    const auto announcement = parseAnnouncement(request.body);
    if (!announcement) {
        m_frame.http().answer(request.id, problemResponse(STATUS_BAD_REQUEST, "Bad Request", announcement.error()));
        return;
    }
    const auto &present = m_node.worker().upstream();
    if (present && present->name != announcement->name && m_node.worker().acceptsWork()) {
        const std::string detail = "the upstream " + present->name + " is announced here; one agent serves one upstream";
        m_frame.http().answer(request.id, problemResponse(STATUS_CONFLICT, "Conflict", detail));
        return;
    }
    if (!present || *present != *announcement) {
        m_frame.log().write(log_level::info, "upstream_announced", {{"upstream", announcement->name}, {"slots", announcement->slots}});
    }
    m_upstreamClient.setMaxConnections(announcement->connections);
    m_node.worker().handleAnnouncement(*announcement);
    m_frame.http().answer(request.id, {200, "application/json", R"({"announced":true})", {}});
}

void agent_service::tick()
{
    m_node.tick();
    updateTargets();
}

void agent_service::readLogIfAlone()
{
    if (!m_mesh.connected().empty() && m_node.freshness().isFresh()) {
        return;
    }
    m_platform.read(m_node.nextLogOffset(), [this](const log_page &page) {
        if (m_node.applyLog(page)) {
            readLogIfAlone();
        }
    });
}

void agent_service::updateTargets()
{
    if (m_node.stream().state().offset() == m_targetsOffset) {
        return;
    }
    m_targetsOffset = m_node.stream().state().offset();
    std::map<std::string, socket_address> targets;
    for (const fleet_member &entry : m_node.entries()) {
        const std::optional<socket_address> address = socket_address::parse(entry.address);
        if (address) {
            targets[entry.name] = *address;
        }
    }
    if (targets.empty()) {
        for (const std::string &seed : m_settings.process.seeds) {
            targets["seed:" + seed] = socket_address::parse(seed).value();
        }
    }
    m_mesh.setTargets(targets);
}

}
