#ifndef AZUREMOOR_DISPATCH_STRAGGLER_POLICY_H
#define AZUREMOOR_DISPATCH_STRAGGLER_POLICY_H

#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// Assessment of a run in progress.
enum class run_health : std::uint8_t {
    sound,
    /// The run makes no progress because its worker hangs.
    stalled,
    /// Its worker is much slower than the others, and a new run on another worker is expected to end sooner.
    slow,
    /// Its worker is in an evacuated data centre, and a new run on another worker is expected to end sooner.
    evacuated,
};

/// Returns the name that journals use for the health.
std::string_view runHealthName(run_health health);

/// Finds stragglers: stalled or slow runs, which should be stopped and started again on another worker.
class straggler_policy
{
public:
    virtual ~straggler_policy() = default;

    /// Assesses a run on the worker. The median slowness is that of all usable workers; see `worker_performance::slowness`.
    virtual run_health assessRun(const pooled_worker &worker, const outstanding_run &run, double medianSlowness, steady_time now) const = 0;
};

/// Assesses runs by the progress that agents report.
class progress_straggler_policy : public straggler_policy
{
public:
    run_health assessRun(const pooled_worker &worker, const outstanding_run &run, double medianSlowness, steady_time now) const override;
};

}

#endif
