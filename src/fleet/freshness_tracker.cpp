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
    m_latestLogReadStart = std::max(m_latestLogReadStart, readStart);
    m_selfCounts = m_selfIsEntry;
}

void freshness_tracker::handlePong(const std::string &entry, const pong &answer)
{
    const steady_time sent{microseconds(answer.echoedMicroseconds)};
    if (sent > m_time.steadyNow()) {
        return;
    }
    received_pong &latestPong = m_latestPongs[entry];
    if (sent < latestPong.sent) {
        return;
    }
    latestPong.sent = sent;
    latestPong.offset = answer.controlOffset;
    latestPong.hasLogConfirmation = answer.logAgeMicroseconds >= 0;
    latestPong.logConfirmation = sent - microseconds(std::max<std::int64_t>(answer.logAgeMicroseconds, 0));
    if (m_selfIsEntry && latestHeartbeatConfirmation(false) != steady_time::min()) {
        m_selfCounts = true;
    }
}

void freshness_tracker::setEntries(std::vector<std::string> others, bool selfIsEntry)
{
    m_otherEntries = std::move(others);
    m_selfIsEntry = selfIsEntry;
    std::erase_if(m_latestPongs, [this](const auto &latestPong) {
        return std::find(m_otherEntries.begin(), m_otherEntries.end(), latestPong.first) == m_otherEntries.end();
    });
}

void freshness_tracker::setAppliedOffset(std::uint64_t offset)
{
    m_appliedOffset = offset;
}

steady_time freshness_tracker::freshUntil() const
{
    const steady_time latest = std::max(latestLogConfirmation(), latestHeartbeatConfirmation(m_selfCounts));
    return latest == steady_time::min() ? latest : latest + m_isolationBound;
}

bool freshness_tracker::isFresh() const
{
    return m_time.steadyNow() < freshUntil();
}

steady_time freshness_tracker::latestLogConfirmation() const
{
    steady_time latest = m_latestLogReadStart;
    for (const auto &[name, latestPong] : m_latestPongs) {
        if (latestPong.hasLogConfirmation && latestPong.offset <= m_appliedOffset) {
            latest = std::max(latest, latestPong.logConfirmation);
        }
    }
    return latest;
}

steady_time freshness_tracker::latestHeartbeatConfirmation(bool countSelf) const
{
    std::vector<steady_time> confirmationTimes;
    for (const auto &[name, latestPong] : m_latestPongs) {
        if (latestPong.offset <= m_appliedOffset) {
            confirmationTimes.push_back(latestPong.sent);
        }
    }
    if (countSelf) {
        confirmationTimes.push_back(m_time.steadyNow());
    }
    const std::size_t entryCount = m_otherEntries.size() + (m_selfIsEntry ? 1 : 0);
    const std::size_t requiredCount = heartbeatQuorum(entryCount);
    if (entryCount < 2 || confirmationTimes.size() < requiredCount) {
        return steady_time::min();
    }
    std::sort(confirmationTimes.begin(), confirmationTimes.end(), std::greater<>());
    return confirmationTimes[requiredCount - 1];
}

}
