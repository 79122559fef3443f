#ifndef AZUREMOOR_DAEMON_PLATFORM_LOG_H
#define AZUREMOOR_DAEMON_PLATFORM_LOG_H

#include <functional>
#include <string>

#include "fleet/record_publisher.h"
#include "nodes/log_follower.h"
#include "transport/http_client.h"

namespace azuremoor
{

/// Speaks the protocol of the platform's log service, for one stream.
class platform_log : public log_outbox
{
public:
    /// Is called with the identifier of a record, and whether its append was acknowledged.
    using append_callback = std::function<void(const std::string &recordId, bool acknowledged)>;

    /// Is called with a page of the stream.
    using page_callback = std::function<void(const log_page &page)>;

    platform_log(
        const time_source &time, http_client &client, const http_url &service, const std::string &stream, append_callback appended);

    void append(const std::string &recordId, const std::string &body) override;

    /// Reads the stream from the offset on. Does nothing while another read is under way, and calls back only when the read succeeds.
    void read(std::uint64_t fromOffset, page_callback done);

    /// Returns the number of reads that failed, and of reads in all.
    std::uint64_t failedReads() const;
    std::uint64_t reads() const;

private:
    const time_source &m_time;
    http_client &m_client;
    http_url m_service;
    std::string m_path;
    append_callback m_appended;
    bool m_reading = false;
    std::uint64_t m_reads = 0;
    std::uint64_t m_failedReads = 0;
};

}

#endif
