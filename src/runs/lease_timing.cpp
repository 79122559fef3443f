#include "runs/lease_timing.h"

#include "runs/worker_clock.h"

namespace azuremoor
{

microseconds lease_timing::maxOrphanedRunTime() const
{
    return entryLease + withClockTolerance(workerLease) + STOP_MARGIN;
}

}
