#ifndef AZUREMOOR_DISPATCH_JOB_FORWARDER_H
#define AZUREMOOR_DISPATCH_JOB_FORWARDER_H

#include <cstdint>
#include <string>

#include "dispatch/active_job.h"
#include "dispatch/job_answer.h"

namespace azuremoor
{

/// Passes jobs that have not begun to other entries.
class job_forwarder
{
public:
    virtual ~job_forwarder() = default;

    /// Passes the job on if another entry is expected to start it by the given time. Returns whether it did; its outcome then comes from
    /// `job_dispatcher::returnJob()`.
    virtual bool offer(const active_job &job, resource_shortage shortage, steady_time startBy) = 0;

    /// Cancels a job that was passed on, by its number. Its outcome is of no interest any more. Its runs may go on for a while:
    /// `job_dispatcher::releaseJob()` is called once they cannot. Returns the entry that may have them, or an empty
    /// text if there is none.
    virtual std::string withdraw(std::uint64_t job) = 0;
};

}

#endif
