#include "entry/job_metrics.h"

#include <chrono>
#include <string>

namespace azuremoor
{

job_metrics::job_metrics(metrics_page &page)
    : m_jobSeconds(page.addDurations("azuremoor_job_duration_seconds", "Time from the admission of a job to its reply"))
    , m_lagSeconds(page.addDurations("azuremoor_job_lag_seconds", "Time by which a job took longer than the longest of its tasks ran"))
    , m_waitSeconds(page.addDurations("azuremoor_task_queue_seconds", "Time from the admission of a task to its start"))
    , m_runSeconds(page.addDurations("azuremoor_task_run_seconds", "Time from the start of a task to its outcome"))
{
}

void job_metrics::taskEnded(verdict outcome, microseconds waited, microseconds ran)
{
    ++m_tasksByVerdict[outcome];
    const auto inSeconds = [](microseconds value) { return std::chrono::duration<double>(value).count(); };
    m_waitSeconds.Observe(inSeconds(waited));
    m_runSeconds.Observe(inSeconds(ran));
}

void job_metrics::jobEnded(reply_kind, microseconds took, microseconds longestRun)
{
    m_jobSeconds.Observe(std::chrono::duration<double>(took).count());
    m_lagSeconds.Observe(std::chrono::duration<double>(took - longestRun).count());
}

void job_metrics::addSamples(std::vector<metric_sample> &samples) const
{
    for (const auto &[outcome, count] : m_tasksByVerdict) {
        samples.push_back(counterSample("azuremoor_tasks_ended_total",
                                        "Tasks that ended, by verdict",
                                        static_cast<double>(count),
                                        {{"verdict", std::string(verdictName(outcome))}}));
    }
}

}
