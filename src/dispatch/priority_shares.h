#ifndef AZUREMOOR_DISPATCH_PRIORITY_SHARES_H
#define AZUREMOOR_DISPATCH_PRIORITY_SHARES_H

#include <cstdint>
#include <map>

#include "dispatch/decaying_rate.h"

namespace azuremoor
{

/// Part of the ordered work that a priority with waiting work gets at least.
constexpr double MIN_PRIORITY_SHARE = 0.1;

/**
 * The rates of work of each priority at this entry.
 *
 * Work is estimated processor time, in thousandths of a core times microseconds; rates are in thousandths of a core. Times are on the
 * steady clock.
 */
class priority_shares
{
public:
    priority_shares();

    void recordAdmitted(std::uint32_t priority, double work, steady_time now);
    void recordOrdered(std::uint32_t priority, double work, steady_time now);

    /// Takes back ordered work of a run that did not begin.
    void recordNotBegun(std::uint32_t priority, double work, steady_time now);

    /// Records work of runs that were stopped for a higher priority, and has to be done again.
    void recordLost(double work, steady_time now);

    /// Returns whether the priority has got less than MIN_PRIORITY_SHARE of the recently ordered work. Only meaningful while it has waiting
    /// work.
    bool isBelowMinimum(std::uint32_t priority, steady_time now) const;

    /// Returns the rate of the admitted work of all priorities higher than the given one.
    double admittedRateAbove(std::uint32_t priority, steady_time now) const;

    /// Returns the work that may still be lost to preemption without exceeding its part of the ordered work.
    double remainingLossBudget(steady_time now) const;

private:
    struct rates {
        decaying_rate admitted;
        decaying_rate ordered;
        rates();
    };

    rates &ratesOf(std::uint32_t priority);

    std::map<std::uint32_t, rates> m_rates;
    /// Ordered work of all priorities.
    decaying_rate m_ordered;
    decaying_rate m_orderedOverBudgetPeriod;
    decaying_rate m_lost;
};

}

#endif
