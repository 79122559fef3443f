#include "nodes/agent_node.h"

#include <algorithm>

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Maximum number of ledger entries in a ledger_handover message.
constexpr std::size_t MAX_HANDOVER_ENTRIES = 512;

/// Time after which an unconfirmed handover of the ledger is abandoned. It also limits the wait for the departure record.
constexpr seconds DEPARTURE_STAGE_TIMEOUT{2};

}

agent_node::agent_node(const time_source &time, agent_node_settings settings, worker_outbox &outbox, log_outbox &log, std::uint64_t seed)
    : m_time(time)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_outbox(outbox)
    , m_journal(time)
    , m_freshness(time, m_settings.isolationBound)
    , m_stream(m_freshness, std::string())
    , m_heartbeats(time, m_settings.self.name, member_role::agent, m_settings.heartbeat, m_stream, m_freshness, outbox)
    , m_publisher(time, m_stream.state(), log)
    , m_log(m_stream, m_heartbeats, m_publisher)
    , m_worker(time, m_settings.worker, m_stream.state(), m_freshness, outbox)
{
}

void agent_node::connectEntry(const hello &entry)
{
    m_connected.push_back(entry.name);
    m_heartbeats.connectEntry(entry.name);
    m_worker.connectEntry(entry.name);
}

void agent_node::disconnectEntry(const std::string &entry)
{
    std::erase(m_connected, entry);
    m_heartbeats.disconnectEntry(entry);
    m_worker.disconnectEntry(entry);
}

void agent_node::handle(const std::string &entry, const message &value)
{
    m_heartbeats.handle(entry, value);
    m_worker.handle(entry, value);
    if (const auto *received = std::get_if<ledger_received>(&value)) {
        handleLedgerReceived(*received);
    }
}

bool agent_node::applyLog(const log_page &page)
{
    return m_log.apply(page);
}

std::uint64_t agent_node::nextLogOffset() const
{
    return m_log.nextOffset();
}

void agent_node::noteAppend(const std::string &recordId, bool acknowledged)
{
    m_publisher.handleAppendResult(recordId, acknowledged);
}

void agent_node::tick()
{
    m_heartbeats.tick();
    m_publisher.handleLogRead(m_freshness.latestLogConfirmation());
    m_publisher.tick();
    tickRegistration();
    m_worker.tick();
    tickDeparture();
}

void agent_node::beginLeaving()
{
    if (m_departureStage != departure_stage::none) {
        return;
    }
    m_departureStage = departure_stage::draining;
    m_journal.note("leaving", {});
    m_worker.beginStop();
}

bool agent_node::hasLeft() const
{
    return m_departureStage == departure_stage::done;
}

hello agent_node::helloMessage() const
{
    return {m_settings.self.name, member_role::agent, m_settings.self.incarnation, m_settings.self.dataCentre, m_settings.self.rack};
}

std::vector<fleet_member> agent_node::entries() const
{
    std::vector<fleet_member> entries;
    for (const auto &[name, member] : m_stream.state().members()) {
        if (member.role == member_role::entry) {
            entries.push_back(member);
        }
    }
    return entries;
}

worker_agent &agent_node::worker()
{
    return m_worker;
}

const worker_agent &agent_node::worker() const
{
    return m_worker;
}

control_stream_replica &agent_node::stream()
{
    return m_stream;
}

const control_stream_replica &agent_node::stream() const
{
    return m_stream;
}

const freshness_tracker &agent_node::freshness() const
{
    return m_freshness;
}

const record_publisher &agent_node::publisher() const
{
    return m_publisher;
}

decision_journal &agent_node::journal()
{
    return m_journal;
}

const agent_node_settings &agent_node::settings() const
{
    return m_settings;
}

std::string agent_node::publish(decltype(fleet_record::body) body)
{
    const fleet_record record{makeSubmissionId(m_time.unixNow(), m_random), std::move(body)};
    m_publisher.publish(record);
    return record.id;
}

void agent_node::tickRegistration()
{
    if (m_departureStage != departure_stage::none || m_publisher.isPending(m_registrationRecordId) || !m_freshness.isFresh()) {
        return;
    }
    if (m_connected.empty()) {
        // An agent that no entry can reach is useless to the fleet and would soon be removed again as lost.
        return;
    }
    const fleet_member *self = m_stream.state().member(m_settings.self.name);
    if (self == nullptr || *self != m_settings.self) {
        m_registrationRecordId = publish(member_joined{m_settings.self, m_time.unixNow()});
    }
}

void agent_node::tickDeparture()
{
    if (m_departureStage == departure_stage::draining && m_worker.isIdle()) {
        sendLedger();
        return;
    }
    if (m_departureStage == departure_stage::handing_over_ledger) {
        const bool overdue = m_time.steadyNow() >= m_stageDeadline;
        if (m_unconfirmedParts > 0 && !m_ledgerRefused && !overdue) {
            return;
        }
        const bool handed = m_unconfirmedParts == 0 && !m_ledgerRefused;
        m_journal.note(handed ? "ledger_handed_over" : "ledger_lost", {{"count", std::to_string(m_worker.ledger().size())}});
        m_departureStage = departure_stage::publishing_departure;
        m_stageDeadline = m_time.steadyNow() + DEPARTURE_STAGE_TIMEOUT;
        if (handed) {
            m_departureRecordId = publish(member_left{m_settings.self.name, m_settings.self.incarnation});
        } else {
            m_departureRecordId = publish(member_lost{m_settings.self.name, m_settings.self.incarnation, m_time.unixNow()});
        }
        return;
    }
    if (m_departureStage == departure_stage::publishing_departure) {
        // Without a departure record, the fleet treats the agent as lost and assumes that its tasks may have run.
        if (!m_publisher.isPending(m_departureRecordId) || m_time.steadyNow() >= m_stageDeadline) {
            m_departureStage = departure_stage::done;
        }
    }
}

void agent_node::sendLedger()
{
    m_departureStage = departure_stage::handing_over_ledger;
    m_stageDeadline = m_time.steadyNow() + DEPARTURE_STAGE_TIMEOUT;
    std::vector<shard_epoch> shards;
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        shards.push_back({shard, 0});
    }
    const std::vector<ledger_entry> entries = m_worker.ledger().entriesForShards(shards);
    if (entries.empty()) {
        return;
    }
    if (m_connected.empty()) {
        m_ledgerRefused = true;
        return;
    }
    ledger_handover part{m_settings.self.name, 0, false, {}};
    for (const ledger_entry &entry : entries) {
        part.entries.push_back(entry);
        if (part.entries.size() == MAX_HANDOVER_ENTRIES) {
            ++m_unconfirmedParts;
            m_outbox.send(m_connected.front(), part);
            part.entries.clear();
            ++part.sequence;
        }
    }
    part.last = true;
    ++m_unconfirmedParts;
    m_outbox.send(m_connected.front(), std::move(part));
}

void agent_node::handleLedgerReceived(const ledger_received &value)
{
    if (value.origin != m_settings.self.name || m_departureStage != departure_stage::handing_over_ledger) {
        return;
    }
    m_ledgerRefused = m_ledgerRefused || !value.accepted;
    m_unconfirmedParts -= m_unconfirmedParts > 0 ? 1 : 0;
}

}
