#ifndef AZUREMOOR_DISPATCH_PEER_CLOCK_H
#define AZUREMOOR_DISPATCH_PEER_CLOCK_H

#include <algorithm>
#include <cstdint>
#include <limits>

#include "base/time_source.h"

namespace azuremoor
{

/// What a message says of the steady clock of another machine.
struct peer_clock {
    /// That clock when the message was made, in microseconds.
    std::int64_t peerMicroseconds = 0;
    /// When the message arrived, on the own clock.
    steady_time receivedAt{};

    /// Returns a time on the peer's clock, in microseconds, that is not later than the given one even if the rates of the clocks differ by
    /// the tolerance. The given time must not be before the arrival of the message.
    std::int64_t earliestAt(steady_time time, double tolerance) const
    {
        // A damaged message may hold any number. The bounds keep the sum from overflowing.
        constexpr std::int64_t MAX_CLOCK = std::numeric_limits<std::int64_t>::max() / 4;
        const auto elapsed = static_cast<double>(std::clamp<std::int64_t>((time - receivedAt).count(), 0, MAX_CLOCK));
        return std::clamp(peerMicroseconds, -MAX_CLOCK, MAX_CLOCK) + static_cast<std::int64_t>(elapsed * (1 - tolerance));
    }
};

}

#endif
