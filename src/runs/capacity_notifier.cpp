#include "runs/capacity_notifier.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time that a notified entry has to order runs before the next entry is notified of the same capacity.
constexpr milliseconds EXCLUSIVE_PERIOD{8};

}

capacity_notifier::capacity_notifier(const time_source &time)
    : m_time(time)
{
}

void capacity_notifier::add(const std::string &entry)
{
    m_subscribers[entry] = {m_revision, {}, minimumWeightedTurns()};
}

void capacity_notifier::remove(const std::string &entry)
{
    m_subscribers.erase(entry);
}

void capacity_notifier::recordCapacityChange()
{
    ++m_revision;
}

void capacity_notifier::recordNotified(const std::string &entry)
{
    const auto found = m_subscribers.find(entry);
    if (found != m_subscribers.end()) {
        found->second.notifiedRevision = m_revision;
    }
}

void capacity_notifier::setDemand(const std::string &entry, const room_wish &cpuDemand)
{
    const auto found = m_subscribers.find(entry);
    if (found == m_subscribers.end()) {
        return;
    }
    if (found->second.cpuDemand.milliCores == 0) {
        // An entry that had no demand gets no extra turns later for that time.
        found->second.weightedTurns = std::max(found->second.weightedTurns, minimumWeightedTurns());
    }
    found->second.cpuDemand = cpuDemand;
}

bool capacity_notifier::hasDemand() const
{
    return std::any_of(m_subscribers.begin(), m_subscribers.end(), [](const auto &each) { return each.second.cpuDemand.milliCores > 0; });
}

bool capacity_notifier::needsUpdate(const std::string &entry) const
{
    const auto found = m_subscribers.find(entry);
    return found != m_subscribers.end() && found->second.notifiedRevision != m_revision;
}

std::optional<std::string> capacity_notifier::selectEntryToNotify(std::uint32_t freeMilliCores)
{
    const steady_time now = m_time.steadyNow();
    if (m_exclusiveRevision == m_revision && now < m_exclusiveUntil) {
        return std::nullopt;
    }
    auto next = m_subscribers.end();
    for (auto each = m_subscribers.begin(); each != m_subscribers.end(); ++each) {
        const room_wish &cpuDemand = each->second.cpuDemand;
        const bool isEligible
            = cpuDemand.milliCores > 0 && cpuDemand.smallestMilliCores <= freeMilliCores && each->second.notifiedRevision != m_revision;
        if (isEligible && (next == m_subscribers.end() || each->second.weightedTurns < next->second.weightedTurns)) {
            next = each;
        }
    }
    if (next == m_subscribers.end()) {
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
    for (const auto &[entry, each] : m_subscribers) {
        if (each.cpuDemand.milliCores > 0 && (isFirst || each.weightedTurns < minimum)) {
            minimum = each.weightedTurns;
            isFirst = false;
        }
    }
    return minimum;
}

}
