#ifndef AZUREMOOR_TRANSPORT_HTTP_SERVER_H
#define AZUREMOOR_TRANSPORT_HTTP_SERVER_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "transport/connection_end.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_bound_socket;
struct evhttp_request;

namespace azuremoor
{

/// Orders the names of headers without regard to case.
struct header_name_less {
    bool operator()(const std::string &first, const std::string &second) const;
};

/// A request of an HTTP client.
struct http_request {
    /// Names the request until it is answered.
    std::uint64_t id = 0;
    std::string method;
    /// Path without the query, percent-decoded.
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string, header_name_less> headers;
    std::string body;
    /// IP address of the client's end of the connection; empty if it is not known.
    std::string clientAddress;
    /// How the client had ended the connection when the request was read. It may have sent the request again on another one. A request that
    /// is left unanswered is then abandoned in the next turn of the loop.
    connection_end connectionEnd = connection_end::none;

    /// Returns the value of the header, or an empty text.
    std::string header(const std::string &name) const;

    /// Returns the value of the query parameter, or the given one when it is absent.
    std::string queryOr(const std::string &key, const std::string &absent) const;
};

/// An answer to an HTTP client.
struct http_response {
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::map<std::string, std::string> headers;
};

/// Handles the requests of an HTTP server.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// Handles a request, which is answered by http_server::answer, at once or later.
    virtual void handleRequest(const http_request &request) = 0;

    /// The client of an unanswered request has ended the connection, in the given way.
    virtual void abandonRequest(std::uint64_t id, connection_end end) = 0;
};

/// Bounds of an HTTP server, and its priority in the event loop.
struct http_limits {
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    std::size_t maxHeaderBytes = 16 * 1024;
    int idleTimeoutSeconds = 30;
    /// Priority with which requests are read, from the second one of a connection on.
    loop_priority readPriority = loop_priority::normal;
};

/// Serves HTTP through evhttp. Requests are answered in any order.
class http_server
{
public:
    /// Listens on the address. Throws std::runtime_error when the address cannot be used.
    http_server(event_loop &loop, const socket_address &listen, http_limits limits, http_handler &handler);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// Returns the address that clients can connect to.
    socket_address address() const;

    /// Answers the request. Does nothing when its client hung up.
    void answer(std::uint64_t id, const http_response &response);

    /// Returns how the connection of an unanswered request has ended, which its handler may not have been told yet. The connection of a
    /// request that is answered or not known counts as closed.
    connection_end connectionEndOf(std::uint64_t id) const;

    /// Stops accepting connections. Requests that were read are still answered.
    void closeListener();

    /// Returns the number of requests that are unanswered, or whose answer has not been written to the connection yet.
    std::size_t pending() const;

private:
    struct pending_request;

    static void requestCallback(evhttp_request *request, void *argument);
    static void closeCallback(evhttp_connection *connection, void *argument);
    static void closeAnsweredCallback(evhttp_connection *connection, void *argument);
    static void hangUpCallback(int, short, void *argument);
    static void completeCallback(evhttp_request *request, void *argument);
    void receive(evhttp_request *request);
    /// Notices it when the client of the request, if that is still unanswered, ends the connection.
    void watchHangUp(std::uint64_t id);
    void abandon(std::uint64_t id, connection_end end);

    event_loop &m_loop;
    http_handler &m_handler;
    loop_priority m_readPriority;
    evhttp *m_http;
    evhttp_bound_socket *m_socket = nullptr;
    socket_address m_address;
    /// Unanswered requests.
    std::map<std::uint64_t, std::unique_ptr<pending_request>> m_pending;
    /// Requests whose answers are being written.
    std::map<std::uint64_t, std::unique_ptr<pending_request>> m_answered;
    std::uint64_t m_nextId = 1;
};

/// Returns a problem document, the form of all errors towards callers and operators.
http_response problemResponse(int status, std::string_view title, std::string_view detail);

}

#endif
