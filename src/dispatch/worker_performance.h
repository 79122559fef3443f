#ifndef AZUREMOOR_DISPATCH_WORKER_PERFORMANCE_H
#define AZUREMOOR_DISPATCH_WORKER_PERFORMANCE_H

#include "base/time_source.h"

namespace azuremoor
{

/// What one worker's runs have shown: how slow it is against the estimates, and how often it fails.
class worker_performance
{
public:
    /// Notes a run that was done, with its estimated and its observed run time.
    void recordSuccess(microseconds estimate, microseconds observed, steady_time now);

    /// Notes the run time that the progress of a run lets expect.
    void recordSpeed(microseconds estimate, microseconds expected);

    /// Notes a run that failed, or that stood still until it was stopped.
    void recordFailure(steady_time now);

    /// Returns the observed run time as a multiple of the estimated one.
    double slowness() const;

    /// Returns the share of recent runs that failed, which decays while the worker gets no runs.
    double failureRate(steady_time now) const;

private:
    void updateFailureRate(double failed, steady_time now);

    double m_logSlowness = 0;
    double m_failureRate = 0;
    steady_time m_lastOutcomeAt{};
};

}

#endif
