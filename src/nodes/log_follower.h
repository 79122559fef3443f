#ifndef AZUREMOOR_NODES_LOG_FOLLOWER_H
#define AZUREMOOR_NODES_LOG_FOLLOWER_H

#include <cstdint>
#include <vector>

#include "fleet/control_stream_replica.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/record_publisher.h"

namespace azuremoor
{

/// What one read of the log returned.
struct log_page {
    /// When the read began, by the local clock.
    steady_time readStart;
    /// Lowest offset that the log still holds; one past the last when it holds none.
    std::uint64_t firstOffset = 1;
    /// Offset that the next record will have.
    std::uint64_t nextOffset = 1;
    std::vector<log_record> records;
};

/**
 * Applies what an entry reads from the log, across trimmed records.
 *
 * When the records that follow the applied ones are gone, it continues from the latest snapshot record that covers the gap; if
 * there is none yet, it applies nothing, and the state comes from a peer.
 */
class log_follower
{
public:
    log_follower(control_stream_replica &stream, heartbeat_monitor &heartbeats, record_publisher &publisher);

    /// Returns the offset to read from next.
    std::uint64_t nextOffset() const;

    /// Applies a page that was read from nextOffset on. Returns whether the log holds more.
    bool apply(const log_page &page);

    /// Returns how often a snapshot had to be used.
    std::uint64_t snapshotsUsed() const;

private:
    bool adoptSnapshot(const log_page &page);

    control_stream_replica &m_stream;
    heartbeat_monitor &m_heartbeats;
    record_publisher &m_publisher;
    std::uint64_t m_snapshotsUsed = 0;
};

}

#endif
