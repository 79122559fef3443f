#include "nodes/log_follower.h"

namespace azuremoor
{

log_follower::log_follower(control_stream_replica &stream, heartbeat_monitor &heartbeats, record_publisher &publisher)
    : m_stream(stream)
    , m_heartbeats(heartbeats)
    , m_publisher(publisher)
{
}

std::uint64_t log_follower::nextOffset() const
{
    return m_stream.state().offset() + 1;
}

bool log_follower::apply(const log_page &page)
{
    if (page.firstOffset > nextOffset() && !adoptSnapshot(page)) {
        return false;
    }
    m_stream.apply(m_stream.state().offset(), page.records);
    const bool more = m_stream.state().offset() + 1 < page.nextOffset;
    if (!more) {
        m_heartbeats.handleLogRead(page.readStart);
        m_publisher.handleLogRead(page.readStart);
    }
    return more;
}

std::uint64_t log_follower::snapshotsUsed() const
{
    return m_snapshotsUsed;
}

bool log_follower::adoptSnapshot(const log_page &page)
{
    for (const log_record &record : page.records) {
        const auto decoded = decodeRecord(record.body);
        const auto *snapshot = decoded ? std::get_if<fleet_snapshot>(&decoded->body) : nullptr;
        const bool covers = snapshot != nullptr && snapshot->coveredOffset + 1 >= page.firstOffset;
        if (covers && m_stream.restoreIfNewer(snapshot->state)) {
            ++m_snapshotsUsed;
            return true;
        }
    }
    return false;
}

}
