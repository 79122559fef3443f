#ifndef AZUREMOOR_DISPATCH_BENCHMARKS_SINGLE_QUEUE_H
#define AZUREMOOR_DISPATCH_BENCHMARKS_SINGLE_QUEUE_H

#include "dispatch/benchmarks/benchmark_load.h"
#include "dispatch/benchmarks/benchmark_result.h"

namespace azuremoor::benchmarks
{

/**
 * Runs the load through one queue for all workers that knows all run times and all free capacity, without any delay.
 *
 * Jobs start by their latest start, and a later one starts before an earlier one that has to wait. All tasks of a job start together, once
 * each of them ends in time, on the fastest worker with best fit among equal ones. A job is refused when that has become impossible. This
 * shows what knowledge without delay is worth; it is no proven optimum.
 */
benchmark_result runSingleQueue(const benchmark_load &load);

}

#endif
