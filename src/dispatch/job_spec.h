#ifndef AZUREMOOR_DISPATCH_JOB_SPEC_H
#define AZUREMOOR_DISPATCH_JOB_SPEC_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/job_request.h"

namespace azuremoor
{

/// A part of a job: tasks of one shape that may run side by side.
struct step_spec {
    std::uint32_t count = 1;
    task_shape resources;
    /// The caller's estimate of one task's run time on an average worker.
    microseconds estimate{0};
    /// Earlier steps, counted from 0, whose tasks must all be done first.
    std::vector<std::uint32_t> dependsOn;
    /// Label that the worker must have; empty for any worker.
    std::string requiredLabel;
    /// Label of the rack where the data is; empty when it does not matter.
    std::string preferredRack;
    /// Most tasks of the step on one worker; 0 for no limit.
    std::uint32_t maxTasksPerWorker = 0;

    /// Returns the estimated processor time of one task: thousandths of a core times microseconds.
    double taskWork() const
    {
        return static_cast<double>(resources.milliCores) * static_cast<double>(estimate.count());
    }
};

/// A job as a caller submitted it.
struct job_spec {
    std::string id;
    /// Handed to the worker with each task.
    std::string payload;
    std::vector<step_spec> steps;
    /// The caller may ask for the job later, so that it has to outlive this process.
    bool isDurable = false;
    /// What the job asks for that is not offered; empty when everything is.
    std::string unsupported;
};

}

#endif
