#include "fleet/freshness_tracker.h"

#include <algorithm>

namespace azuremoor
{

freshness_tracker::freshness_tracker(const time_source &time, microseconds isolationBound)
    : m_time(time)
    , m_isolationBound(isolationBound)
{
}

void freshness_tracker::handleLogRead(steady_time readStart)
{
    m_ownLogRead = std::max(m_ownLogRead, readStart);
    m_countsItself = m_selfIsEntry;
}

void freshness_tracker::handlePong(const std::string &entry, const pong &answer)
{
    const steady_time sent{microseconds(answer.echoedMicroseconds)};
    if (sent > m_time.steadyNow()) {
        return;
    }
    entry_heartbeat &heartbeat = m_heartbeatByEntry[entry];
    if (sent < heartbeat.sent) {
        return;
    }
    heartbeat.sent = sent;
    heartbeat.offset = answer.controlOffset;
    heartbeat.hasLogConfirmation = answer.logAgeMicroseconds >= 0;
    heartbeat.logConfirmation = sent - microseconds(std::max<std::int64_t>(answer.logAgeMicroseconds, 0));
    if (m_selfIsEntry && latestHeartbeatConfirmation(false) != steady_time::min()) {
        m_countsItself = true;
    }
}

void freshness_tracker::setEntries(std::vector<std::string> others, bool selfIsEntry)
{
    m_otherEntries = std::move(others);
    m_selfIsEntry = selfIsEntry;
    std::erase_if(m_heartbeatByEntry, [this](const auto &heartbeat) {
        return std::find(m_otherEntries.begin(), m_otherEntries.end(), heartbeat.first) == m_otherEntries.end();
    });
}

void freshness_tracker::setAppliedOffset(std::uint64_t offset)
{
    m_appliedOffset = offset;
}

steady_time freshness_tracker::freshUntil() const
{
    const steady_time latest = std::max(latestLogConfirmation(), latestHeartbeatConfirmation(m_countsItself));
    return latest == steady_time::min() ? latest : latest + m_isolationBound;
}

bool freshness_tracker::isFresh() const
{
    return m_time.steadyNow() < freshUntil();
}

steady_time freshness_tracker::latestLogConfirmation() const
{
    steady_time latest = m_ownLogRead;
    for (const auto &[name, heartbeat] : m_heartbeatByEntry) {
        if (heartbeat.hasLogConfirmation && heartbeat.offset <= m_appliedOffset) {
            latest = std::max(latest, heartbeat.logConfirmation);
        }
    }
    return latest;
}

steady_time freshness_tracker::latestHeartbeatConfirmation(bool countSelf) const
{
    std::vector<steady_time> confirmationTimes;
    for (const auto &[name, heartbeat] : m_heartbeatByEntry) {
        if (heartbeat.offset <= m_appliedOffset) {
            confirmationTimes.push_back(heartbeat.sent);
        }
    }
    if (countSelf) {
        confirmationTimes.push_back(m_time.steadyNow());
    }
    const std::size_t entries = m_otherEntries.size() + (m_selfIsEntry ? 1 : 0);
    const std::size_t requiredCount = heartbeatQuorum(entries);
    if (entries < 2 || confirmationTimes.size() < requiredCount) {
        return steady_time::min();
    }
    std::sort(confirmationTimes.begin(), confirmationTimes.end(), std::greater<>());
    return confirmationTimes[requiredCount - 1];
}

}
