#include "runs/capacity_forecast.h"

#include <algorithm>
#include <cmath>

namespace azuremoor
{

namespace
{

/// Weight of the latest run in the learned slowness.
constexpr double SAMPLE_WEIGHT = 0.1;

/// Progress and age from which on the progress counts rather than the estimate. Earlier, its rounding to percents is too coarse.
constexpr std::uint8_t MIN_PERCENT = 5;
constexpr microseconds MIN_AGE = milliseconds(40);

/// A run that takes longer than expected is expected to take this part of its age in addition.
constexpr double OVERDUE_PART = 0.25;

/// Assumed remaining time of a run without an estimate or progress.
constexpr microseconds UNKNOWN_REMAINING_TIME = seconds(1);

}

void capacity_forecast::recordEnd(microseconds estimate, microseconds observed)
{
    if (estimate.count() <= 0 || observed.count() <= 0) {
        return;
    }
    const double sample = std::log(static_cast<double>(observed.count()) / static_cast<double>(estimate.count()));
    m_logSlowness += SAMPLE_WEIGHT * (sample - m_logSlowness);
}

microseconds capacity_forecast::expectedRunTime(microseconds estimate) const
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * std::exp(m_logSlowness)));
}

microseconds capacity_forecast::remainingTime(const forecast_run &run) const
{
    if (run.percent >= MIN_PERCENT && run.elapsed >= MIN_AGE) {
        const microseconds total = run.elapsed * 100 / run.percent;
        // The worker lists the progress at intervals, so it may be out of date.
        const microseconds expected = run.estimate.count() > 0 ? std::min(total, 2 * expectedRunTime(run.estimate)) : total;
        return std::max(expected - run.elapsed, microseconds(0));
    }
    if (run.estimate.count() <= 0) {
        return UNKNOWN_REMAINING_TIME;
    }
    const microseconds overdue(static_cast<std::int64_t>(OVERDUE_PART * static_cast<double>(run.elapsed.count())));
    const microseconds expected = expectedRunTime(run.estimate);
    return run.elapsed < expected ? expected - run.elapsed : overdue;
}

task_shape capacity_forecast::freeAfter(microseconds time, const task_shape &free, std::span<const forecast_run> runs) const
{
    task_shape result = free;
    for (const forecast_run &run : runs) {
        if (remainingTime(run) <= time) {
            result += run.shape;
        }
    }
    return result;
}

std::optional<microseconds>
capacity_forecast::timeUntilFits(const task_shape &shape, const task_shape &free, std::span<const forecast_run> runs) const
{
    task_shape available = free;
    if (shape.fitsInto(available)) {
        return microseconds(0);
    }
    for (const expected_end &end : expectedEnds(runs)) {
        available += end.shape;
        if (shape.fitsInto(available)) {
            return end.remaining;
        }
    }
    return std::nullopt;
}

std::vector<capacity_step> capacity_forecast::steps(const task_shape &free, std::span<const forecast_run> runs) const
{
    const std::vector<expected_end> ends = expectedEnds(runs);
    std::vector<capacity_step> result;
    std::uint32_t available = free.milliCores;
    for (std::size_t index = 0; index < ends.size(); ++index) {
        available += ends[index].shape.milliCores;
        // The steps are at about equal numbers of ends.
        if ((index + 1) * MAX_FORECAST_STEPS / ends.size() > index * MAX_FORECAST_STEPS / ends.size()) {
            const auto remaining = std::chrono::ceil<milliseconds>(ends[index].remaining);
            result.push_back({static_cast<std::uint32_t>(remaining.count()), available});
        }
    }
    return result;
}

std::vector<capacity_forecast::expected_end> capacity_forecast::expectedEnds(std::span<const forecast_run> runs) const
{
    std::vector<expected_end> ends;
    ends.reserve(runs.size());
    for (const forecast_run &run : runs) {
        ends.push_back({remainingTime(run), run.shape});
    }
    std::sort(ends.begin(), ends.end(), [](const expected_end &one, const expected_end &other) { return one.remaining < other.remaining; });
    return ends;
}

}
