#ifndef AZUREMOOR_STANDIN_LOG_STANDIN_H
#define AZUREMOOR_STANDIN_LOG_STANDIN_H

#include <deque>
#include <map>
#include <string>

#include "transport/event_loop.h"
#include "transport/http_server.h"

namespace azuremoor
{

/**
 * Takes the place of the platform's log service in tests and in the quick start.
 *
 * Faults are set on request: down, slow, acknowledgements lost after the write, and records trimmed beyond a number.
 */
class log_standin : private http_handler
{
public:
    log_standin(event_loop &loop, const socket_address &listen);

    /// Returns the address that clients can connect to.
    socket_address address() const;

private:
    struct stream {
        std::uint64_t firstOffset = 1;
        std::deque<std::string> records;
    };

    struct faults {
        bool down = false;
        milliseconds slow{0};
        std::uint64_t loseAcknowledgements = 0;
        std::uint64_t retainRecords = 0;
    };

    void handleRequest(const http_request &request) override;
    void abandonRequest(std::uint64_t id, connection_end end) override;
    void append(const http_request &request, stream &target);
    void read(const http_request &request, const stream &target);
    void setFaults(const http_request &request);
    void answer(std::uint64_t id, const http_response &response);
    std::string statistics() const;

    event_loop &m_loop;
    http_server m_http;
    std::map<std::string, stream> m_streams;
    faults m_faults;
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
    std::uint64_t m_reads = 0;
};

}

#endif
