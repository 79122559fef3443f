#include "dispatch/worker_return.h"

#include <algorithm>
#include <cmath>

namespace azuremoor
{

namespace
{

/// Part of the capacity that may be used at once, so that a small task can show that the worker works.
constexpr double MIN_RETURN_PART = 0.05;

std::uint32_t partOf(std::uint32_t amount, double part)
{
    return static_cast<std::uint32_t>(std::floor(amount * part));
}

}

std::optional<return_window> updateReturnWindow(const std::optional<return_window> &current,
                                                const std::optional<steady_time> &returningSince,
                                                steady_time coldUntil,
                                                steady_time now)
{
    if (!returningSince) {
        return std::nullopt;
    }
    const steady_time shortestEnd = *returningSince + RETURN_TIME;
    if (now < shortestEnd) {
        return return_window{*returningSince, std::max(shortestEnd, coldUntil)};
    }
    return current && now < current->end ? current : std::nullopt;
}

double usableReturnPart(const return_window &window, steady_time now)
{
    const double elapsed = static_cast<double>((now - window.began).count());
    const double length = static_cast<double>((window.end - window.began).count());
    return length <= 0 ? 1 : std::clamp(elapsed / length, MIN_RETURN_PART, 1.0);
}

task_shape withheldCapacity(const std::optional<return_window> &window, const task_shape &capacity, steady_time now)
{
    if (!window) {
        return {0, 0, 0};
    }
    const double part = 1 - usableReturnPart(*window, now);
    return {partOf(capacity.milliCores, part), partOf(capacity.memoryMegabytes, part), partOf(capacity.accelerators, part)};
}

}
