#ifndef AZUREMOOR_RUNS_CAPACITY_FORECAST_H
#define AZUREMOOR_RUNS_CAPACITY_FORECAST_H

#include <optional>
#include <span>
#include <vector>

#include "base/time_source.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/// A run that uses capacity of the worker.
struct forecast_run {
    task_shape shape;
    /// The entry's estimate of the run time on an average worker; 0 if it is not known.
    microseconds estimate{0};
    /// Time since the run was ordered.
    microseconds elapsed{0};
    /// Share of the work that is done, in percent, when the worker last listed the run.
    std::uint8_t percent = 0;
};

/// Forecasts when capacity becomes free on the worker, from the estimates and the progress of its runs and from its learned speed.
class capacity_forecast
{
public:
    /// Records a successful run. Ignored unless both times are above 0.
    void recordEnd(microseconds estimate, microseconds observed);

    /// Returns the expected run time of a task on this worker.
    microseconds expectedRunTime(microseconds estimate) const;

    /// Returns the expected time until the run ends. A run without an estimate or progress is not expected to end soon.
    microseconds remainingTime(const forecast_run &run) const;

    /// Returns the capacity that is expected to be free after the given time.
    task_shape freeAfter(microseconds time, const task_shape &free, std::span<const forecast_run> runs) const;

    /// Returns the expected time until the shape fits into the free capacity; nothing if it does not even when all runs have ended.
    std::optional<microseconds> timeUntilFits(const task_shape &shape, const task_shape &free, std::span<const forecast_run> runs) const;

    /// Returns the forecast in at most MAX_FORECAST_STEPS steps. Ends that are left out count with the next step.
    std::vector<capacity_step> steps(const task_shape &free, std::span<const forecast_run> runs) const;

private:
    struct expected_end {
        microseconds remaining{0};
        task_shape shape;
    };
    std::vector<expected_end> expectedEnds(std::span<const forecast_run> runs) const;

    /// Logarithm of the moving geometric mean of the ratios of observed to estimated run time.
    double m_logSlowness = 0;
};

}

#endif
