#include "dispatch/entry_peer_handler.h"

namespace azuremoor
{

entry_peer_handler::entry_peer_handler(const time_source &time,
                                       entry_directory &directory,
                                       route_table &routes,
                                       const routing_reader &reader,
                                       worker_pool &pool,
                                       job_dispatcher &dispatcher,
                                       peer_outbox &outbox,
                                       decision_journal &journal)
    : m_time(time)
    , m_directory(directory)
    , m_routes(routes)
    , m_reader(reader)
    , m_pool(pool)
    , m_dispatcher(dispatcher)
    , m_outbox(outbox)
    , m_journal(journal)
{
}

void entry_peer_handler::connectPeer(const hello &peer)
{
    if (peer.role == member_role::agent) {
        m_agents.insert(peer.name);
        m_pool.connectAgent(peer);
        m_outbox.send(peer.name, known_entries{m_directory.reachableAddresses()});
        return;
    }
    m_entries.insert(peer.name);
    m_directory.setConnected(peer.name, true);
    m_dispatcher.setEntryCount(m_entries.size() + 1);
    m_journal.note("entry_connected", {{"entry", peer.name}, {"entries", std::to_string(m_entries.size() + 1)}});
    broadcastReachableEntries();
}

void entry_peer_handler::disconnectPeer(const std::string &peer)
{
    if (m_agents.erase(peer) > 0) {
        m_pool.disconnectAgent(peer);
        return;
    }
    if (m_entries.erase(peer) > 0) {
        m_directory.setConnected(peer, false);
        m_dispatcher.setEntryCount(m_entries.size() + 1);
        m_journal.note("entry_disconnected", {{"entry", peer}, {"entries", std::to_string(m_entries.size() + 1)}});
    }
}

void entry_peer_handler::handleMessage(const std::string &peer, const message &value)
{
    if (const auto *heartbeat = std::get_if<ping>(&value)) {
        m_pool.recordHeartbeat(peer);
        // The offset field carries the routing version. The entry reads no control stream, suspects no entries and is not leaving.
        m_outbox.send(peer, pong{heartbeat->sentMicroseconds, m_routes.version(), -1, {}, false});
        if (m_entries.contains(peer)) {
            // Entries send their routing version as the offset.
            sendRoutingIfOutdated(peer, heartbeat->controlOffset);
        }
    } else if (const auto *status = std::get_if<worker_status>(&value)) {
        m_pool.updateStatus(peer, *status);
    } else if (const auto *capacityUpdate = std::get_if<room_update>(&value)) {
        m_pool.updateFreeCapacity(peer, *capacityUpdate);
    } else if (const auto *results = std::get_if<run_results>(&value)) {
        m_pool.receiveResults(peer, *results);
    } else if (const auto *known = std::get_if<known_entries>(&value)) {
        m_directory.addAddresses(known->addresses);
    } else if (const auto *update = std::get_if<routing_update>(&value)) {
        applyRoutingDocument(update->document, peer);
    }
}

void entry_peer_handler::applyRoutingDocument(const std::string &document, const std::string &source)
{
    const std::optional<routing> parsed = m_reader.read(document);
    if (!parsed) {
        m_journal.note("routing_unreadable", {{"source", source}, {"bytes", std::to_string(document.size())}});
        return;
    }
    const std::uint64_t previousVersion = m_routes.version();
    if (!m_routes.replace(*parsed)) {
        return;
    }
    m_document = document;
    m_journal.note("routing_in_force",
                   {{"version", std::to_string(m_routes.version())},
                    {"before", std::to_string(previousVersion)},
                    {"source", source},
                    {"routes", std::to_string(m_routes.size())}});
}

void entry_peer_handler::sendHeartbeats()
{
    const std::int64_t now = m_time.steadyNow().time_since_epoch().count();
    for (const std::string &entry : m_entries) {
        m_outbox.send(entry, ping{now, m_routes.version()});
    }
}

const std::set<std::string> &entry_peer_handler::entries() const
{
    return m_entries;
}

void entry_peer_handler::broadcastReachableEntries()
{
    const known_entries known{m_directory.reachableAddresses()};
    for (const std::string &agent : m_agents) {
        m_outbox.send(agent, known);
    }
    for (const std::string &entry : m_entries) {
        m_outbox.send(entry, known);
    }
}

void entry_peer_handler::sendRoutingIfOutdated(const std::string &peer, std::uint64_t version)
{
    if (version < m_routes.version()) {
        m_outbox.send(peer, routing_update{m_routes.version(), m_document});
    }
}

}
