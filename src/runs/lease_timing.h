#ifndef AZUREMOOR_RUNS_LEASE_TIMING_H
#define AZUREMOOR_RUNS_LEASE_TIMING_H

#include "base/time_source.h"

namespace azuremoor
{

/// Durations that limit how long a run can outlive the entry that ordered it.
struct lease_timing {
    /// Allowance for the time that a worker needs to stop a run, and for timer delays.
    static constexpr milliseconds STOP_MARGIN{70};

    /// Length of the worker's lease, counted from its last renewal.
    milliseconds workerLease{600};
    /// Longest lease that a worker grants. It shortens longer ones.
    milliseconds longestWorkerLease{1000};
    /// Length of an entry's lease at an agent, counted from the sending of the last heartbeat that the entry answered.
    milliseconds entryLease{450};
    /// Time after which an unanswered request to the worker has the reply `unknown`.
    milliseconds requestTimeout{85};
    /// Longest interval between two renewals of the worker's lease.
    milliseconds renewalInterval{150};

    /// Returns the longest time for which a run can go on after the last heartbeat that its entry answered was sent, if the worker's clock
    /// is slow by CLOCK_TOLERANCE.
    microseconds maxOrphanedRunTime() const;
};

}

#endif
