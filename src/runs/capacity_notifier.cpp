#include "runs/capacity_notifier.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time that a notified session has to order runs before the next one is notified of the same capacity.
constexpr milliseconds EXCLUSIVE_PERIOD{8};

}

capacity_notifier::capacity_notifier(const time_source &time)
    : m_time(time)
{
}

void capacity_notifier::add(const std::string &session)
{
    m_sessions[session] = {m_revision, {}, minimumWeightedTurns()};
}

void capacity_notifier::remove(const std::string &session)
{
    m_sessions.erase(session);
}

void capacity_notifier::recordCapacityChange()
{
    ++m_revision;
}

void capacity_notifier::recordNotified(const std::string &session)
{
    const auto found = m_sessions.find(session);
    if (found != m_sessions.end()) {
        found->second.notifiedRevision = m_revision;
    }
}

void capacity_notifier::setDemand(const std::string &session, const room_wish &cpuDemand)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end()) {
        return;
    }
    if (found->second.cpuDemand.milliCores == 0) {
        // A session that had no demand gets no extra turns later for that time.
        found->second.weightedTurns = std::max(found->second.weightedTurns, minimumWeightedTurns());
    }
    found->second.cpuDemand = cpuDemand;
}

bool capacity_notifier::hasDemand() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &each) { return each.second.cpuDemand.milliCores > 0; });
}

bool capacity_notifier::needsUpdate(const std::string &session) const
{
    const auto found = m_sessions.find(session);
    return found != m_sessions.end() && found->second.notifiedRevision != m_revision;
}

std::optional<std::string> capacity_notifier::selectEntryToNotify(std::uint32_t freeMilliCores)
{
    const steady_time now = m_time.steadyNow();
    if (m_exclusiveRevision == m_revision && now < m_exclusiveUntil) {
        return std::nullopt;
    }
    auto next = m_sessions.end();
    for (auto each = m_sessions.begin(); each != m_sessions.end(); ++each) {
        const room_wish &cpuDemand = each->second.cpuDemand;
        const bool isEligible
            = cpuDemand.milliCores > 0 && cpuDemand.smallestMilliCores <= freeMilliCores && each->second.notifiedRevision != m_revision;
        if (isEligible && (next == m_sessions.end() || each->second.weightedTurns < next->second.weightedTurns)) {
            next = each;
        }
    }
    if (next == m_sessions.end()) {
        return std::nullopt;
    }
    next->second.weightedTurns += 1.0 / static_cast<double>(next->second.cpuDemand.milliCores);
    m_exclusiveRevision = m_revision;
    m_exclusiveUntil = now + EXCLUSIVE_PERIOD;
    return next->first;
}

double capacity_notifier::minimumWeightedTurns() const
{
    double minimum = 0;
    bool isFirst = true;
    for (const auto &[session, each] : m_sessions) {
        if (each.cpuDemand.milliCores > 0 && (isFirst || each.weightedTurns < minimum)) {
            minimum = each.weightedTurns;
            isFirst = false;
        }
    }
    return minimum;
}

}
