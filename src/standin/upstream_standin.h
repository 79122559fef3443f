#ifndef AZUREMOOR_STANDIN_UPSTREAM_STANDIN_H
#define AZUREMOOR_STANDIN_UPSTREAM_STANDIN_H

#include <map>
#include <random>
#include <string>
#include <vector>

#include "transport/event_loop.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/system_time.h"

namespace azuremoor
{

/// What an upstream stand-in announces, and how it behaves.
struct upstream_standin_settings {
    std::string name;
    /// The agent to announce to; empty for none.
    std::string agent;
    std::map<std::string, std::string> labels;
    std::int64_t slots = 8;
    std::int64_t connections = 60;
    std::int64_t cores = 16;
    std::int64_t memoryMb = 32'768;
    std::int64_t accelerators = 0;
    std::int64_t runMs = 50;
};

/**
 * Takes the place of an upstream in tests and in the quick start.
 *
 * It records every start that it saw. A payload that is a JSON object may set the run time (`run_ms`), a failure (`fail`) or a
 * request that is never answered (`hang`). The answer repeats the task's name and payload, so that crossed answers show.
 */
class upstream_standin : private http_handler
{
public:
    upstream_standin(event_loop &loop, const system_time &time, const socket_address &listen, upstream_standin_settings settings);

    /// Returns the address that clients can connect to.
    socket_address address() const;

    /// Tells the agent that the upstream leaves, then calls back.
    void leave(std::function<void()> done);

private:
    struct seen_start {
        std::string job;
        std::string task;
        std::string key;
        std::int64_t atMilliseconds = 0;
    };

    void handleRequest(const http_request &request) override;
    void abandonRequest(std::uint64_t id, connection_end end) override;
    void run(const http_request &request);
    void announce();
    std::string startsJson() const;

    event_loop &m_loop;
    const system_time &m_time;
    http_server m_http;
    http_client m_client;
    upstream_standin_settings m_settings;
    std::vector<seen_start> m_starts;
    std::uint64_t m_running = 0;
    std::uint64_t m_mostRunning = 0;
    bool m_leaving = false;
};

}

#endif
