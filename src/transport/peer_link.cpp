#include "transport/peer_link.h"

#include <vector>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace azuremoor
{

namespace
{

constexpr std::size_t LENGTH_BYTES = 4;

/// Most bytes that wait for a peer to read them.
constexpr std::size_t MAX_BUFFERED_BYTES = 64 * 1024 * 1024;

}

peer_link::peer_link(bufferevent *connection, peer_link_handler &handler)
    : m_connection(connection)
    , m_unflushed(evbuffer_new())
    , m_handler(handler)
{
    bufferevent_setcb(m_connection, readCallback, nullptr, eventCallback, this);
    bufferevent_enable(m_connection, EV_READ | EV_WRITE);
}

peer_link::~peer_link()
{
    bufferevent_free(m_connection);
    evbuffer_free(m_unflushed);
}

void peer_link::send(const message &value)
{
    if (m_closed) {
        return;
    }
    const std::optional<std::string> body = encode(value);
    if (!body) {
        return;
    }
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(body->size()));
    if (waitingBytes() > MAX_BUFFERED_BYTES) {
        // The end of the connection is reported from the event loop, not from within the sender's call.
        shutdown(bufferevent_getfd(m_connection), SHUT_RDWR);
        return;
    }
    evbuffer_add(m_unflushed, &length, LENGTH_BYTES);
    evbuffer_add(m_unflushed, body->data(), body->size());
    m_sentBytes += LENGTH_BYTES + body->size();
}

void peer_link::flush()
{
    if (m_closed) {
        return;
    }
    // Through a bufferevent each write would take two more system calls, which begin and end the watch for writability.
    if (evbuffer_get_length(bufferevent_get_output(m_connection)) == 0) {
        evbuffer_write(m_unflushed, bufferevent_getfd(m_connection));
    }
    // A failed write fails again in the event loop, which reports the end of the connection.
    if (evbuffer_get_length(m_unflushed) > 0) {
        bufferevent_write_buffer(m_connection, m_unflushed);
    }
}

void peer_link::setTimeouts(timeval silence, timeval stall)
{
    bufferevent_set_timeouts(m_connection, &silence, &stall);
}

std::uint64_t peer_link::sentBytes() const
{
    return m_sentBytes;
}

std::uint64_t peer_link::receivedBytes() const
{
    return m_receivedBytes;
}

std::size_t peer_link::waitingBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_connection)) + evbuffer_get_length(m_unflushed);
}

void peer_link::readCallback(bufferevent *, void *argument)
{
    static_cast<peer_link *>(argument)->readMessages();
}

void peer_link::eventCallback(bufferevent *, short events, void *argument)
{
    auto *link = static_cast<peer_link *>(argument);
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        link->m_handler.open(*link);
        return;
    }
    link->fail();
}

std::optional<std::string> peer_link::encode(const message &value)
{
    try {
        return encodeMessage(value);
    } catch (const cereal::Exception &) {
        m_handler.drop(*this, decode_error::too_long);
        return std::nullopt;
    }
}

void peer_link::readMessages()
{
    evbuffer *input = bufferevent_get_input(m_connection);
    while (!m_closed && evbuffer_get_length(input) >= LENGTH_BYTES) {
        std::uint32_t length = 0;
        evbuffer_copyout(input, &length, LENGTH_BYTES);
        length = ntohl(length);
        if (length > MAX_MESSAGE_BYTES) {
            m_handler.drop(*this, decode_error::too_long);
            fail();
            return;
        }
        if (evbuffer_get_length(input) < LENGTH_BYTES + length) {
            return;
        }
        evbuffer_drain(input, LENGTH_BYTES);
        std::vector<char> bytes(length);
        evbuffer_remove(input, bytes.data(), length);
        m_receivedBytes += LENGTH_BYTES + length;
        const auto decoded = decodeMessage(bytes);
        if (decoded) {
            m_handler.receive(*this, *decoded);
        } else {
            m_handler.drop(*this, decoded.error());
        }
    }
}

void peer_link::fail()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    bufferevent_disable(m_connection, EV_READ | EV_WRITE);
    m_handler.close(*this);
}

}
