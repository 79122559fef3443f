#ifndef AZUREMOOR_DISPATCH_WORKER_PERFORMANCE_H
#define AZUREMOOR_DISPATCH_WORKER_PERFORMANCE_H

#include "base/time_source.h"

namespace azuremoor
{

/// Observed performance of one worker: its run times relative to the estimates, and its failure rate. Times are on the steady clock.
class worker_performance
{
public:
    /// Records a successful run with its estimated and observed run time.
    void recordSuccess(microseconds estimate, microseconds observed, steady_time now);

    /// Records a run time that was extrapolated from the progress of a run. Ignored unless both times are above 0.
    void recordSpeed(microseconds estimate, microseconds observed);

    /// Records a run that failed, or that is to be stopped because it is stalled.
    void recordFailure(steady_time now);

    /// Returns the moving geometric mean of the ratios of observed to estimated run time; 1 before the first run.
    double slowness() const;

    /// Returns the share of recent runs that failed, from 0 to 1. It decays while the worker gets no runs.
    double failureRate(steady_time now) const;

private:
    void updateFailureRate(double failed, steady_time now);

    double m_logSlowness = 0;
    /// The exponential of `m_logSlowness`, which is read far more often than it changes.
    double m_slowness = 1;
    /// Failure rate at the time of the latest outcome. It decays only in what `failureRate()` returns.
    double m_failureRate = 0;
    steady_time m_lastOutcomeAt{};
};

}

#endif
