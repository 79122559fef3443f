#ifndef AZUREMOOR_DISPATCH_WORKER_RETURN_H
#define AZUREMOOR_DISPATCH_WORKER_RETURN_H

#include <optional>

#include "base/time_source.h"
#include "messages/job_request.h"

namespace azuremoor
{

/// Shortest time over which the load returns to a worker after the evacuation of its data centre.
constexpr microseconds RETURN_TIME = seconds(5);

/// The time during which load returns to a worker, on the steady clock.
struct return_window {
    /// When the withdrawal of the evacuation became known.
    steady_time began;
    /// When the whole capacity may be used.
    steady_time end;
};

/**
 * Returns a worker's window, given its current one.
 *
 * The window begins with the withdrawal and lasts for RETURN_TIME, or until the worker is not cold any more if that is later. What becomes
 * known of the cold time after RETURN_TIME does not extend it: the worker then restarted for another reason.
 */
std::optional<return_window> updateReturnWindow(const std::optional<return_window> &current,
                                                const std::optional<steady_time> &returningSince,
                                                steady_time coldUntil,
                                                steady_time now);

/// Returns the part of the capacity that may be used during the window, above 0 and at most 1. It rises linearly.
double usableReturnPart(const return_window &window, steady_time now);

/// Returns the capacity that is to be left unused during the window; nothing of it without a window.
task_shape withheldCapacity(const std::optional<return_window> &window, const task_shape &capacity, steady_time now);

}

#endif
