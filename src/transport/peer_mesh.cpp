#include "transport/peer_mesh.h"

#include <algorithm>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace azuremoor
{

namespace
{

/// Interval at which missing connections are made.
constexpr milliseconds DIAL_INTERVAL{100};

/// Time after which a connection whose peer acknowledges nothing is closed, in milliseconds.
constexpr unsigned UNACKNOWLEDGED_TIMEOUT_MS = 3000;

/// Part of the silence timeout after which an attempt to connect is given up.
constexpr int CONNECT_DIVISOR = 4;

timeval toTimeval(milliseconds duration)
{
    return {duration.count() / 1000, (duration.count() % 1000) * 1000};
}

struct parsed_address {
    sockaddr_storage storage{};
    int length = 0;
};

/// Returns the address for the system; nothing when its host is no IP number.
std::optional<parsed_address> toSockaddr(const socket_address &address)
{
    parsed_address result;
    auto *four = reinterpret_cast<sockaddr_in *>(&result.storage);
    if (inet_pton(AF_INET, address.host.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(address.port);
        result.length = sizeof(sockaddr_in);
        return result;
    }
    auto *six = reinterpret_cast<sockaddr_in6 *>(&result.storage);
    if (inet_pton(AF_INET6, address.host.c_str(), &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(address.port);
        result.length = sizeof(sockaddr_in6);
        return result;
    }
    return std::nullopt;
}

std::uint16_t boundPort(int socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &length);
    if (storage.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in *>(&storage)->sin_port);
}

void tuneSocket(int socket)
{
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UNACKNOWLEDGED_TIMEOUT_MS, sizeof(UNACKNOWLEDGED_TIMEOUT_MS));
}

}

peer_mesh::peer_mesh(event_loop &loop, hello self, const socket_address &listen, peer_handler &handler, milliseconds silenceTimeout)
    : m_loop(loop)
    , m_self(std::move(self))
    , m_silenceTimeout(toTimeval(silenceTimeout))
    , m_connectTimeout(toTimeval(silenceTimeout / CONNECT_DIVISOR))
    , m_handler(handler)
    , m_flushEvent(event_new(loop.base(), -1, 0, flushCallback, this))
{
    if (!listen.host.empty()) {
        const std::optional<parsed_address> address = toSockaddr(listen);
        if (!address) {
            throw std::runtime_error("not an address: " + listen.text());
        }
        m_listener = evconnlistener_new_bind(loop.base(),
                                             accept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                             -1,
                                             reinterpret_cast<const sockaddr *>(&address->storage),
                                             address->length);
        if (m_listener == nullptr) {
            throw std::runtime_error("cannot listen on " + listen.text() + ": " + std::strerror(errno));
        }
        m_address = {listen.host, boundPort(evconnlistener_get_fd(m_listener))};
    }
    m_loop.every(DIAL_INTERVAL, [this] {
        collectClosed();
        dialMissing();
    });
}

peer_mesh::~peer_mesh()
{
    event_free(m_flushEvent);
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
}

socket_address peer_mesh::address() const
{
    return m_address;
}

const hello &peer_mesh::self() const
{
    return m_self;
}

void peer_mesh::setTargets(const std::map<std::string, socket_address> &targets)
{
    m_targets = targets;
    for (auto &[link, entry] : m_links) {
        if (!entry.target.empty() && !m_targets.contains(entry.target) && !m_targets.contains(entry.peer)) {
            closeEntry(entry);
        }
    }
}

void peer_mesh::send(const std::string &peer, message value)
{
    if (peer == m_self.name) {
        m_loopback.push_back(std::move(value));
        scheduleFlush();
        return;
    }
    const auto found = m_byName.find(peer);
    if (found == m_byName.end()) {
        ++m_counters.droppedUnreachable;
        return;
    }
    ++m_counters.sentMessages;
    ++m_sentByType[value.index()];
    sendOn(*found->second, value);
}

void peer_mesh::setSilenceTimeout(const std::string &peer, milliseconds timeout)
{
    const auto found = m_byName.find(peer);
    if (found != m_byName.end()) {
        found->second->setTimeouts(toTimeval(timeout), toTimeval(timeout));
    }
}

void peer_mesh::reset(const std::string &peer)
{
    const auto found = m_byName.find(peer);
    if (found != m_byName.end()) {
        closeEntry(m_links.at(found->second));
    }
}

mesh_counters peer_mesh::counters() const
{
    mesh_counters result = m_counters;
    for (std::size_t type = 0; type < m_sentByType.size(); ++type) {
        if (m_sentByType[type] > 0) {
            result.sentByType[std::string(messageName(type))] = m_sentByType[type];
        }
    }
    for (const auto &[link, entry] : m_links) {
        result.sentBytes += link->sentBytes();
        result.receivedBytes += link->receivedBytes();
        if (!entry.closed && !entry.peer.empty()) {
            ++result.connections[entry.role];
            result.waitingBytes[entry.role] += link->waitingBytes();
        }
    }
    return result;
}

std::vector<std::string> peer_mesh::connected() const
{
    std::vector<std::string> names;
    for (const auto &[name, link] : m_byName) {
        names.push_back(name);
    }
    return names;
}

void peer_mesh::accept(evconnlistener *, int socket, sockaddr *, int, void *argument)
{
    auto *mesh = static_cast<peer_mesh *>(argument);
    evutil_make_socket_nonblocking(socket);
    tuneSocket(socket);
    bufferevent *connection = bufferevent_socket_new(mesh->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    auto link = std::make_unique<peer_link>(connection, *mesh);
    link->setTimeouts(mesh->m_silenceTimeout, mesh->m_silenceTimeout);
    peer_link *key = link.get();
    mesh->m_links[key] = {std::move(link), {}, {}, {}, false, ++mesh->m_acceptedLinks};
    mesh->sendOn(*key, mesh->m_self);
}

void peer_mesh::receive(peer_link &link, const message &value)
{
    link_entry &entry = m_links.at(&link);
    if (entry.closed) {
        return;
    }
    ++m_counters.receivedMessages;
    if (const auto *introduction = std::get_if<hello>(&value)) {
        introduce(entry, *introduction);
        return;
    }
    if (entry.peer.empty()) {
        ++m_counters.droppedMalformed;
        return;
    }
    m_isHandlerFlushDue = true;
    scheduleFlush();
    m_handler.handleMessage(entry.peer, value);
}

void peer_mesh::drop(peer_link &, decode_error)
{
    ++m_counters.droppedMalformed;
}

void peer_mesh::open(peer_link &link)
{
    link.setTimeouts(m_silenceTimeout, m_silenceTimeout);
    sendOn(link, m_self);
}

void peer_mesh::close(peer_link &link)
{
    closeEntry(m_links.at(&link));
}

void peer_mesh::introduce(link_entry &entry, const hello &value)
{
    if (!entry.peer.empty() || value.name.empty() || value.name == m_self.name) {
        ++m_counters.droppedMalformed;
        return;
    }
    const auto known = m_byName.find(value.name);
    if (known != m_byName.end()) {
        link_entry &other = m_links.at(known->second);
        if (entry.acceptNumber != 0 && entry.acceptNumber < other.acceptNumber) {
            // The peer has connected again since, so the introduction is late, maybe that of an earlier process.
            closeEntry(entry);
            return;
        }
        closeEntry(other);
    }
    entry.peer = value.name;
    entry.role = value.role;
    m_byName[value.name] = entry.link.get();
    m_isHandlerFlushDue = true;
    scheduleFlush();
    m_handler.connectPeer(value);
}

void peer_mesh::dial(const std::string &name, const socket_address &address)
{
    const std::optional<parsed_address> target = toSockaddr(address);
    if (!target) {
        ++m_counters.droppedUnreachable;
        return;
    }
    bufferevent *connection = bufferevent_socket_new(m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    auto link = std::make_unique<peer_link>(connection, *this);
    link->setTimeouts(m_silenceTimeout, m_connectTimeout);
    peer_link *key = link.get();
    m_links[key] = {std::move(link), name, {}, {}, false, 0};
    if (bufferevent_socket_connect(connection, reinterpret_cast<const sockaddr *>(&target->storage), target->length) != 0) {
        closeEntry(m_links.at(key));
        return;
    }
    tuneSocket(bufferevent_getfd(connection));
}

void peer_mesh::dialMissing()
{
    for (const auto &[name, address] : m_targets) {
        if (!hasLinkTo(name)) {
            dial(name, address);
        }
    }
}

bool peer_mesh::hasLinkTo(const std::string &name) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&name](const auto &entry) {
        return !entry.second.closed && (entry.second.target == name || entry.second.peer == name);
    });
}

void peer_mesh::collectClosed()
{
    std::erase_if(m_links, [this](const auto &entry) {
        if (entry.second.closed) {
            m_counters.sentBytes += entry.first->sentBytes();
            m_counters.receivedBytes += entry.first->receivedBytes();
            m_unflushedLinks.erase(entry.first);
        }
        return entry.second.closed;
    });
}

void peer_mesh::deliverLoopback()
{
    std::deque<message> messages = std::move(m_loopback);
    m_loopback.clear();
    m_isHandlerFlushDue = m_isHandlerFlushDue || !messages.empty();
    for (const message &value : messages) {
        m_handler.handleMessage(m_self.name, value);
    }
}

void peer_mesh::scheduleFlush()
{
    if (m_isFlushScheduled) {
        return;
    }
    m_isFlushScheduled = true;
    event_active(m_flushEvent, 0, 0);
}

void peer_mesh::flushCallback(int, short, void *argument)
{
    static_cast<peer_mesh *>(argument)->flush();
}

void peer_mesh::sendOn(peer_link &link, const message &value)
{
    link.send(value);
    m_unflushedLinks.insert(&link);
    scheduleFlush();
}

void peer_mesh::flush()
{
    deliverLoopback();
    if (std::exchange(m_isHandlerFlushDue, false)) {
        m_handler.flush();
    }
    for (peer_link *link : m_unflushedLinks) {
        link->flush();
    }
    m_unflushedLinks.clear();
    m_isFlushScheduled = false;
    if (!m_loopback.empty()) {
        scheduleFlush();
    }
}

void peer_mesh::closeEntry(link_entry &entry)
{
    if (entry.closed) {
        return;
    }
    entry.closed = true;
    const auto found = m_byName.find(entry.peer);
    if (found != m_byName.end() && found->second == entry.link.get()) {
        m_byName.erase(found);
        m_handler.disconnectPeer(entry.peer);
    }
}

}
