#ifndef AZUREMOOR_DISPATCH_EVACUATED_RUNS_H
#define AZUREMOOR_DISPATCH_EVACUATED_RUNS_H

#include "dispatch/worker_pool.h"

namespace azuremoor
{

/**
 * Returns whether a new run on another worker is expected to end before the run in an evacuated data centre.
 *
 * The rest of the run follows from its progress, or from its estimate before it has made any. The other worker's slowness is that of
 * `worker_performance::slowness`. The time to stop the run and to order the new one is taken into account.
 */
bool endsSoonerElsewhere(const pooled_worker &worker, const outstanding_run &run, double otherSlowness, steady_time now);

}

#endif
