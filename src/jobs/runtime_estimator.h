#ifndef AZUREMOOR_JOBS_RUNTIME_ESTIMATOR_H
#define AZUREMOOR_JOBS_RUNTIME_ESTIMATOR_H

#include <cstdint>
#include <map>

#include "base/time_source.h"

namespace azuremoor
{

/// Learns how long tasks of each class run from those that ended. Declared run times are not asked for.
class runtime_estimator
{
public:
    /// Notes that a task of the class ran for the given time.
    void record(std::uint32_t taskClass, microseconds ran);

    /// Returns the smoothed mean run time of the class, or zero while nothing is known.
    microseconds mean(std::uint32_t taskClass) const;

private:
    std::map<std::uint32_t, double> m_means;
};

}

#endif
