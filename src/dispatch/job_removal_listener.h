#ifndef AZUREMOOR_DISPATCH_JOB_REMOVAL_LISTENER_H
#define AZUREMOOR_DISPATCH_JOB_REMOVAL_LISTENER_H

#include <string>

namespace azuremoor
{

/// Is told when a dispatcher forgets a job: it has been answered, and none of its runs goes on.
class job_removal_listener
{
public:
    virtual ~job_removal_listener() = default;

    /// Handles the removal of the job with the identifier. Must not submit jobs.
    virtual void handleJobRemoved(const std::string &id) = 0;

    /// Handles that an answered job without runs of this dispatcher is kept only because it may run at the entry. Must not submit jobs.
    virtual void handleJobHeld(const std::string &id, const std::string &entry) = 0;
};

}

#endif
