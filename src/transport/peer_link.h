#ifndef AZUREMOOR_TRANSPORT_PEER_LINK_H
#define AZUREMOOR_TRANSPORT_PEER_LINK_H

#include <cstdint>
#include <optional>
#include <string>

#include <sys/time.h>

#include "messages/codec.h"

struct bufferevent;
struct evbuffer;

namespace azuremoor
{

class peer_link;

/// Receives what happens on a link. A link must not be destroyed from within these calls.
class peer_link_handler
{
public:
    virtual ~peer_link_handler() = default;

    /// A message arrived.
    virtual void receive(peer_link &link, const message &value) = 0;

    /// Bytes arrived that are no message, or a message to send has a field that exceeds its limit. The link goes on if they were delimited.
    virtual void drop(peer_link &link, decode_error error) = 0;

    /// An outgoing connection was made.
    virtual void open(peer_link &link) = 0;

    /// The connection is gone. No other call follows.
    virtual void close(peer_link &link) = 0;
};

/// One TCP connection that carries messages, each behind its length in four bytes.
class peer_link
{
public:
    /// Takes over the connection.
    peer_link(bufferevent *connection, peer_link_handler &handler);
    ~peer_link();
    peer_link(const peer_link &) = delete;
    peer_link &operator=(const peer_link &) = delete;

    /// Adds the message to what `flush()` writes, or drops it when a field exceeds its limit. A link whose peer does not read is closed
    /// rather than buffered without bound.
    void send(const message &value);

    /// Writes the added messages at once, as far as the connection takes them. The event loop writes the rest.
    void flush();

    /// Closes the connection when nothing arrives, or nothing can be sent, for the given times. The latter also bounds the time to connect.
    void setTimeouts(timeval silence, timeval stall);

    /// Returns the bytes that were sent and received.
    std::uint64_t sentBytes() const;
    std::uint64_t receivedBytes() const;

    /// Returns the bytes that were sent and that the connection has not taken yet.
    std::size_t waitingBytes() const;

private:
    static void readCallback(bufferevent *, void *argument);
    static void eventCallback(bufferevent *, short events, void *argument);
    std::optional<std::string> encode(const message &value);
    void readMessages();
    void fail();

    bufferevent *m_connection;
    /// Messages that were added since the latest flush.
    evbuffer *m_unflushed;
    peer_link_handler &m_handler;
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    bool m_closed = false;
};

}

#endif
