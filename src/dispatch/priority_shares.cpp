#include "dispatch/priority_shares.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time constant of the rates by priority.
constexpr microseconds RATE_TIME_CONSTANT = seconds(1);

/// Part of the ordered work that may be lost to preemption, and the time constant over which both are measured.
constexpr double MAX_LOST_SHARE = 0.05;
constexpr microseconds BUDGET_TIME_CONSTANT = seconds(5);

}

priority_shares::rates::rates()
    : admitted(RATE_TIME_CONSTANT)
    , ordered(RATE_TIME_CONSTANT)
{
}

priority_shares::priority_shares()
    : m_ordered(RATE_TIME_CONSTANT)
    , m_orderedOverBudgetPeriod(BUDGET_TIME_CONSTANT)
    , m_lost(BUDGET_TIME_CONSTANT)
{
}

void priority_shares::recordAdmitted(std::uint32_t priority, double work, steady_time now)
{
    ratesOf(priority).admitted.add(work, now);
}

void priority_shares::recordOrdered(std::uint32_t priority, double work, steady_time now)
{
    ratesOf(priority).ordered.add(work, now);
    m_ordered.add(work, now);
    m_orderedOverBudgetPeriod.add(work, now);
}

void priority_shares::recordNotBegun(std::uint32_t priority, double work, steady_time now)
{
    ratesOf(priority).ordered.subtract(work, now);
    m_ordered.subtract(work, now);
    m_orderedOverBudgetPeriod.subtract(work, now);
}

void priority_shares::recordLost(double work, steady_time now)
{
    m_lost.add(work, now);
}

bool priority_shares::isBelowMinimum(std::uint32_t priority, steady_time now) const
{
    const auto found = m_rates.find(priority);
    const double ordered = found == m_rates.end() ? 0 : found->second.ordered.perMicrosecond(now);
    return ordered < MIN_PRIORITY_SHARE * m_ordered.perMicrosecond(now);
}

double priority_shares::admittedRateAbove(std::uint32_t priority, steady_time now) const
{
    double rate = 0;
    for (auto each = m_rates.begin(); each != m_rates.end() && each->first < priority; ++each) {
        rate += each->second.admitted.perMicrosecond(now);
    }
    return rate;
}

double priority_shares::remainingLossBudget(steady_time now) const
{
    const double rate = MAX_LOST_SHARE * m_orderedOverBudgetPeriod.perMicrosecond(now) - m_lost.perMicrosecond(now);
    return std::max(rate, 0.0) * static_cast<double>(BUDGET_TIME_CONSTANT.count());
}

priority_shares::rates &priority_shares::ratesOf(std::uint32_t priority)
{
    return m_rates.try_emplace(priority).first->second;
}

}
