#include "dispatch/evacuated_runs.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time from the decision to move a run until its new run begins: the stop has to be confirmed first.
constexpr microseconds MOVE_TIME = milliseconds(60);

/// Progress from which on the rest of a run is extrapolated.
constexpr std::uint8_t MIN_PERCENT = 3;

constexpr double FULL_PERCENT = 100;

double remainingMicroseconds(const pooled_worker &worker, const outstanding_run &run, steady_time now)
{
    const auto elapsed = static_cast<double>((now - run.orderedAt).count());
    if (run.percent && *run.percent >= MIN_PERCENT) {
        return elapsed * (FULL_PERCENT - std::min<double>(*run.percent, FULL_PERCENT)) / *run.percent;
    }
    return std::max(0.0, static_cast<double>(run.estimate.count()) * worker.performance.slowness() - elapsed);
}

}

bool endsSoonerElsewhere(const pooled_worker &worker, const outstanding_run &run, double otherSlowness, steady_time now)
{
    const double elsewhere = static_cast<double>(run.estimate.count()) * otherSlowness + static_cast<double>(MOVE_TIME.count());
    return remainingMicroseconds(worker, run, now) > elsewhere;
}

}
