#include "nodes/entry_node.h"

#include <algorithm>

#include "base/submission_id.h"

namespace azuremoor
{

entry_node::entry_node(const time_source &time, entry_node_settings settings, entry_node_interfaces interfaces, std::uint64_t seed)
    : m_time(time)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_peers(interfaces.peers)
    , m_journal(time)
    , m_freshness(time, m_settings.recovery.isolationBound)
    , m_stream(m_freshness, m_settings.self.name)
    , m_heartbeats(time, m_settings.self.name, member_role::entry, m_settings.heartbeat, m_stream, m_freshness, interfaces.peers)
    , m_publisher(time, m_stream.state(), interfaces.log)
    , m_log(m_stream, m_heartbeats, m_publisher)
    , m_ownership(time, m_settings.self.name, m_settings.self.incarnation, m_stream, m_freshness, m_heartbeats, m_publisher, m_random)
    , m_shardStates(time, m_settings.recovery, m_stream, m_heartbeats, m_ownership)
    , m_jobs({time, m_stream, m_freshness, m_heartbeats, m_ownership, m_shardStates, interfaces.peers, m_journal, interfaces.observer},
             m_settings.jobs)
    , m_gateway(time, m_stream, m_freshness, interfaces.peers, interfaces.callers)
    , m_nextSnapshot(time.steadyNow() + m_settings.snapshotInterval)
{
}

void entry_node::connectPeer(const hello &peer)
{
    if (peer.role == member_role::agent) {
        m_agentLossDeadlines.erase(peer.name);
        m_jobs.connectAgent(peer);
        return;
    }
    m_heartbeats.connectEntry(peer.name);
    m_gateway.connectEntry(peer.name);
}

void entry_node::disconnectPeer(const std::string &peer)
{
    if (m_jobs.placer().directory().workers().contains(peer)) {
        m_jobs.disconnectAgent(peer);
    }
    m_heartbeats.disconnectEntry(peer);
}

void entry_node::handle(const std::string &peer, const message &value)
{
    m_heartbeats.handle(peer, value);
    m_jobs.handle(peer, value);
    m_gateway.handle(value);
    if (const auto *handover = std::get_if<ledger_handover>(&value)) {
        relayLedger(peer, *handover);
    }
    if (const auto *received = std::get_if<ledger_received>(&value)) {
        m_peers.send(received->origin, *received);
    }
}

bool entry_node::applyLog(const log_page &page)
{
    return m_log.apply(page);
}

void entry_node::noteAppend(const std::string &recordId, bool acknowledged)
{
    m_publisher.handleAppendResult(recordId, acknowledged);
}

void entry_node::tick()
{
    m_heartbeats.tick();
    m_publisher.tick();
    tickRegistration();
    m_ownership.tick();
    m_jobs.tick();
    m_gateway.tick();
    tickSnapshot();
    tickLostAgents();
}

void entry_node::flush()
{
    m_jobs.flush();
}

void entry_node::beginLeaving()
{
    m_leaving = true;
    m_heartbeats.beginLeaving();
    m_journal.note("leaving", {});
}

bool entry_node::hasLeft() const
{
    if (!m_leaving || m_gateway.pending() > 0 || !m_jobs.canStop()) {
        return false;
    }
    const bool departureRecorded = !m_departureRecordId.empty() && !m_publisher.isPending(m_departureRecordId);
    return departureRecorded || !m_heartbeats.hasRecentLogRead();
}

hello entry_node::helloMessage() const
{
    return {m_settings.self.name, member_role::entry, m_settings.self.incarnation, m_settings.self.dataCentre, m_settings.self.rack};
}

std::string entry_node::publishConfiguration(std::uint64_t baseVersion, const std::string &author, const std::string &document)
{
    return publish(configuration_change{baseVersion, author, document, m_time.unixNow()});
}

std::string entry_node::publishMemberLoss(const std::string &name)
{
    const fleet_member *member = m_stream.state().member(name);
    if (member == nullptr) {
        return {};
    }
    return publish(member_lost{name, member->incarnation, m_time.unixNow()});
}

entry_gateway &entry_node::gateway()
{
    return m_gateway;
}

job_owner &entry_node::jobs()
{
    return m_jobs;
}

const control_stream_replica &entry_node::stream() const
{
    return m_stream;
}

const freshness_tracker &entry_node::freshness() const
{
    return m_freshness;
}

const heartbeat_monitor &entry_node::heartbeats() const
{
    return m_heartbeats;
}

const shard_state_tracker &entry_node::shardStates() const
{
    return m_shardStates;
}

const record_publisher &entry_node::publisher() const
{
    return m_publisher;
}

const log_follower &entry_node::log() const
{
    return m_log;
}

decision_journal &entry_node::journal()
{
    return m_journal;
}

const entry_node_settings &entry_node::settings() const
{
    return m_settings;
}

bool entry_node::isLeaving() const
{
    return m_leaving;
}

std::string entry_node::publish(decltype(fleet_record::body) body)
{
    const fleet_record record{makeSubmissionId(m_time.unixNow(), m_random), std::move(body)};
    m_publisher.publish(record);
    return record.id;
}

void entry_node::relayLedger(const std::string &peer, const ledger_handover &value)
{
    for (const auto &[name, worker] : m_jobs.placer().directory().workers()) {
        if (name != peer && worker.connected && !worker.status.leaving) {
            m_peers.send(name, value);
            return;
        }
    }
    m_peers.send(peer, ledger_received{value.origin, value.sequence, false});
}

void entry_node::tickRegistration()
{
    if (m_publisher.isPending(m_registrationRecordId) || m_publisher.isPending(m_departureRecordId) || !m_heartbeats.hasRecentLogRead()) {
        return;
    }
    const fleet_member *self = m_stream.state().member(m_settings.self.name);
    const bool registered = self != nullptr && *self == m_settings.self;
    if (!m_leaving && !registered) {
        m_registrationRecordId = publish(member_joined{m_settings.self, m_time.unixNow()});
    }
    if (m_leaving && registered && m_gateway.pending() == 0 && m_jobs.canStop()) {
        m_departureRecordId = publish(member_left{m_settings.self.name, m_settings.self.incarnation});
    }
}

void entry_node::tickSnapshot()
{
    if (m_time.steadyNow() < m_nextSnapshot) {
        return;
    }
    m_nextSnapshot = m_time.steadyNow() + m_settings.snapshotInterval;
    if (isFirstLiveEntry() && m_heartbeats.hasRecentLogRead() && !m_publisher.isPending(m_snapshotRecordId)) {
        m_snapshotRecordId = publish(fleet_snapshot{m_stream.state().offset(), m_stream.state().encode()});
    }
}

void entry_node::tickLostAgents()
{
    const auto &workers = m_jobs.placer().directory().workers();
    for (const std::string &agent : m_stream.state().memberNames(member_role::agent)) {
        const auto worker = workers.find(agent);
        if (worker != workers.end() && worker->second.connected) {
            m_agentLossDeadlines.erase(agent);
            continue;
        }
        const auto [deadline, inserted] = m_agentLossDeadlines.try_emplace(agent, m_time.steadyNow() + m_settings.agentLossTimeout);
        if (m_time.steadyNow() >= deadline->second && isFirstLiveEntry() && m_heartbeats.hasRecentLogRead()) {
            deadline->second = m_time.steadyNow() + m_settings.agentLossTimeout;
            m_journal.note("agent_given_up", {{"agent", agent}});
            publishMemberLoss(agent);
        }
    }
}

bool entry_node::isFirstLiveEntry() const
{
    const std::vector<std::string> live = m_heartbeats.liveEntries();
    return !live.empty() && live.front() == m_settings.self.name;
}

}
