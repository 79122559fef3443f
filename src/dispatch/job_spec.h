#ifndef AZUREMOOR_DISPATCH_JOB_SPEC_H
#define AZUREMOOR_DISPATCH_JOB_SPEC_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/job_request.h"

namespace azuremoor
{

/// A step of a job: tasks with equal resources that may run concurrently.
struct step_spec {
    std::uint32_t count = 1;
    task_shape shape;
    /// The caller's estimate of the run time of one task on an average worker.
    microseconds estimate{0};
    /// Indexes of earlier steps, from 0, all of whose tasks must be done before this step starts.
    std::vector<std::uint32_t> dependsOn;
    /// Label that the worker must have; empty when any worker will do.
    std::string requiredLabel;
    /// Label of the rack that holds the data; empty for no preference. Runs elsewhere are expected to take longer.
    std::string preferredRack;
    /// Maximum number of this step's tasks that run on one worker at the same time; 0 for no limit.
    std::uint32_t maxTasksPerWorker = 0;

    /// Returns the estimated processor time of one task, in thousandths of a core times microseconds.
    double taskWork() const
    {
        return static_cast<double>(shape.milliCores) * static_cast<double>(estimate.count());
    }
};

/// A job as a caller submitted it.
struct job_spec {
    std::string id;
    /// Sent to the worker with each task.
    std::string payload;
    std::vector<step_spec> steps;
    /// The caller may query the job later, so that it must survive a restart of this process. Such jobs are not supported.
    bool isDurable = false;
    /// Description of a requested feature that is not supported; empty when there is none.
    std::string unsupported;
};

}

#endif
