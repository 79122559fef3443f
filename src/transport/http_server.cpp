#include "transport/http_server.h"

#include <cstring>
#include <stdexcept>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <strings.h>
#include <sys/socket.h>

namespace azuremoor
{

namespace
{

/// Interval at which the connection of an unanswered request is checked for its end if the client has sent more on it.
constexpr timeval HANG_UP_CHECK_INTERVAL{0, 20'000};

std::string methodName(evhttp_cmd_type type)
{
    switch (type) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "OTHER";
    }
}

std::map<std::string, std::string> parseQuery(const char *query)
{
    std::map<std::string, std::string> result;
    evkeyvalq pairs{};
    if (query == nullptr || evhttp_parse_query_str(query, &pairs) != 0) {
        return result;
    }
    for (const evkeyval *pair = pairs.tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
        result[pair->key] = pair->value;
    }
    evhttp_clear_headers(&pairs);
    return result;
}

std::string decodePath(const char *path)
{
    std::size_t length = 0;
    char *decoded = evhttp_uridecode(path == nullptr ? "/" : path, 0, &length);
    std::string result(decoded, length);
    free(decoded);
    return result;
}

void setPriority(evhttp_request *request, loop_priority priority)
{
    evhttp_connection *connection = evhttp_request_get_connection(request);
    bufferevent_priority_set(evhttp_connection_get_bufferevent(connection), static_cast<int>(priority));
}

std::string peerAddress(evhttp_request *request)
{
    char *address = nullptr;
    std::uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &address, &port);
    return address == nullptr ? std::string() : std::string(address);
}

std::string readBody(evhttp_request *request)
{
    evbuffer *input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, body.data(), body.size());
    return body;
}

}

bool header_name_less::operator()(const std::string &first, const std::string &second) const
{
    return strcasecmp(first.c_str(), second.c_str()) < 0;
}

std::string http_request::queryOr(const std::string &key, const std::string &absent) const
{
    const auto found = query.find(key);
    return found == query.end() ? absent : found->second;
}

std::string http_request::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

struct http_server::pending_request {
    http_server *server = nullptr;
    std::uint64_t id = 0;
    evhttp_request *request = nullptr;
    /// Watches for the client's end of the connection, which evhttp does not read while a request is unanswered.
    event *hangUp = nullptr;
    int socket = -1;

    ~pending_request()
    {
        endHangUpWatch();
    }

    void startHangUpWatch(event *watch, const timeval *interval)
    {
        endHangUpWatch();
        hangUp = watch;
        event_add(hangUp, interval);
    }

    void endHangUpWatch()
    {
        if (hangUp != nullptr) {
            event_free(hangUp);
            hangUp = nullptr;
        }
    }
};

http_server::http_server(event_loop &loop, const socket_address &listen, http_limits limits, http_handler &handler)
    : m_loop(loop)
    , m_handler(handler)
    , m_readPriority(limits.readPriority)
    , m_http(evhttp_new(loop.base()))
{
    evhttp_set_max_body_size(m_http, static_cast<ev_ssize_t>(limits.maxBodyBytes));
    evhttp_set_max_headers_size(m_http, static_cast<ev_ssize_t>(limits.maxHeaderBytes));
    evhttp_set_timeout(m_http, limits.idleTimeoutSeconds);
    evhttp_set_allowed_methods(m_http,
                               EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH
                                   | EVHTTP_REQ_OPTIONS);
    evhttp_set_gencb(m_http, requestCallback, this);
    m_socket = evhttp_bind_socket_with_handle(m_http, listen.host.c_str(), listen.port);
    if (m_socket == nullptr) {
        const std::string reason = std::strerror(errno);
        evhttp_free(m_http);
        throw std::runtime_error("cannot listen on " + listen.text() + ": " + reason);
    }
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&storage), &length);
    const std::uint16_t port = storage.ss_family == AF_INET6 ? reinterpret_cast<sockaddr_in6 *>(&storage)->sin6_port
                                                             : reinterpret_cast<sockaddr_in *>(&storage)->sin_port;
    m_address = {listen.host, ntohs(port)};
}

http_server::~http_server()
{
    for (const auto *requests : {&m_pending, &m_answered}) {
        for (const auto &[id, pending] : *requests) {
            evhttp_connection_set_closecb(evhttp_request_get_connection(pending->request), nullptr, nullptr);
        }
    }
    evhttp_free(m_http);
}

socket_address http_server::address() const
{
    return m_address;
}

void http_server::answer(std::uint64_t id, const http_response &response)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    auto answered = m_pending.extract(found);
    pending_request &pending = *answered.mapped();
    evhttp_request *request = pending.request;
    pending.endHangUpWatch();
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), closeAnsweredCallback, &pending);
    m_answered.insert(std::move(answered));
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Content-Type", response.contentType.c_str());
    for (const auto &[name, value] : response.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer *output = evhttp_request_get_output_buffer(request);
    evbuffer_add(output, response.body.data(), response.body.size());
    // Answers are written before new requests are read.
    setPriority(request, loop_priority::normal);
    evhttp_request_set_on_complete_cb(request, completeCallback, &pending);
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

connection_end http_server::connectionEndOf(std::uint64_t id) const
{
    const auto found = m_pending.find(id);
    return found == m_pending.end() ? connection_end::closed : endOfSocket(found->second->socket);
}

void http_server::closeListener()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }
}

std::size_t http_server::pending() const
{
    return m_pending.size() + m_answered.size();
}

void http_server::requestCallback(evhttp_request *request, void *argument)
{
    static_cast<http_server *>(argument)->receive(request);
}

void http_server::closeCallback(evhttp_connection *, void *argument)
{
    auto *pending = static_cast<pending_request *>(argument);
    pending->server->abandon(pending->id, endOfSocket(pending->socket));
}

void http_server::closeAnsweredCallback(evhttp_connection *, void *argument)
{
    auto *pending = static_cast<pending_request *>(argument);
    pending->server->m_answered.erase(pending->id);
}

void http_server::hangUpCallback(int, short, void *argument)
{
    auto &pending = *static_cast<pending_request *>(argument);
    if (endOfSocket(pending.socket) == connection_end::none) {
        // The client has sent more, which is read after the answer. The socket stays readable, so only a timer can wait for its end.
        pending.startHangUpWatch(event_new(pending.server->m_loop.base(), -1, 0, hangUpCallback, &pending), &HANG_UP_CHECK_INTERVAL);
        return;
    }
    // Freeing the connection calls closeCallback, which forgets the request.
    evhttp_connection_free(evhttp_request_get_connection(pending.request));
}

void http_server::completeCallback(evhttp_request *request, void *argument)
{
    auto *pending = static_cast<pending_request *>(argument);
    setPriority(request, pending->server->m_readPriority);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    pending->server->m_answered.erase(pending->id);
}

void http_server::abandon(std::uint64_t id, connection_end end)
{
    m_pending.erase(id);
    m_handler.abandonRequest(id, end);
}

void http_server::receive(evhttp_request *request)
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    http_request received;
    received.id = m_nextId++;
    received.method = methodName(evhttp_request_get_command(request));
    received.path = decodePath(uri == nullptr ? nullptr : evhttp_uri_get_path(uri));
    received.query = parseQuery(uri == nullptr ? nullptr : evhttp_uri_get_query(uri));
    for (const evkeyval *header = evhttp_request_get_input_headers(request)->tqh_first; header != nullptr; header = header->next.tqe_next) {
        received.headers[header->key] = header->value;
    }
    received.body = readBody(request);
    received.clientAddress = peerAddress(request);

    auto pending = std::make_unique<pending_request>();
    pending->server = this;
    pending->id = received.id;
    pending->request = request;
    evhttp_connection *connection = evhttp_request_get_connection(request);
    pending->socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    received.connectionEnd = endOfSocket(pending->socket);
    evhttp_connection_set_closecb(connection, closeCallback, pending.get());
    m_pending[received.id] = std::move(pending);
    m_handler.handleRequest(received);
    watchHangUp(received.id);
}

void http_server::watchHangUp(std::uint64_t id)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        // Many requests are answered at once, and need no watch.
        return;
    }
    pending_request &pending = *found->second;
    // EV_CLOSED alone would report orderly ends only: a reset makes a socket readable.
    pending.startHangUpWatch(event_new(m_loop.base(), pending.socket, EV_READ | EV_CLOSED, hangUpCallback, &pending), nullptr);
}

http_response problemResponse(int status, std::string_view title, std::string_view detail)
{
    const nlohmann::json body = {{"type", "about:blank"}, {"status", status}, {"title", title}, {"detail", detail}};
    return {status, "application/problem+json", body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
}

}
