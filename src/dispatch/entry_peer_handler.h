#ifndef AZUREMOOR_DISPATCH_ENTRY_PEER_HANDLER_H
#define AZUREMOOR_DISPATCH_ENTRY_PEER_HANDLER_H

#include <optional>
#include <set>
#include <string>

#include "dispatch/entry_directory.h"
#include "dispatch/job_dispatcher.h"
#include "dispatch/route_table.h"

namespace azuremoor
{

/// Reads the document that holds the routing configuration, in the form of the platform that the fleet runs on.
class routing_reader
{
public:
    virtual ~routing_reader() = default;

    /// Returns the configuration, or nothing when the document cannot be read.
    virtual std::optional<routing> read(std::string_view document) const = 0;
};

/**
 * An entry among its peers: answers heartbeats, follows the workers, and passes on the routing configuration and the addresses of entries.
 */
class entry_peer_handler
{
public:
    entry_peer_handler(const time_source &time,
                       entry_directory &directory,
                       route_table &routes,
                       const routing_reader &reader,
                       worker_pool &pool,
                       job_dispatcher &dispatcher,
                       peer_outbox &outbox,
                       decision_journal &journal);

    /// A peer introduced itself on a new connection.
    void connectPeer(const hello &peer);

    /// The connection to the peer is gone.
    void disconnectPeer(const std::string &peer);

    /// A message arrived.
    void handleMessage(const std::string &peer, const message &value);

    /// The platform's store or a peer has a document of the routing configuration.
    void applyRoutingDocument(const std::string &document, const std::string &source);

    /// Sends heartbeats to other entries; to be called at the interval of heartbeats.
    void sendHeartbeats();

    /// Returns the peers that are entries and connected.
    const std::set<std::string> &entries() const;

private:
    void broadcastKnownEntries();
    void sendRoutingIfOutdated(const std::string &peer, std::uint64_t version);

    const time_source &m_time;
    entry_directory &m_directory;
    route_table &m_routes;
    const routing_reader &m_reader;
    worker_pool &m_pool;
    job_dispatcher &m_dispatcher;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    std::set<std::string> m_entries;
    std::set<std::string> m_agents;
    std::string m_document;
};

}

#endif
