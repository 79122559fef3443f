#ifndef AZUREMOOR_DISPATCH_EVACUATION_REPLICA_H
#define AZUREMOOR_DISPATCH_EVACUATION_REPLICA_H

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dispatch/worker_pool.h"
#include "fleet/evacuation_table.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/**
 * Exchanges an entry's state of evacuated data centres with agents and other entries.
 *
 * Agents get all rows on each new connection and with each change, before any later order on that connection. Heartbeats between entries
 * carry a digest. An entry that hears of another digest asks its sender for the rows, and both end with the newest row of each data
 * centre. The objects that the constructor takes must outlive it.
 */
class evacuation_replica
{
public:
    evacuation_replica(const time_source &time, evacuation_table &table, worker_pool &pool, peer_outbox &outbox);

    /// Sends the rows to an agent on its new connection.
    void connectAgent(const std::string &agent);

    /// Handles the loss of the connection to an agent or an entry.
    void disconnectPeer(const std::string &peer);

    /// Applies rows from the store or a peer. After a change, the worker pool takes it into account at once and agents are told.
    void applyRows(const std::vector<evacuation_row> &rows, const std::string &source);

    /// Records the digest in a heartbeat of an entry, and asks for its rows if they differ.
    void recordPeerDigest(const std::string &entry, std::uint64_t digest);

    /// Answers an entry's request with all rows.
    void handleRequest(const std::string &entry);

    /// Returns the digest of this entry's rows.
    std::uint64_t digest() const;

private:
    /// A request to an entry for its rows.
    struct rows_request {
        std::uint64_t ownDigest = 0;
        std::uint64_t peerDigest = 0;
        steady_time sentAt{};
    };

    const time_source &m_time;
    evacuation_table &m_table;
    worker_pool &m_pool;
    peer_outbox &m_outbox;
    std::set<std::string> m_agents;
    /// Latest requests by entry.
    std::map<std::string, rows_request> m_requests;
};

}

#endif
