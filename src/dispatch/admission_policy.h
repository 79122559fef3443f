#ifndef AZUREMOOR_DISPATCH_ADMISSION_POLICY_H
#define AZUREMOOR_DISPATCH_ADMISSION_POLICY_H

#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// A job that was admitted earlier, and waits behind the job that asks.
struct waiting_job {
    /// Work that waits at this entry up to and including the job.
    double cumulativeWork = 0;
    /// Time until its last task has to start.
    microseconds slack{0};
};

/// The load that a job meets on arrival. Work is processor time: thousandths of a core times microseconds.
struct admission_load {
    /// Work that waits at this entry and goes before the job.
    double workAhead = 0;
    /// Work of the job itself.
    double jobWork = 0;
    /// Thousandths of a core that are free now.
    double freeMilliCores = 0;
    /// Thousandths of a core of all usable workers.
    double capacityMilliCores = 0;
    /// Entries that share the workers, this one included.
    double entryCount = 1;
    /// Work that this entry got started lately: thousandths of a core times microseconds, per microsecond.
    double entryRate = 0;
    /// Thousandths of a core that the job's tasks need to run side by side.
    double jobMilliCores = 0;
    /// Jobs that were admitted and would have to wait longer.
    std::vector<waiting_job> laterJobs;
};

/// Decides whether a job can be expected to be served in time.
class admission_policy
{
public:
    virtual ~admission_policy() = default;

    /// Returns the time until the last task of the job can be expected to start.
    virtual microseconds expectedWait(const admission_load &load) const = 0;

    /// Returns whether the job would make another one late that was admitted before it.
    virtual bool delaysAdmittedJobs(const admission_load &load) const = 0;
};

/// Expects the backlog of an entry to be worked off at the rate of late, or by the entry's even share of the workers if that is more.
class fair_share_admission : public admission_policy
{
public:
    microseconds expectedWait(const admission_load &load) const override;
    bool delaysAdmittedJobs(const admission_load &load) const override;
};

}

#endif
