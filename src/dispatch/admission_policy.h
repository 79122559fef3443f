#ifndef AZUREMOOR_DISPATCH_ADMISSION_POLICY_H
#define AZUREMOOR_DISPATCH_ADMISSION_POLICY_H

#include <cstdint>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// Part by which a wait may get longer than expected at the admission: jobs of higher priorities and of other entries come in the meantime.
constexpr double WAIT_RESERVE = 0.25;

/// Returns the longest expected wait with which a job is admitted, if it has to start within the given time.
constexpr microseconds maxExpectedWait(microseconds timeToStart)
{
    return microseconds(static_cast<std::int64_t>(static_cast<double>(timeToStart.count()) / (1 + WAIT_RESERVE)));
}

/// An admitted job that waits behind the job to be admitted, because it is less urgent.
struct later_job {
    /// Work of the waiting jobs in queue order, up to and including this one.
    double cumulativeWork = 0;
    /// Time until `active_job::lastUsefulStart`; negative when that has passed.
    microseconds slack{0};
};

/// The load against which a job is checked. Work is estimated processor time, in thousandths of a core times microseconds.
struct admission_load {
    /// Work of the waiting jobs at this entry that are more urgent than the job.
    double workAhead = 0;
    /// Work of the job itself.
    double jobWork = 0;
    /// Free thousandths of a core on all usable workers of the service.
    double freeMilliCores = 0;
    /// Thousandths of a core of all usable workers of the service, free or not.
    double capacityMilliCores = 0;
    /// Number of entries that share the workers, including this one.
    double entryCount = 1;
    /// Recent rate of the work that this entry ordered, in thousandths of a core.
    double entryRate = 0;
    /// Thousandths of a core that the job's waiting tasks need to run concurrently.
    double jobMilliCores = 0;
    /// Whether the fields below are set, because queues have different priorities.
    bool isPrioritized = false;
    /// Whether the job's priority has got less than its minimum share, so that it is served before higher ones.
    bool isBelowMinimum = false;
    /// Part of the capacity that is this entry's share, from 0 to 1.
    double share = 0;
    /// Rate of the work that callers ask of this entry, in thousandths of a core.
    double askedRate = 0;
    /// Rate of the admitted work of higher priorities, in thousandths of a core.
    double higherRate = 0;
    /// Lower priorities with waiting jobs, each of which gets its minimum share in an overload.
    std::size_t lowerPriorities = 0;
    /// Thousandths of a core that the waiting tasks ahead of the job need to run concurrently.
    double milliCoresAhead = 0;
    /// Admitted jobs that would wait longer if the job were admitted.
    std::vector<later_job> laterJobs;
};

/// Returns the rate at which the entry's work is expected to start, in thousandths of a core: the rate that is left for the job's priority
/// if there are several.
double expectedRate(const admission_load &load);

/// Returns the rate that callers ask for, over all priorities, as a multiple of the entry's share of the capacity; 0 without priorities.
double demandRatio(const admission_load &load);

/// Returns how far callers ask for more than the entry's share of the capacity: 0 up to 1.05 times the share, 1 from 1.25 times
/// the share on, and linearly in between, since demand varies by chance. Rates that hold in an overload only are scaled by it.
double overloadPart(const admission_load &load);

/// Estimates waiting times, from which the dispatcher decides whether to admit a job.
class admission_policy
{
public:
    virtual ~admission_policy() = default;

    /// Returns the expected time until the last waiting task of the job starts.
    virtual microseconds expectedWait(const admission_load &load) const = 0;

    /// Returns whether an admitted job that is expected to start while that is useful might not because of this job.
    virtual bool delaysAdmittedJobs(const admission_load &load) const = 0;

    /// Returns the expected time until the jobs that wait at the job's priority have started.
    virtual microseconds queueWait(const admission_load &load) const = 0;
};

/**
 * Assumes that an entry processes its queue at its recent rate, or with its share of all workers if that is more.
 *
 * Without priorities the share is equal. With priorities, a job waits for nothing while the free capacity suffices for it and for the tasks
 * ahead of it. In an overload, it gets the rate that higher priorities leave, but at least a tenth of all. Without one, higher priorities
 * leave enough for it, so that it gets the whole rate, and at least an equal share as without priorities.
 */
class fair_share_admission : public admission_policy
{
public:
    microseconds expectedWait(const admission_load &load) const override;
    bool delaysAdmittedJobs(const admission_load &load) const override;
    microseconds queueWait(const admission_load &load) const override;
};

}

#endif
