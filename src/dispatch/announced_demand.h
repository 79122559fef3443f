#ifndef AZUREMOOR_DISPATCH_ANNOUNCED_DEMAND_H
#define AZUREMOOR_DISPATCH_ANNOUNCED_DEMAND_H

#include <cstdint>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Minimum time between two messages about the demand when its highest priority has risen since the first one.
constexpr microseconds URGENT_DEMAND_INTERVAL = milliseconds(20);

/// Minimum time between two other messages about the demand.
constexpr microseconds DEMAND_INTERVAL = milliseconds(50);

/// Time without demand after which agents are told that there is none.
constexpr microseconds DEMAND_HOLD_TIME = milliseconds(200);

/// The demand is sent again when its amount has changed by more than this factor.
constexpr std::uint64_t DEMAND_CHANGE_FACTOR = 2;

/**
 * The capacity that the waiting tasks of this entry need, as connected agents were last told, and the decision when they are told again.
 *
 * Agents with a demand report free capacity immediately, so that each announcement costs messages in both directions. A considerable
 * change of the amount or any change of the smallest task is announced, at a limited rate. The end of all demand is announced after a
 * delay.
 */
class announced_demand
{
public:
    /// Sets the demand at the given time, which must not decrease from call to call. Returns whether the demand must be announced to the
    /// connected agents now; value() is what they are to be told. A change that is held back is announced by a later call.
    bool update(const room_wish &demand, steady_time now);

    /// Returns the demand that was last announced; no capacity before the first announcement.
    const room_wish &value() const;

private:
    /// Returns whether the demand differs considerably from the announced one.
    bool hasChanged() const;

    /// The demand, which outlasts its end by DEMAND_HOLD_TIME.
    room_wish m_demand;
    room_wish m_announced;
    /// When tasks last waited for capacity.
    steady_time m_lastDemandAt{};
    /// Earliest time at which a demand that is not more urgent may be announced again.
    steady_time m_nextAnnouncementAt{};
};

}

#endif
