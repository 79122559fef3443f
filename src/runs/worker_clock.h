#ifndef AZUREMOOR_RUNS_WORKER_CLOCK_H
#define AZUREMOOR_RUNS_WORKER_CLOCK_H

#include "runs/worker_client.h"

namespace azuremoor
{

/// Fraction by which a worker's clock may run slow or fast.
constexpr double CLOCK_TOLERANCE = 0.02;

/// Returns the longest real time that a duration on a worker's clock can take, rounded up.
milliseconds withClockTolerance(milliseconds duration);

/// Estimates a worker's clock from the times in its answers, and tracks the lease whose deadline is on that clock.
class worker_clock
{
public:
    /// Creates an estimate from the first sample, which has just arrived.
    worker_clock(const time_source &time, worker_milliseconds sample);

    /// Adds a sample that has just arrived. Ignores samples that are not later than the last one.
    void addSample(worker_milliseconds sample);

    /// Returns a lower estimate of the clock's current time: the last sample, already old by its transit time, plus the time since.
    worker_milliseconds now() const;

    /// Extends the lease to the deadline of a start or a renewal. Earlier deadlines have no effect.
    void extendLease(worker_milliseconds deadline);

    /// Returns the end of the lease on the worker's clock, which is the latest deadline.
    worker_milliseconds leaseEnd() const;

    /// Returns the local time at which the lease has certainly ended, even if the clock is slow within the tolerance.
    steady_time latestLeaseEnd() const;

private:
    const time_source &m_time;
    worker_milliseconds m_sample;
    steady_time m_sampledAt;
    worker_milliseconds m_leaseEnd = 0;
};

}

#endif
