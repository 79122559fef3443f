#include "dispatch/entry_peer_handler.h"

#include <algorithm>
#include <utility>

#include "dispatch/entry_subset.h"

namespace azuremoor
{

namespace
{

/// Most heartbeats to entries in one interval, unless more are needed to reach each within MAX_ENTRY_HEARTBEAT_ROUNDS.
constexpr std::size_t ENTRY_HEARTBEATS = 10;

/// Heartbeat intervals after which the next peer gets all addresses, in case it has forgotten one that it could not reach for a while.
constexpr int ADDRESSES_ROUNDS = 5;

/// Returns the name after the given one, or the first at the end. The names must not be empty.
std::string nextInTurn(const std::set<std::string> &names, const std::string &last)
{
    const auto next = names.upper_bound(last);
    return next == names.end() ? *names.begin() : *next;
}

}

entry_peer_handler::entry_peer_handler(const time_source &time,
                                       entry_directory &directory,
                                       routing_replica &routing,
                                       worker_pool &pool,
                                       job_dispatcher &dispatcher,
                                       entry_load_table &loads,
                                       peer_outbox &outbox,
                                       decision_journal &journal,
                                       evacuation_replica *evacuations)
    : m_time(time)
    , m_directory(directory)
    , m_routing(routing)
    , m_pool(pool)
    , m_dispatcher(dispatcher)
    , m_loads(loads)
    , m_outbox(outbox)
    , m_journal(journal)
    , m_evacuations(evacuations)
    , m_readiness(time)
{
}

void entry_peer_handler::setHandover(entry_handover &handover)
{
    m_handover = &handover;
}

void entry_peer_handler::setCrashGuard(crash_guard &guard)
{
    m_crashGuard = &guard;
}

void entry_peer_handler::connectPeer(const hello &peer)
{
    m_peers.insert(peer.name);
    m_outbox.send(peer.name, known_entries{m_directory.reachableAddresses()});
    if (peer.role == member_role::agent) {
        m_pool.connectAgent(peer);
        if (m_evacuations != nullptr) {
            m_evacuations->connectAgent(peer.name);
        }
        return;
    }
    m_entries.insert(peer.name);
    m_loads.connectEntry(peer.name);
    m_readiness.connectEntry(peer.name, peer.dataCentre);
    if (m_handover != nullptr) {
        m_handover->connectEntry(peer);
    }
    m_directory.setConnected(peer.name, true);
    updateEntryCount();
    m_journal.note("entry_connected", {{"entry", peer.name}, {"entries", std::to_string(m_entries.size() + 1)}});
    m_newAddresses.push_back(peer.name);
}

void entry_peer_handler::disconnectPeer(const std::string &peer)
{
    m_peers.erase(peer);
    if (m_evacuations != nullptr) {
        m_evacuations->disconnectPeer(peer);
    }
    if (m_entries.erase(peer) == 0) {
        m_pool.disconnectAgent(peer);
        return;
    }
    m_directory.setConnected(peer, false);
    m_routing.disconnectEntry(peer);
    m_loads.disconnectEntry(peer);
    m_readiness.disconnectEntry(peer);
    if (m_handover != nullptr) {
        m_handover->disconnectEntry(peer);
    }
    updateEntryCount();
    m_journal.note("entry_disconnected", {{"entry", peer}, {"entries", std::to_string(m_entries.size() + 1)}});
}

void entry_peer_handler::handleMessage(const std::string &peer, const message &value)
{
    if (const auto *heartbeat = std::get_if<ping>(&value)) {
        handleHeartbeat(peer, *heartbeat);
    } else if (const auto *status = std::get_if<worker_status>(&value)) {
        m_pool.updateStatus(peer, *status);
    } else if (const auto *capacityUpdate = std::get_if<room_update>(&value)) {
        m_pool.updateFreeCapacity(peer, *capacityUpdate);
    } else if (const auto *results = std::get_if<run_results>(&value)) {
        m_pool.receiveResults(peer, *results);
    } else if (const auto *known = std::get_if<known_entries>(&value)) {
        m_directory.addAddresses(known->addresses);
    } else if (const auto *request = std::get_if<routing_request>(&value)) {
        m_routing.handleRequest(peer, *request);
    } else if (const auto *piece = std::get_if<routing_piece>(&value)) {
        m_routing.handlePiece(peer, *piece);
    } else if (const auto *entryHeartbeat = std::get_if<entry_heartbeat>(&value)) {
        m_routing.recordPeerVersion(peer, entryHeartbeat->routingVersion);
        m_loads.record(peer, entryHeartbeat->load);
        m_readiness.record(peer, entryHeartbeat->isReady);
        if (m_handover != nullptr) {
            m_handover->recordHeartbeat(peer, *entryHeartbeat);
        }
    } else if (const auto *crash = std::get_if<crash_report>(&value); crash != nullptr && m_crashGuard != nullptr) {
        m_crashGuard->recordCrash(peer, *crash);
    } else if (m_handover != nullptr) {
        m_handover->handleMessage(peer, value);
    }
    if (m_evacuations != nullptr && m_entries.contains(peer)) {
        handleEvacuationMessage(peer, value);
    }
}

void entry_peer_handler::sendHeartbeats()
{
    sendEntryHeartbeats();
    if (m_handover != nullptr) {
        m_handover->sendLeases();
    }
    sendNewAddresses();
    sendAddressesInTurn();
}

void entry_peer_handler::updateEntryCount()
{
    // A worker takes orders of a part of the entries only.
    m_dispatcher.setEntryCount(std::min(m_entries.size() + 1, ENTRIES_PER_AGENT));
}

void entry_peer_handler::setReady(bool isReady)
{
    m_isReady = isReady;
}

const peer_readiness &entry_peer_handler::readiness() const
{
    return m_readiness;
}

const std::set<std::string> &entry_peer_handler::entries() const
{
    return m_entries;
}

void entry_peer_handler::handleHeartbeat(const std::string &peer, const ping &heartbeat)
{
    m_pool.recordHeartbeat(peer, heartbeat);
    // The entry reads no control stream, suspects no entries and is not leaving.
    m_outbox.send(peer, pong{heartbeat.sentMicroseconds, 0, -1, {}, false, m_pool.originAges(peer, m_time.steadyNow())});
}

void entry_peer_handler::handleEvacuationMessage(const std::string &peer, const message &value)
{
    if (const auto *heartbeat = std::get_if<entry_heartbeat>(&value)) {
        m_evacuations->recordPeerDigest(peer, heartbeat->load.evacuationDigest);
    } else if (std::holds_alternative<evacuation_request>(value)) {
        m_evacuations->handleRequest(peer);
    } else if (const auto *state = std::get_if<evacuation_state>(&value)) {
        m_evacuations->applyRows(state->rows, peer);
    }
}

void entry_peer_handler::sendEntryHeartbeats()
{
    const std::size_t shareOfRound = (m_entries.size() + MAX_ENTRY_HEARTBEAT_ROUNDS - 1) / MAX_ENTRY_HEARTBEAT_ROUNDS;
    const std::size_t count = std::min(m_entries.size(), std::max(ENTRY_HEARTBEATS, shareOfRound));
    if (count == 0) {
        return;
    }
    entry_heartbeat heartbeat{m_routing.version(), m_dispatcher.currentLoad(), m_isReady, m_time.steadyNow().time_since_epoch().count()};
    heartbeat.load.evacuationDigest = m_evacuations == nullptr ? 0 : m_evacuations->digest();
    for (std::size_t sent = 0; sent < count; ++sent) {
        m_lastHeartbeatEntry = nextInTurn(m_entries, m_lastHeartbeatEntry);
        m_outbox.send(m_lastHeartbeatEntry, heartbeat);
    }
}

void entry_peer_handler::sendNewAddresses()
{
    if (m_newAddresses.empty()) {
        return;
    }
    const known_entries known{std::exchange(m_newAddresses, {})};
    for (const std::string &peer : m_peers) {
        m_outbox.send(peer, known);
    }
}

void entry_peer_handler::sendAddressesInTurn()
{
    if (++m_roundsSinceAddresses < ADDRESSES_ROUNDS || m_peers.empty()) {
        return;
    }
    m_roundsSinceAddresses = 0;
    m_lastAddressesPeer = nextInTurn(m_peers, m_lastAddressesPeer);
    m_outbox.send(m_lastAddressesPeer, known_entries{m_directory.reachableAddresses()});
}

}
