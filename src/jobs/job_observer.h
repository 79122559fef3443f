#ifndef AZUREMOOR_JOBS_JOB_OBSERVER_H
#define AZUREMOOR_JOBS_JOB_OBSERVER_H

#include "base/time_source.h"
#include "base/verdict.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Receives the end of every job and task, for metrics.
class job_observer
{
public:
    virtual ~job_observer() = default;

    /// Called when a task ends. If it was placed at that time, ran is the time since its last placement and waited the time from the
    /// admission of the job to that placement. Otherwise ran is 0 and waited is the time since the admission. A job that is installed
    /// from another owner's table counts as admitted then, and a placed task that is taken over as placed then.
    virtual void taskEnded(verdict outcome, microseconds waited, microseconds ran) = 0;

    /// Called when a job ends, with the time since its admission by this owner and the longest time that one of its tasks ran, as passed
    /// to taskEnded.
    virtual void jobEnded(reply_kind kind, microseconds took, microseconds longestRun) = 0;
};

}

#endif
