#ifndef AZUREMOOR_DISPATCH_ORIGIN_AGES_H
#define AZUREMOOR_DISPATCH_ORIGIN_AGES_H

#include <vector>

#include "dispatch/origin_lease_source.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// Returns upper bounds of the ages, at a time on the own clock, of the last signs of life of the origins that have runs at the worker. An
/// origin whose jobs have been ended is left out, so that its lease at the agent ends.
std::vector<origin_age> originAges(const pooled_worker &worker, const origin_lease_source &origins, steady_time at);

}

#endif
