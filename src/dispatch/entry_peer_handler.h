#ifndef AZUREMOOR_DISPATCH_ENTRY_PEER_HANDLER_H
#define AZUREMOOR_DISPATCH_ENTRY_PEER_HANDLER_H

#include <set>
#include <string>
#include <vector>

#include "dispatch/entry_directory.h"
#include "dispatch/entry_handover.h"
#include "dispatch/entry_load_table.h"
#include "dispatch/evacuation_replica.h"
#include "dispatch/job_dispatcher.h"
#include "dispatch/peer_readiness.h"
#include "dispatch/routing_replica.h"

namespace azuremoor
{

/// Most heartbeat intervals between two heartbeats of an entry to another one.
constexpr std::size_t MAX_ENTRY_HEARTBEAT_ROUNDS = 8;

/**
 * Handles an entry's connections to agents and other entries.
 *
 * It answers heartbeats of agents, passes messages on workers and runs to the worker pool and those on the routing configuration to its
 * replica, and passes on the addresses of entries. An entry must introduce itself under its address, which is its key in the directory.
 * The objects that the constructor takes must outlive it.
 *
 * Each entry is connected to all others, so what they exchange grows with their number. Heartbeats between entries carry the routing
 * version and the entry's load; they go to a few entries at a time, in turns, and get no answer. New addresses are
 * collected and passed on together.
 */
class entry_peer_handler
{
public:
    /// Without a replica, evacuations are neither reported nor passed on.
    entry_peer_handler(const time_source &time,
                       entry_directory &directory,
                       routing_replica &routing,
                       worker_pool &pool,
                       job_dispatcher &dispatcher,
                       entry_load_table &loads,
                       peer_outbox &outbox,
                       decision_journal &journal,
                       evacuation_replica *evacuations = nullptr);

    /// Sets the handover of jobs between entries. It must outlive this object.
    void setHandover(entry_handover &handover);

    /// Sets what reads the agents' reports of crashes. It must outlive this object. Without it they are ignored.
    void setCrashGuard(crash_guard &guard);

    /// Handles a peer's introduction on a new connection.
    void connectPeer(const hello &peer);

    /// Handles the loss of the connection to the peer.
    void disconnectPeer(const std::string &peer);

    /// Handles a message of a connected peer. Kinds of messages that an entry does not expect are ignored.
    void handleMessage(const std::string &peer, const message &value);

    /// Sends heartbeats to the connected entries whose turn it is, and new addresses to all peers. Must be called once per heartbeat
    /// interval. Each entry gets a heartbeat within `MAX_ENTRY_HEARTBEAT_ROUNDS` calls.
    void sendHeartbeats();

    /// Sets whether this entry reports to the balancer that it is ready, for its heartbeats.
    void setReady(bool isReady);

    /// Returns which other entries are ready.
    const peer_readiness &readiness() const;

    /// Returns the names of the connected entries.
    const std::set<std::string> &entries() const;

private:
    void handleHeartbeat(const std::string &peer, const ping &heartbeat);
    void handleEvacuationMessage(const std::string &peer, const message &value);
    void updateEntryCount();
    void sendEntryHeartbeats();
    void sendNewAddresses();
    void sendAddressesInTurn();

    const time_source &m_time;
    entry_directory &m_directory;
    routing_replica &m_routing;
    worker_pool &m_pool;
    job_dispatcher &m_dispatcher;
    entry_load_table &m_loads;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    evacuation_replica *m_evacuations;
    peer_readiness m_readiness;
    bool m_isReady = true;
    entry_handover *m_handover = nullptr;
    crash_guard *m_crashGuard = nullptr;
    std::set<std::string> m_entries;
    /// Names of all connected peers.
    std::set<std::string> m_peers;
    /// Entry that got the latest heartbeat; the next one by name is next.
    std::string m_lastHeartbeatEntry;
    /// Addresses that were reached since new addresses were last passed on.
    std::vector<std::string> m_newAddresses;
    /// Calls of sendHeartbeats() since a peer last got all addresses.
    int m_roundsSinceAddresses = 0;
    /// Peer that got all addresses last.
    std::string m_lastAddressesPeer;
};

}

#endif
