#ifndef AZUREMOOR_DISPATCH_DECAYING_RATE_H
#define AZUREMOOR_DISPATCH_DECAYING_RATE_H

#include <cmath>

#include "base/time_source.h"

namespace azuremoor
{

/// An average rate of what happened lately; older amounts count exponentially less.
class decaying_rate
{
public:
    /// Takes the time after which an amount counts 1/e of what it did.
    explicit decaying_rate(microseconds timeConstant)
        : m_timeConstant(static_cast<double>(timeConstant.count()))
    {
    }

    /// Adds an amount.
    void add(double amount, steady_time now)
    {
        m_sum = decayed(now) + amount;
        m_updatedAt = now;
    }

    /// Returns the amount per microsecond.
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
