#include "transport/http_client.h"

#include <algorithm>
#include <cerrno>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/util.h>

namespace azuremoor
{

namespace
{

/// Time after which a connection that carries no request is closed.
constexpr timeval IDLE_TIMEOUT{60, 0};

/// Interval in which a limited connection reads its share, short enough that a share does not delay other messages noticeably.
constexpr milliseconds READ_RATE_INTERVAL{10};

evhttp_cmd_type commandOf(const std::string &method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    return EVHTTP_REQ_GET;
}

std::string describe(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "no answer in time";
    case EVREQ_HTTP_EOF:
        return "the connection was closed";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "the answer was too long";
    default:
        return "the connection failed";
    }
}

failure_kind kindOf(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return failure_kind::timed_out;
    case EVREQ_HTTP_EOF:
        return failure_kind::connection_lost;
    default:
        return failure_kind::other;
    }
}

/// Returns how an attempt to connect has failed. The error is that of the socket.
failure connectFailure(short events, int error)
{
    if ((events & BEV_EVENT_TIMEOUT) != 0) {
        return {verdict::not_run, "no connection in time", failure_kind::timed_out};
    }
    if ((events & BEV_EVENT_ERROR) != 0 && error == ECONNREFUSED) {
        return {verdict::not_run, "the connection was refused", failure_kind::refused};
    }
    return {verdict::not_run, "no connection could be opened", failure_kind::connection_lost};
}

}

struct http_client::exchange {
    outgoing_request request;
    callback done;
    /// What went wrong, if anything did.
    failure error;
    steady_time queuedAt;
};

struct http_client::connection {
    http_client *client = nullptr;
    server *target = nullptr;
    evhttp_connection *link = nullptr;
    std::unique_ptr<exchange> work;
    bool written = false;
    bool broken = false;
    /// What evhttp does when the attempt to connect has ended.
    bufferevent_event_cb connectEnd = nullptr;
    void *connectEndArgument = nullptr;
};

struct http_client::server {
    socket_address address;
    std::vector<std::unique_ptr<connection>> connections;
    std::deque<std::unique_ptr<exchange>> waiting;
};

std::optional<http_url> http_url::parse(std::string_view text)
{
    constexpr std::string_view SCHEME = "http://";
    if (!text.starts_with(SCHEME)) {
        return std::nullopt;
    }
    text.remove_prefix(SCHEME.size());
    const std::size_t slash = text.find('/');
    const std::optional<socket_address> address = socket_address::parse(text.substr(0, slash));
    if (!address) {
        return std::nullopt;
    }
    return http_url{*address, slash == std::string_view::npos ? "/" : std::string(text.substr(slash))};
}

http_client::http_client(event_loop &loop, std::size_t maxConnections, milliseconds patience)
    : m_loop(loop)
    , m_maxConnections(maxConnections)
    , m_patience(patience)
    , m_readRate(nullptr, ev_token_bucket_cfg_free)
{
}

http_client::~http_client()
{
    for (auto &[name, target] : m_servers) {
        for (auto &link : target->connections) {
            link->work.reset();
            evhttp_connection_free(link->link);
        }
    }
}

void http_client::send(outgoing_request request, callback done)
{
    const std::string name = request.address.text();
    auto [position, inserted] = m_servers.try_emplace(name);
    if (inserted) {
        position->second = std::make_unique<server>();
        position->second->address = request.address;
    }
    server *target = position->second.get();
    auto work = std::make_unique<exchange>();
    work->request = std::move(request);
    work->done = std::move(done);
    work->queuedAt = m_time.steadyNow();
    target->waiting.push_back(std::move(work));
    m_loop.after(microseconds(0), [this, target] { pump(*target); });
}

void http_client::setMaxConnections(std::size_t maxConnections)
{
    m_maxConnections = std::max<std::size_t>(maxConnections, 1);
}

void http_client::setReadRate(std::uint64_t bytesPerSecond)
{
    std::unique_ptr<ev_token_bucket_cfg, void (*)(ev_token_bucket_cfg *)> rate(nullptr, ev_token_bucket_cfg_free);
    if (bytesPerSecond > 0) {
        const timeval interval{0, microseconds(READ_RATE_INTERVAL).count()};
        const std::uint64_t intervals = seconds(1) / READ_RATE_INTERVAL;
        const std::size_t bytes = std::clamp<std::uint64_t>(bytesPerSecond / intervals, 1, EV_RATE_LIMIT_MAX);
        rate.reset(ev_token_bucket_cfg_new(bytes, bytes, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &interval));
    }
    // The connections refer to the former limit until they have the new one.
    m_readRate.swap(rate);
    for (auto &[name, target] : m_servers) {
        for (auto &link : target->connections) {
            limitReadRate(*link);
        }
    }
}

void http_client::responseCallback(evhttp_request *response, void *argument)
{
    auto *link = static_cast<connection *>(argument);
    if (link->work != nullptr) {
        link->client->finish(*link, response);
    }
}

void http_client::writeCallback(evbuffer *, const evbuffer_cb_info *info, void *argument)
{
    auto *link = static_cast<connection *>(argument);
    link->written = link->written || info->n_deleted > 0;
}

void http_client::pump(server &target)
{
    while (!target.waiting.empty()) {
        const auto idle
            = std::find_if(target.connections.begin(), target.connections.end(), [](const auto &link) { return link->work == nullptr; });
        if (idle == target.connections.end() && target.connections.size() >= m_maxConnections) {
            return;
        }
        const microseconds patienceLeft = target.waiting.front()->queuedAt + m_patience - m_time.steadyNow();
        if (idle == target.connections.end() && !target.connections.empty() && patienceLeft > microseconds(0)) {
            m_loop.after(patienceLeft, [this, &target] { pump(target); });
            return;
        }
        connection &link = idle == target.connections.end() ? connectionFor(target) : **idle;
        std::unique_ptr<exchange> work = std::move(target.waiting.front());
        target.waiting.pop_front();
        start(link, std::move(work));
    }
}

void http_client::start(connection &link, std::unique_ptr<exchange> work)
{
    link.work = std::move(work);
    link.written = false;
    link.broken = false;
    const outgoing_request &outgoing = link.work->request;
    evhttp_request *request = evhttp_request_new(responseCallback, &link);
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void *argument) {
        auto *failed = static_cast<connection *>(argument);
        if (failed->work != nullptr) {
            failed->broken = true;
            if (failed->work->error.reason.empty()) {
                failed->work->error = {verdict::may_have_run, describe(error), kindOf(error)};
            }
        }
    });
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", outgoing.address.text().c_str());
    for (const auto &[name, value] : outgoing.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), outgoing.body.data(), outgoing.body.size());
    const timeval timeout{outgoing.timeout.count() / 1000, (outgoing.timeout.count() % 1000) * 1000};
    evhttp_connection_set_timeout_tv(link.link, &timeout);
    const bool isBegun = evhttp_make_request(link.link, request, commandOf(outgoing.method), outgoing.path.c_str()) == 0;
    if (link.work == nullptr) {
        return;
    }
    if (!isBegun) {
        link.work->error = {verdict::not_run, "the connection failed", failure_kind::connection_lost};
        finish(link, nullptr);
        return;
    }
    watchConnect(link);
}

void http_client::watchConnect(connection &link)
{
    bufferevent *channel = evhttp_connection_get_bufferevent(link.link);
    bufferevent_data_cb readable = nullptr;
    bufferevent_data_cb writable = nullptr;
    bufferevent_getcb(channel, &readable, &writable, &link.connectEnd, &link.connectEndArgument);
    // evhttp awaits nothing but events while it connects, and data as soon as it is connected.
    const bool isConnecting = readable == nullptr && writable == nullptr && link.connectEnd != nullptr;
    if (isConnecting) {
        bufferevent_setcb(channel, nullptr, nullptr, connectCallback, &link);
    }
}

void http_client::connectCallback(bufferevent *channel, short events, void *argument)
{
    const int error = EVUTIL_SOCKET_ERROR();
    auto *link = static_cast<connection *>(argument);
    if ((events & BEV_EVENT_CONNECTED) == 0 && link->work != nullptr) {
        link->work->error = connectFailure(events, error);
    }
    bufferevent_setcb(channel, nullptr, nullptr, link->connectEnd, link->connectEndArgument);
    EVUTIL_SET_SOCKET_ERROR(error);
    link->connectEnd(channel, events, link->connectEndArgument);
}

void http_client::finish(connection &link, evhttp_request *response)
{
    std::unique_ptr<exchange> work = std::move(link.work);
    const int status = response == nullptr ? 0 : evhttp_request_get_response_code(response);
    result_or_failure<incoming_response> result = tl::unexpected(failure{});
    if (status != 0 && !link.broken) {
        evbuffer *input = evhttp_request_get_input_buffer(response);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, body.data(), body.size());
        result = incoming_response{status, std::move(body)};
    } else {
        failure error = std::move(work->error);
        error.outcome = link.written ? verdict::may_have_run : verdict::not_run;
        if (error.reason.empty()) {
            error.reason = "the connection was lost";
            error.kind = failure_kind::connection_lost;
        }
        result = tl::unexpected(std::move(error));
    }
    // The time-out of the request would close the connection while it is idle.
    evhttp_connection_set_timeout_tv(link.link, &IDLE_TIMEOUT);
    server *target = link.target;
    // The connection may still be in use further up in libevent: what follows waits for the next turn of the loop.
    m_loop.after(microseconds(0), [this, target, done = std::move(work->done), result = std::move(result)] {
        done(result);
        pump(*target);
    });
}

void http_client::limitReadRate(connection &link)
{
    bufferevent_set_rate_limit(evhttp_connection_get_bufferevent(link.link), m_readRate.get());
}

http_client::connection &http_client::connectionFor(server &target)
{
    auto link = std::make_unique<connection>();
    link->client = this;
    link->target = &target;
    link->link = evhttp_connection_base_new(m_loop.base(), nullptr, target.address.host.c_str(), target.address.port);
    evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(link->link)), writeCallback, link.get());
    limitReadRate(*link);
    target.connections.push_back(std::move(link));
    return *target.connections.back();
}

}
