#include "dispatch/straggler_policy.h"

#include <array>

namespace azuremoor
{

namespace
{

/// Time without progress after which a run is stalled, provided that the agent's statuses and capacity updates keep arriving.
constexpr microseconds STALL_TIMEOUT = milliseconds(350);

/// Maximum age of the agent's latest status or capacity update at which a run is assessed.
constexpr microseconds MAX_STATUS_AGE = milliseconds(250);

/// A run on a slow worker is moved if its remaining time is more than this multiple of the run time on a median worker.
constexpr double MIN_MOVE_RATIO = 2;

constexpr double FULL_PERCENT = 100;

}

std::string_view runHealthName(run_health health)
{
    constexpr std::array<std::string_view, 4> NAMES = {"sound", "stalled", "slow", "evacuated"};
    return NAMES[static_cast<std::size_t>(health)];
}

run_health
progress_straggler_policy::assessRun(const pooled_worker &worker, const outstanding_run &run, double medianSlowness, steady_time now) const
{
    if (!run.percent || now >= worker.statusReceivedAt + MAX_STATUS_AGE) {
        return run_health::sound;
    }
    if (now >= run.lastProgressAt + STALL_TIMEOUT) {
        return run_health::stalled;
    }
    if (*run.percent == 0 || worker.performance.slowness() < SLOW_WORKER_RATIO * medianSlowness) {
        return run_health::sound;
    }
    const double elapsed = static_cast<double>((now - run.orderedAt).count());
    const double remaining = elapsed * (FULL_PERCENT - *run.percent) / *run.percent;
    const double medianRunTime = static_cast<double>(run.estimate.count()) * medianSlowness;
    return remaining > MIN_MOVE_RATIO * medianRunTime ? run_health::slow : run_health::sound;
}

}
