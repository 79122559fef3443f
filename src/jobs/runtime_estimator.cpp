#include "jobs/runtime_estimator.h"

namespace azuremoor
{

namespace
{

/// Weight of the latest run time in the exponential moving average.
constexpr double SMOOTHING = 0.05;

}

void runtime_estimator::record(std::uint32_t taskClass, microseconds ran)
{
    const auto value = static_cast<double>(ran.count());
    const auto [position, inserted] = m_means.try_emplace(taskClass, value);
    if (!inserted) {
        position->second += SMOOTHING * (value - position->second);
    }
}

microseconds runtime_estimator::mean(std::uint32_t taskClass) const
{
    const auto found = m_means.find(taskClass);
    return found == m_means.end() ? microseconds(0) : microseconds(static_cast<std::int64_t>(found->second));
}

}
