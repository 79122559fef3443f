#ifndef AZUREMOOR_DISPATCH_READINESS_POLICY_H
#define AZUREMOOR_DISPATCH_READINESS_POLICY_H

#include <cstddef>
#include <optional>

#include "base/time_source.h"

namespace azuremoor
{

/// The other entries of an entry's data centre that it has heard of lately.
struct data_centre_peers {
    std::size_t known = 0;
    std::size_t ready = 0;
};

/**
 * Decides whether an entry that is short of its processor or link reports to the balancer that it is not ready.
 *
 * The entry is not ready only after it has been short without a break for MIN_STATE_TIME, and then for at least as long again. At least
 * three quarters of the known entries of its data centre, this one included, stay ready; an entry is ready again at once when that
 * no longer holds. When all of them are short, each takes its turn as one of the quarter that is not ready: time without readiness is taken
 * from an account that is filled with a quarter of the elapsed time and is empty at the start.
 */
class readiness_policy
{
public:
    /// Shortest time in either state, and of a shortage before the entry is not ready.
    static constexpr microseconds MIN_STATE_TIME = seconds(2);

    /// Without `isEnabled` the entry is always ready.
    explicit readiness_policy(const time_source &time, bool isEnabled = true);

    /// Records whether the entry is short of a resource now, and what it knows of the others. To be called at least once in 100 ms.
    void update(bool isShort, const data_centre_peers &peers);

    /// Returns whether the entry is ready, as of the latest update.
    bool isReady() const;

private:
    void fillAccount(steady_time now);
    bool mayBeUnready(const data_centre_peers &peers) const;
    void setReady(bool isReady, steady_time now);

    const time_source &m_time;
    bool m_isEnabled;
    bool m_isReady = true;
    steady_time m_updatedAt;
    /// When the present state began.
    steady_time m_changedAt;
    /// When the present shortage began, or nothing.
    std::optional<steady_time> m_shortSince;
    /// Time for which the entry may be not ready, in microseconds.
    double m_account = 0;
};

/// Returns whether the delays show that the processor or the link is short.
bool isShortOfResource(microseconds processorDelay, microseconds linkDelay);

}

#endif
