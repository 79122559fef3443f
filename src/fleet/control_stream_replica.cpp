#include "fleet/control_stream_replica.h"

#include <algorithm>

namespace azuremoor
{

control_stream_replica::control_stream_replica(freshness_tracker &freshness, std::string entryName)
    : m_freshness(freshness)
    , m_entryName(std::move(entryName))
{
    updateFreshness();
}

void control_stream_replica::apply(std::uint64_t afterOffset, std::span<const log_record> records)
{
    if (afterOffset > m_state.offset()) {
        return;
    }
    bool changed = false;
    for (const log_record &record : records) {
        if (record.offset <= m_state.offset()) {
            continue;
        }
        const record_effect effect = m_state.apply(record);
        m_invalidRecordCount += effect == record_effect::invalid ? 1 : 0;
        retain(record);
        changed = true;
    }
    if (changed) {
        updateFreshness();
    }
}

bool control_stream_replica::restoreIfNewer(std::string_view encodedState)
{
    if (!m_state.restoreIfNewer(encodedState)) {
        return false;
    }
    m_retainedRecords.clear();
    m_retainedBytes = 0;
    m_retainedAfter = m_state.offset();
    updateFreshness();
    return true;
}

const fleet_state &control_stream_replica::state() const
{
    return m_state;
}

message control_stream_replica::makeUpdate(std::uint64_t fromOffset) const
{
    if (fromOffset <= m_retainedAfter) {
        return control_state{m_state.offset(), m_state.encode()};
    }
    control_records update{fromOffset - 1, {}};
    for (const log_record &record : m_retainedRecords) {
        if (record.offset >= fromOffset) {
            update.records.push_back({record.offset, record.body});
        }
    }
    return update;
}

std::uint64_t control_stream_replica::invalidRecordCount() const
{
    return m_invalidRecordCount;
}

void control_stream_replica::updateFreshness()
{
    std::vector<std::string> entries = m_state.memberNames(member_role::entry);
    const bool selfIsEntry = !m_entryName.empty();
    std::erase(entries, m_entryName);
    m_freshness.setEntries(std::move(entries), selfIsEntry);
    m_freshness.setAppliedOffset(m_state.offset());
}

void control_stream_replica::retain(const log_record &record)
{
    m_retainedRecords.push_back(record);
    m_retainedBytes += record.body.size();
    while (m_retainedRecords.size() > MAX_RETAINED_RECORDS || m_retainedBytes > MAX_RETAINED_BYTES) {
        m_retainedAfter = m_retainedRecords.front().offset;
        m_retainedBytes -= m_retainedRecords.front().body.size();
        m_retainedRecords.pop_front();
    }
}

}
