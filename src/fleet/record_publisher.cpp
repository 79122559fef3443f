#include "fleet/record_publisher.h"

namespace azuremoor
{

namespace
{

/// Time after which a record is in doubt if its append is unanswered, or acknowledged but not read back.
constexpr milliseconds APPEND_TIMEOUT{1500};

}

record_publisher::record_publisher(const time_source &time, const fleet_state &state, log_outbox &log)
    : m_time(time)
    , m_state(state)
    , m_log(log)
{
}

void record_publisher::publish(const fleet_record &record)
{
    const auto [position, inserted] = m_pending.try_emplace(record.id, pending_record{encodeRecord(record), append_stage::unsent, {}, {}});
    if (inserted) {
        send(record.id, position->second);
    }
}

void record_publisher::handleAppendResult(const std::string &recordId, bool acknowledged)
{
    const auto found = m_pending.find(recordId);
    if (found == m_pending.end() || found->second.stage != append_stage::sent) {
        return;
    }
    if (acknowledged) {
        found->second.stage = append_stage::acknowledged;
        found->second.deadline = m_time.steadyNow() + APPEND_TIMEOUT;
        return;
    }
    markInDoubt(found->second);
}

void record_publisher::handleLogRead(steady_time readStart)
{
    for (auto &[id, record] : m_pending) {
        const bool isLogReadConclusive = record.stage == append_stage::in_doubt && readStart > record.inDoubtSince;
        if (isLogReadConclusive && !m_state.effectOf(id)) {
            send(id, record);
        }
    }
}

void record_publisher::tick()
{
    std::erase_if(m_pending, [this](const auto &record) { return m_state.effectOf(record.first).has_value(); });
    for (auto &[id, record] : m_pending) {
        if (record.stage != append_stage::in_doubt && m_time.steadyNow() >= record.deadline) {
            markInDoubt(record);
        }
    }
}

bool record_publisher::isPending(const std::string &recordId) const
{
    return m_pending.contains(recordId) && !m_state.effectOf(recordId);
}

std::size_t record_publisher::pendingCount() const
{
    return m_pending.size();
}

std::uint64_t record_publisher::appendCount() const
{
    return m_appends;
}

void record_publisher::send(const std::string &recordId, pending_record &record)
{
    record.stage = append_stage::sent;
    record.deadline = m_time.steadyNow() + APPEND_TIMEOUT;
    ++m_appends;
    m_log.append(recordId, record.body);
}

void record_publisher::markInDoubt(pending_record &record)
{
    record.stage = append_stage::in_doubt;
    record.inDoubtSince = m_time.steadyNow();
}

}
