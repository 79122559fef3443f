#ifndef AZUREMOOR_RUNS_WORKER_CLOCK_H
#define AZUREMOOR_RUNS_WORKER_CLOCK_H

#include "runs/worker_client.h"

namespace azuremoor
{

/// A worker's clock may be this much slow or fast.
constexpr double CLOCK_TOLERANCE = 0.02;

/// Returns the longest time that a duration on a worker's clock can take, rounded up.
milliseconds withClockTolerance(milliseconds duration);

/// What is known of a worker's clock, from the answers that carried it, and of the lease that is counted on it.
class worker_clock
{
public:
    /// Takes the first sample.
    worker_clock(const time_source &time, worker_milliseconds sample);

    /// Notes a sample that has just arrived. One that is not later than the latest says nothing.
    void addSample(worker_milliseconds sample);

    /// Returns what the clock shows now at least.
    worker_milliseconds now() const;

    /// Notes the deadline of an order or a renewal, which may extend the lease.
    void extendLease(worker_milliseconds deadline);

    /// Returns the latest deadline that was noted.
    worker_milliseconds leaseEnd() const;

    /// Returns the time by which the lease has ended for certain, however slow the clock is.
    steady_time latestLeaseEnd() const;

private:
    const time_source &m_time;
    worker_milliseconds m_sample;
    steady_time m_sampledAt;
    worker_milliseconds m_leaseEnd = 0;
};

}

#endif
