#ifndef AZUREMOOR_JOBS_RUNTIME_ESTIMATOR_H
#define AZUREMOOR_JOBS_RUNTIME_ESTIMATOR_H

#include <cstdint>
#include <map>

#include "base/time_source.h"

namespace azuremoor
{

/// Estimates the run time of each class of tasks from the tasks that ended. Callers need not declare run times.
class runtime_estimator
{
public:
    /// Adds the run time of a task, measured from its placement, to the estimate of its class.
    void record(std::uint32_t taskClass, microseconds ran);

    /// Returns the exponentially smoothed mean run time of the class, or 0 if no run time is known. The estimate is kept when the
    /// identifier of the class is assigned to another class.
    microseconds mean(std::uint32_t taskClass) const;

private:
    std::map<std::uint32_t, double> m_means;
};

}

#endif
