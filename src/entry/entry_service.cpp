#include "entry/entry_service.h"

#include "daemon/incarnation.h"
#include "daemon/state_json.h"
#include "entry/entry_state.h"
#include "fleet/member_json.h"

namespace azuremoor
{

namespace
{

constexpr milliseconds TICK_INTERVAL{20};
constexpr std::size_t LOG_CONNECTIONS = 4;

hello helloFor(const process_settings &settings, std::uint64_t incarnation)
{
    return {settings.name, member_role::entry, incarnation, settings.dataCentre, settings.rack};
}

std::string advertisedAddress(const process_settings &settings, const peer_mesh &mesh)
{
    return settings.advertise.empty() ? mesh.address().text() : settings.advertise;
}

}

entry_service::entry_service(const entry_settings &settings)
    : m_settings(settings)
    , m_frame(settings.process, http_limits{static_cast<std::size_t>(settings.maxBodyBytes), 16 * 1024, 30})
    , m_mesh(m_frame.loop(), helloFor(settings.process, newIncarnation()), socket_address::parse(settings.process.listen).value(), *this)
    , m_client(m_frame.loop(), LOG_CONNECTIONS)
    , m_platform(m_frame.time(),
                 m_client,
                 http_url::parse(settings.process.log).value(),
                 settings.process.controlStream(),
                 [this](const std::string &recordId, bool acknowledged) { m_node.noteAppend(recordId, acknowledged); })
    , m_jobMetrics(m_frame.metrics())
    , m_node(m_frame.time(),
             settings.nodeSettings(m_mesh.self().incarnation, advertisedAddress(settings.process, m_mesh)),
             {m_mesh, m_platform, *this, m_jobMetrics},
             m_mesh.self().incarnation)
    , m_jobApi(m_node, m_frame.http())
    , m_operatorApi(m_frame.time(), settings.process.name, m_node, m_frame.http())
{
}

int entry_service::run()
{
    m_node.journal().setListener(&m_frame);
    m_frame.loop().every(TICK_INTERVAL, [this] { tick(); });
    m_frame.loop().every(milliseconds(m_settings.process.logPollMs), [this] { readLog(); });
    m_frame.log().write(log_level::info, "listening", {{"messages", m_mesh.address().text()}, {"incarnation", m_mesh.self().incarnation}});
    readLog();
    return m_frame.run(*this);
}

nlohmann::json entry_service::describeState()
{
    nlohmann::json state = describeEntry(m_node);
    state["mesh"] = meshJson(m_mesh);
    state["log"]
        = {{"reads", m_platform.reads()}, {"failed_reads", m_platform.failedReads()}, {"appends", m_node.publisher().appendCount()}};
    state["waiting_callers"] = m_jobApi.waitingCallers();
    return state;
}

std::vector<metric_sample> entry_service::samples()
{
    std::vector<metric_sample> samples = entrySamples(m_node);
    m_jobMetrics.addSamples(samples);
    addMeshSamples(samples, m_mesh);
    return samples;
}

std::string entry_service::unhealthyReason()
{
    if (!m_node.freshness().isFresh()) {
        return "the entry hears neither the log nor enough of the other entries";
    }
    const fleet_member *self = m_node.stream().state().member(m_settings.process.name);
    if (self == nullptr || self->incarnation != m_mesh.self().incarnation) {
        return "the entry is not yet registered";
    }
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (m_node.stream().state().ownership(shard).epoch == 0) {
            return "not every shard has an owner yet";
        }
    }
    return {};
}

bool entry_service::handleOwnRequest(const http_request &request)
{
    return m_jobApi.handle(request) || m_operatorApi.handle(request);
}

void entry_service::abandonOwnRequest(std::uint64_t id)
{
    m_operatorApi.abandon(id);
    m_jobApi.abandon(id);
}

void entry_service::beginStop()
{
    m_frame.http().closeListener();
    m_node.beginLeaving();
}

bool entry_service::hasStopped()
{
    return m_node.hasLeft() && m_frame.http().pending() == 0;
}

nlohmann::json entry_service::describeUnfinished()
{
    return {{"open_jobs", m_node.jobs().openJobCount()},
            {"waiting_callers", m_jobApi.waitingCallers()},
            {"owned_shards", m_node.shardStates().ownedShards().size()}};
}

void entry_service::connectPeer(const hello &peer)
{
    m_frame.log().write(
        log_level::info, "peer_connected", {{"peer", peer.name}, {"role", roleName(peer.role)}, {"incarnation", peer.incarnation}});
    m_node.connectPeer(peer);
}

void entry_service::disconnectPeer(const std::string &peer)
{
    m_frame.log().write(log_level::warning, "peer_disconnected", {{"peer", peer}});
    m_node.disconnectPeer(peer);
}

void entry_service::handleMessage(const std::string &peer, const message &value)
{
    m_node.handle(peer, value);
}

void entry_service::flush()
{
    m_node.flush();
}

void entry_service::answer(std::uint64_t requestId, const job_reply &reply)
{
    m_jobApi.answer(requestId, reply);
}

void entry_service::tick()
{
    m_node.tick();
    updateTargets();
    m_operatorApi.answerChanges();
}

void entry_service::readLog()
{
    m_platform.read(m_node.log().nextOffset(), [this](const log_page &page) {
        if (m_node.applyLog(page)) {
            readLog();
        }
    });
}

void entry_service::updateTargets()
{
    const fleet_state &state = m_node.stream().state();
    if (state.offset() == m_targetsOffset) {
        return;
    }
    m_targetsOffset = state.offset();
    std::map<std::string, socket_address> targets;
    for (const std::string &name : state.memberNames(member_role::entry)) {
        const std::optional<socket_address> address = socket_address::parse(state.member(name)->address);
        // Of two entries, the one whose name comes first makes the connection.
        if (m_settings.process.name < name && address) {
            targets[name] = *address;
        }
    }
    if (state.offset() == 0) {
        for (const std::string &seed : m_settings.process.seeds) {
            targets["seed:" + seed] = socket_address::parse(seed).value();
        }
    }
    m_mesh.setTargets(targets);
}

}
