#ifndef AZUREMOOR_TRANSPORT_PEER_MESH_H
#define AZUREMOOR_TRANSPORT_PEER_MESH_H

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <sys/time.h>

#include "fleet/peer_outbox.h"
#include "transport/event_loop.h"
#include "transport/peer_link.h"
#include "transport/socket_address.h"

struct event;
struct evconnlistener;
struct sockaddr;

namespace azuremoor
{

/// Receives what happens between this process and its peers.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// A peer said who it is on a new connection.
    virtual void connectPeer(const hello &peer) = 0;

    /// The connection to the peer is gone.
    virtual void disconnectPeer(const std::string &peer) = 0;

    /// A message arrived from the peer, or from this process itself.
    virtual void handleMessage(const std::string &peer, const message &value) = 0;

    /// All messages that had arrived were handled.
    virtual void flush() = 0;
};

/// What a mesh has counted.
struct mesh_counters {
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t droppedMalformed = 0;
    std::uint64_t droppedUnreachable = 0;
    std::map<std::string, std::uint64_t> sentByType;
    /// Connections to peers that have introduced themselves, by the role of the peer.
    std::map<member_role, std::uint64_t> connections;
    /// Bytes that these connections have not taken yet.
    std::map<member_role, std::uint64_t> waitingBytes;
};

/**
 * All TCP connections between this process and other processes of the fleet, by name.
 *
 * Each side introduces itself first. A second connection with the same name takes the place of the first, unless it was accepted before
 * that one: then its introduction is late. Messages to this process itself come back through the event loop.
 */
class peer_mesh : public peer_outbox, public peer_link_handler
{
public:
    /// Time after which a connection that carries nothing is closed, unless another is given.
    static constexpr milliseconds DEFAULT_SILENCE_TIMEOUT{3000};

    /// Listens on the address, unless its host is empty. Throws std::runtime_error when the address cannot be used.
    /// A connection that carries nothing for the silence timeout is closed; peers have to exchange heartbeats more often than that. An
    /// attempt to connect is given up after a quarter of it, so that a machine that comes back is reached soon.
    peer_mesh(event_loop &loop,
              hello self,
              const socket_address &listen,
              peer_handler &handler,
              milliseconds silenceTimeout = DEFAULT_SILENCE_TIMEOUT);
    ~peer_mesh() override;

    /// Returns the address that peers can connect to.
    socket_address address() const;

    /// Returns how this process introduces itself.
    const hello &self() const;

    /// Sets the peers that this process keeps connections to, by name.
    void setTargets(const std::map<std::string, socket_address> &targets);

    void send(const std::string &peer, message value) override;

    /// Sets the time without a message after which the present connection to the peer is closed. Ignored without a connection.
    void setSilenceTimeout(const std::string &peer, milliseconds timeout);

    /// Closes the connection to the peer, which is made again if the peer is a target.
    void reset(const std::string &peer);

    /// Returns the counters, those of closed connections included.
    mesh_counters counters() const;

    /// Returns the names of the peers that are connected.
    std::vector<std::string> connected() const;

private:
    struct link_entry {
        std::unique_ptr<peer_link> link;
        /// The target that was dialled; empty for an accepted connection.
        std::string target;
        /// Who the peer says it is; empty before that.
        std::string peer;
        member_role role = member_role::entry;
        bool closed = false;
        /// Position among the accepted connections, from 1; 0 for a dialled one.
        std::uint64_t acceptNumber = 0;
    };

    static void accept(evconnlistener *, int socket, sockaddr *, int, void *argument);
    void receive(peer_link &link, const message &value) override;
    void drop(peer_link &link, decode_error error) override;
    void open(peer_link &link) override;
    void close(peer_link &link) override;
    void introduce(link_entry &entry, const hello &value);
    void dial(const std::string &name, const socket_address &address);
    void dialMissing();
    bool hasLinkTo(const std::string &name) const;
    void collectClosed();
    void deliverLoopback();
    static void flushCallback(int, short, void *argument);
    void sendOn(peer_link &link, const message &value);
    void scheduleFlush();
    void flush();
    void closeEntry(link_entry &entry);

    event_loop &m_loop;
    hello m_self;
    timeval m_silenceTimeout{};
    timeval m_connectTimeout{};
    peer_handler &m_handler;
    evconnlistener *m_listener = nullptr;
    socket_address m_address;
    std::map<std::string, socket_address> m_targets;
    std::map<peer_link *, link_entry> m_links;
    std::map<std::string, peer_link *> m_byName;
    std::deque<message> m_loopback;
    /// Links with messages that were not written yet.
    std::set<peer_link *> m_unflushedLinks;
    event *m_flushEvent;
    bool m_isFlushScheduled = false;
    /// Number of connections that were accepted.
    std::uint64_t m_acceptedLinks = 0;
    /// Whether messages have arrived since the handler's latest flush.
    bool m_isHandlerFlushDue = false;
    mesh_counters m_counters;
    /// Sent messages by position of their type in `message`.
    std::array<std::uint64_t, std::variant_size_v<message>> m_sentByType{};
};

}

#endif
