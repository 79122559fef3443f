#include "dispatch/worker_performance.h"

#include <algorithm>
#include <cmath>

namespace azuremoor
{

namespace
{

/// Weights of the latest run in the moving averages.
constexpr double SLOWNESS_WEIGHT = 0.15;
constexpr double FAILURE_WEIGHT = 0.25;

/// Limit on the natural logarithm of one run's slowness, in both directions.
constexpr double MAX_LOG_SLOWNESS = 3;

/// Half-life of the failure rate without new runs. The decay lets a worker that has recovered get tasks again.
constexpr microseconds FAILURE_HALF_LIFE = seconds(2);

}

void worker_performance::recordSuccess(microseconds estimate, microseconds observed, steady_time now)
{
    updateFailureRate(0, now);
    recordSpeed(estimate, observed);
}

void worker_performance::recordSpeed(microseconds estimate, microseconds observed)
{
    if (estimate <= microseconds(0) || observed <= microseconds(0)) {
        return;
    }
    const double ratio = std::log(static_cast<double>(observed.count()) / static_cast<double>(estimate.count()));
    m_logSlowness += SLOWNESS_WEIGHT * (std::clamp(ratio, -MAX_LOG_SLOWNESS, MAX_LOG_SLOWNESS) - m_logSlowness);
    m_slowness = std::exp(m_logSlowness);
}

void worker_performance::recordFailure(steady_time now)
{
    updateFailureRate(1, now);
}

double worker_performance::slowness() const
{
    return m_slowness;
}

double worker_performance::failureRate(steady_time now) const
{
    if (m_failureRate <= 0) {
        return 0;
    }
    const double halfLives = static_cast<double>((now - m_lastOutcomeAt).count()) / static_cast<double>(FAILURE_HALF_LIFE.count());
    return m_failureRate * std::exp2(-std::max(halfLives, 0.0));
}

void worker_performance::updateFailureRate(double failed, steady_time now)
{
    m_failureRate += FAILURE_WEIGHT * (failed - m_failureRate);
    m_lastOutcomeAt = now;
}

}
