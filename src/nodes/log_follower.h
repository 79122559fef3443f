#ifndef AZUREMOOR_NODES_LOG_FOLLOWER_H
#define AZUREMOOR_NODES_LOG_FOLLOWER_H

#include <cstdint>
#include <vector>

#include "fleet/control_stream_replica.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/record_publisher.h"

namespace azuremoor
{

/// Result of a read from the log.
struct log_page {
    /// Time on the local steady clock at which the read started.
    steady_time readStart;
    /// Lowest offset that the log still contains; equal to `nextOffset` if the log is empty.
    std::uint64_t firstOffset = 1;
    /// Offset that the next appended record will get.
    std::uint64_t nextOffset = 1;
    std::vector<log_record> records;
};

/**
 * Applies records that a process reads from the log to its fleet state, also if older records have been trimmed.
 *
 * If the records that follow the last applied one have been trimmed, it continues from the first snapshot record in the page that covers
 * the gap and can be restored. If there is none, it applies nothing, and the process gets the state from a peer instead.
 */
class log_follower
{
public:
    log_follower(control_stream_replica &stream, heartbeat_monitor &heartbeats, record_publisher &publisher);

    /// Returns the offset at which the next read starts.
    std::uint64_t nextOffset() const;

    /// Applies a page that was read from nextOffset() on. Returns whether the log contains more records; false if the page was not applied.
    bool apply(const log_page &page);

    /// Returns the number of snapshots that were loaded to skip trimmed records.
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
