#ifndef AZUREMOOR_ENTRY_JOB_METRICS_H
#define AZUREMOOR_ENTRY_JOB_METRICS_H

#include <cstdint>
#include <map>
#include <vector>

#include "jobs/job_observer.h"
#include "telemetry/metrics_page.h"

namespace azuremoor
{

/// Measures how long jobs and tasks take, and counts the tasks by verdict.
class job_metrics : public job_observer
{
public:
    /// Adds the histograms to the page.
    explicit job_metrics(metrics_page &page);

    void taskEnded(verdict outcome, microseconds waited, microseconds ran) override;
    void jobEnded(reply_kind kind, microseconds took, microseconds longestRun) override;

    /// Adds the numbers of ended tasks.
    void addSamples(std::vector<metric_sample> &samples) const;

private:
    prometheus::Histogram &m_jobSeconds;
    prometheus::Histogram &m_lagSeconds;
    prometheus::Histogram &m_waitSeconds;
    prometheus::Histogram &m_runSeconds;
    std::map<verdict, std::uint64_t> m_tasksByVerdict;
};

}

#endif
