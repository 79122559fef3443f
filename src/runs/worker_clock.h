#ifndef AZUREMOOR_RUNS_WORKER_CLOCK_H
#define AZUREMOOR_RUNS_WORKER_CLOCK_H

#include <set>

#include "runs/worker_client.h"

namespace azuremoor
{

/// Fraction by which a duration on a worker's clock may be longer or shorter in real time.
constexpr double CLOCK_TOLERANCE = 0.02;

/// Returns the duration times 1 + CLOCK_TOLERANCE, rounded down to milliseconds, plus 1 ms. This is an upper bound of the real
/// time that the duration takes on a worker's clock within the tolerance.
milliseconds withClockTolerance(milliseconds duration);

/// Estimates a worker's clock from the times in its answers, and tracks the lease whose deadline is on that clock.
class worker_clock
{
public:
    /// Creates an estimate from the first sample, which has just arrived.
    worker_clock(const time_source &time, worker_milliseconds sample);

    /// Adds a sample that has just arrived. Ignores samples that are not later than the last one.
    void addSample(worker_milliseconds sample);

    /// Returns an estimate of the clock's current time: the last sample plus the local time since it arrived. The transit time of the
    /// sample makes the estimate lower, and a slow clock makes it higher.
    worker_milliseconds now() const;

    /// Extends the lease to a deadline that the worker may have received. Earlier deadlines have no effect.
    void extendLease(worker_milliseconds deadline);

    /// Extends the lease to the deadline of a request that is sent, until endRequest() is called with the same deadline.
    void beginRequest(worker_milliseconds deadline);

    /// Ends a request. If it has certainly not reached the worker, its deadline extends the lease no longer.
    void endRequest(worker_milliseconds deadline, bool mayHaveArrived);

    /// Returns the end of the lease on the worker's clock, which is the latest deadline.
    worker_milliseconds leaseEnd() const;

    /// Returns the latest deadline without those of requests under way. A request with this one extends the lease at no worker that has it.
    worker_milliseconds receivedLeaseEnd() const;

    /// Returns the local time at which the lease has certainly ended, even if the clock is slow within the tolerance.
    steady_time latestLeaseEnd() const;

private:
    const time_source &m_time;
    worker_milliseconds m_sample;
    steady_time m_sampledAt;
    /// Latest deadline of the requests that may have reached the worker, without those that are under way.
    worker_milliseconds m_leaseEnd = 0;
    std::multiset<worker_milliseconds> m_deadlinesUnderWay;
};

}

#endif
