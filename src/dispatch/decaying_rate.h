#ifndef AZUREMOOR_DISPATCH_DECAYING_RATE_H
#define AZUREMOOR_DISPATCH_DECAYING_RATE_H

#include <algorithm>
#include <cmath>

#include "base/time_source.h"

namespace azuremoor
{

/// An exponentially decaying average rate. Not thread-safe; times are on the steady clock.
class decaying_rate
{
public:
    /// Creates the average with a time constant above 0: an amount has decayed to 1/e of its value after this time.
    explicit decaying_rate(microseconds timeConstant)
        : m_timeConstant(static_cast<double>(timeConstant.count()))
    {
    }

    void add(double amount, steady_time now)
    {
        m_sum = decayed(now) + amount;
        m_updatedAt = now;
    }

    /// Takes back an amount that was added shortly before. The sum does not fall below 0, although the amount may have decayed since.
    void subtract(double amount, steady_time now)
    {
        m_sum = std::max(decayed(now) - amount, 0.0);
        m_updatedAt = now;
    }

    /// Returns the average amount per microsecond.
    double perMicrosecond(steady_time now) const
    {
        return decayed(now) / m_timeConstant;
    }

private:
    double decayed(steady_time now) const
    {
        return m_sum * std::exp(-static_cast<double>((now - m_updatedAt).count()) / m_timeConstant);
    }

    double m_timeConstant;
    double m_sum = 0;
    steady_time m_updatedAt{};
};

}

#endif
