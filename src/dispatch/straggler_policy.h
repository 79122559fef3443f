#ifndef AZUREMOOR_DISPATCH_STRAGGLER_POLICY_H
#define AZUREMOOR_DISPATCH_STRAGGLER_POLICY_H

#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// What is to be done with a run that is under way.
enum class run_health : std::uint8_t {
    sound,
    /// Its progress stands still: the worker hangs.
    stalled,
    /// Its worker is far slower than the others, and another would be done sooner from the start.
    slow,
};

/// Returns the name of the health, for logs.
std::string_view runHealthName(run_health health);

/// Finds runs that are better started again on another worker.
class straggler_policy
{
public:
    virtual ~straggler_policy() = default;

    /// Judges a run on a worker. The slowness is the usual one of all workers.
    virtual run_health
    assessRun(const pooled_worker &worker, const pooled_worker::outstanding_run &run, double medianSlowness, steady_time now) const = 0;
};

/// Judges by the progress that workers report.
class progress_straggler_policy : public straggler_policy
{
public:
    run_health assessRun(const pooled_worker &worker,
                         const pooled_worker::outstanding_run &run,
                         double medianSlowness,
                         steady_time now) const override;
};

}

#endif
