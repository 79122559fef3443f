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

/// Parses routing configuration documents. Each platform that the fleet runs on has its own document format.
class routing_reader
{
public:
    virtual ~routing_reader() = default;

    /// Returns the routing configuration, or nothing when the document is malformed.
    virtual std::optional<routing> read(std::string_view document) const = 0;
};

/**
 * Handles an entry's connections to agents and other entries.
 *
 * It answers heartbeats, passes messages on workers and runs to the worker pool, and distributes the routing configuration and the
 * addresses of entries. An entry must introduce itself under its address, which is its key in the directory. The objects that the
 * constructor takes must outlive it.
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

    /// Handles a peer's introduction on a new connection.
    void connectPeer(const hello &peer);

    /// Handles the loss of the connection to the peer.
    void disconnectPeer(const std::string &peer);

    /// Handles a message of a connected peer. Kinds of messages that an entry does not expect are ignored.
    void handleMessage(const std::string &peer, const message &value);

    /// Puts the routing configuration in force if it is newer than the current one. A malformed document is recorded in the journal and
    /// otherwise ignored. The source, for the journal, is the peer's name, or `store` for the platform's store.
    void applyRoutingDocument(const std::string &document, const std::string &source);

    /// Sends a heartbeat to each connected entry. Must be called once per heartbeat interval.
    void sendHeartbeats();

    /// Returns the names of the connected entries.
    const std::set<std::string> &entries() const;

private:
    void broadcastReachableEntries();
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
    /// Document of the routing configuration in force, for entries whose version is older.
    std::string m_document;
};

}

#endif
