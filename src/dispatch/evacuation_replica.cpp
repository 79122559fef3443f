#include "dispatch/evacuation_replica.h"

namespace azuremoor
{

namespace
{

/// Time after which an entry is asked again although neither digest has changed. Entries whose settings differ never agree, and would ask
/// with each heartbeat.
constexpr microseconds REPEAT_INTERVAL = seconds(1);

}

evacuation_replica::evacuation_replica(const time_source &time, evacuation_table &table, worker_pool &pool, peer_outbox &outbox)
    : m_time(time)
    , m_table(table)
    , m_pool(pool)
    , m_outbox(outbox)
{
}

void evacuation_replica::connectAgent(const std::string &agent)
{
    m_agents.insert(agent);
    if (m_table.digest() != 0) {
        m_outbox.send(agent, evacuation_state{m_table.rows()});
    }
}

void evacuation_replica::disconnectPeer(const std::string &peer)
{
    m_agents.erase(peer);
    m_requests.erase(peer);
}

void evacuation_replica::applyRows(const std::vector<evacuation_row> &rows, const std::string &source)
{
    bool hasChanged = false;
    for (const evacuation_row &row : rows) {
        hasChanged = m_table.apply(row, source) || hasChanged;
    }
    if (!hasChanged) {
        return;
    }
    m_pool.updateAvailability();
    const evacuation_state state{m_table.rows()};
    for (const std::string &agent : m_agents) {
        m_outbox.send(agent, state);
    }
}

void evacuation_replica::recordPeerDigest(const std::string &entry, std::uint64_t digest)
{
    const std::uint64_t own = m_table.digest();
    // An entry without any row has nothing to tell.
    if (digest == own || digest == 0) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    rows_request &request = m_requests[entry];
    if (request.ownDigest == own && request.peerDigest == digest && now < request.sentAt + REPEAT_INTERVAL) {
        return;
    }
    request = {own, digest, now};
    m_outbox.send(entry, evacuation_request{own});
}

void evacuation_replica::handleRequest(const std::string &entry)
{
    m_outbox.send(entry, evacuation_state{m_table.rows()});
}

std::uint64_t evacuation_replica::digest() const
{
    return m_table.digest();
}

}
