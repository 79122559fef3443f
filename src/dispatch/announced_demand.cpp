#include "dispatch/announced_demand.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Returns whether the demand of any priority is more than DEMAND_CHANGE_FACTOR times that of the other one.
bool hasManyTimes(const room_wish &demand, const room_wish &other)
{
    return std::ranges::any_of(demand.byPriority, [&other](const priority_demand &row) {
        return row.milliCores > DEMAND_CHANGE_FACTOR * other.milliCoresOf(row.priority);
    });
}

}

bool announced_demand::update(const room_wish &demand, steady_time now)
{
    if (demand.milliCores > 0) {
        m_lastDemandAt = now;
        m_demand = demand;
    } else if (now >= m_lastDemandAt + DEMAND_HOLD_TIME) {
        m_demand = demand;
    }
    // Until agents hear of more urgent work, they offer capacity to other entries.
    const bool isMoreUrgent = m_demand.milliCores > 0 && m_demand.highestPriority() < m_announced.highestPriority();
    const microseconds wait = isMoreUrgent ? DEMAND_INTERVAL - URGENT_DEMAND_INTERVAL : microseconds(0);
    if (!hasChanged() || now + wait < m_nextAnnouncementAt) {
        return false;
    }
    m_nextAnnouncementAt = now + DEMAND_INTERVAL;
    m_announced = m_demand;
    return true;
}

const room_wish &announced_demand::value() const
{
    return m_announced;
}

bool announced_demand::hasChanged() const
{
    return (m_demand.milliCores > 0) != (m_announced.milliCores > 0) || m_demand.smallestMilliCores != m_announced.smallestMilliCores
        || m_demand.highestPriority() != m_announced.highestPriority() || hasManyTimes(m_demand, m_announced)
        || m_demand.milliCores > DEMAND_CHANGE_FACTOR * m_announced.milliCores
        || DEMAND_CHANGE_FACTOR * m_demand.milliCores < m_announced.milliCores;
}

}
