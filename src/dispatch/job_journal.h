#ifndef AZUREMOOR_DISPATCH_JOB_JOURNAL_H
#define AZUREMOOR_DISPATCH_JOB_JOURNAL_H

#include <cstdint>
#include <string>

#include "base/decision_journal.h"
#include "dispatch/active_job.h"
#include "dispatch/job_answer.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/// Writes what a dispatcher decides on jobs into the journal of its process.
class job_journal
{
public:
    job_journal(const time_source &time, decision_journal &journal);

    /// Notes that a further request waits for the answer of the job.
    void noteJoined(const active_job &job, std::uint64_t request, const route &jobRoute);

    /// Notes the order of the latest run of the task. The link is short if the worker was chosen to save copies of the payload.
    void noteOrder(const active_job &job, std::uint32_t task, const pooled_worker &worker, bool isLinkShort);

    /// Notes the end of the latest run of the task, unless it was done or found no capacity: under load, many orders are refused for lack
    /// of capacity, and the event job_answered has their number.
    void noteRunEnd(const active_job &job, std::uint32_t task, run_outcome outcome, const std::string &agent);

    /// Notes the answer to one request.
    void noteAnswer(const active_job &job, std::uint64_t request, const job_answer &answer);

    /// Notes the end of a job that has no request to answer.
    void noteDropped(const active_job &job, const job_answer &answer);

private:
    const time_source &m_time;
    decision_journal &m_journal;
};

}

#endif
