#ifndef AZUREMOOR_TRANSPORT_HTTP_CLIENT_H
#define AZUREMOOR_TRANSPORT_HTTP_CLIENT_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/verdict.h"
#include "transport/event_loop.h"
#include "transport/socket_address.h"
#include "transport/system_time.h"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct ev_token_bucket_cfg;
struct evhttp_request;

namespace azuremoor
{

/// The parts of an `http://` address with an IP number as its host.
struct http_url {
    socket_address address;
    std::string path = "/";

    /// Returns the parts, or nothing when the text is no such address.
    static std::optional<http_url> parse(std::string_view text);
};

/// A request to an HTTP server.
struct outgoing_request {
    std::string method = "GET";
    socket_address address;
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
    milliseconds timeout{5000};
};

/// An answer of an HTTP server.
struct incoming_response {
    int status = 0;
    std::string body;
};

/**
 * Sends HTTP requests through evhttp, over connections that are kept and used again.
 *
 * A request is reported as not run only when no byte of it was written to a connection; a connection lost later leaves it open
 * whether the server ran it. That a request was not run says nothing about the server, nor about earlier requests: also behind a path that
 * refuses connections, a server may run on.
 */
class http_client
{
public:
    using callback = std::function<void(result_or_failure<incoming_response>)>;

    /// Takes the loop, and the most connections to one server at a time. Further requests wait for one. A request waits that long for a
    /// connection that is in use before another one is made.
    http_client(event_loop &loop, std::size_t maxConnections, milliseconds patience = milliseconds(0));
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends the request and calls back exactly once, never from within this call.
    void send(outgoing_request request, callback done);

    /// Changes the most connections to one server.
    void setMaxConnections(std::size_t maxConnections);

    /// Limits how fast each connection is read, in bytes per second, present connections included. A long answer then leaves room on the
    /// machine's link for others. 0 sets no limit, which is also the initial state.
    void setReadRate(std::uint64_t bytesPerSecond);

private:
    struct exchange;
    struct connection;
    struct server;

    static void responseCallback(evhttp_request *response, void *argument);
    static void writeCallback(evbuffer *, const evbuffer_cb_info *info, void *argument);
    static void connectCallback(bufferevent *channel, short events, void *argument);
    /// Notes how the attempt to connect ends, if one was begun for the request.
    void watchConnect(connection &link);
    void pump(server &target);
    void start(connection &link, std::unique_ptr<exchange> work);
    void finish(connection &link, evhttp_request *response);
    connection &connectionFor(server &target);
    void limitReadRate(connection &link);

    event_loop &m_loop;
    std::size_t m_maxConnections;
    milliseconds m_patience;
    system_time m_time;
    std::map<std::string, std::unique_ptr<server>> m_servers;
    /// The limit of each connection's read rate; null for none.
    std::unique_ptr<ev_token_bucket_cfg, void (*)(ev_token_bucket_cfg *)> m_readRate;
};

}

#endif
