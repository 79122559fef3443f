#ifndef AZUREMOOR_DISPATCH_HANDOVER_POLICY_H
#define AZUREMOOR_DISPATCH_HANDOVER_POLICY_H

#include <string>

#include "base/time_source.h"
#include "dispatch/job_answer.h"

namespace azuremoor
{

/// What decides whether a job may be handed over. Work is estimated processor time, in thousandths of a core times microseconds.
struct handover_job {
    /// What this entry is short of for the job.
    resource_shortage shortage = resource_shortage::none;
    /// A run of the job has been ordered, whatever became of it.
    bool hasOrders = false;
    /// The job was handed over to this entry.
    bool isTaken = false;
    double work = 0;
    /// Time by which the job has to start at the other entry.
    microseconds timeToStart{0};
};

/// What decides whether an entry may get a job.
struct handover_peer {
    /// Time since the entry's latest report.
    microseconds reportAge{0};
    bool acceptsJobs = false;
    bool hasSameRouting = false;
    /// The entry has recently shown that it is short of a resource itself: it refused a job, did not answer, or handed one over.
    bool isShort = false;
    microseconds processorDelay{0};
    microseconds linkDelay{0};
    /// Work that waits there by the report.
    double waitingWork = 0;
    /// Thousandths of a core that are the entry's share.
    double shareMilliCores = 0;
    /// Work that was handed over to the entry since its report.
    double handedWork = 0;
    /// Most work that may be handed over to the entry between two reports, unless it is a single job.
    double maxHandedWork = 0;

    /// Returns the time in which the share orders the given work, in microseconds.
    double orderingTime(double work) const;

    /// Returns the time that a job is expected to lose at the entry, in microseconds: behind the work there, and for the processor and the
    /// link. Its messages wait twice for the processor: when it arrives, and with its results.
    double expectedDelay() const;
};

/// Decides which jobs are handed over, and to which entries.
class handover_policy
{
public:
    virtual ~handover_policy() = default;

    /// Returns whether the job may be handed over.
    virtual bool isCandidate(const handover_job &job) const = 0;

    /// Returns whether the entry may get the job.
    virtual bool canTake(const handover_peer &peer, const handover_job &job) const = 0;

    /// Returns whether the first entry is to be preferred to the second one.
    virtual bool isBetter(const handover_peer &one, const handover_peer &other) const = 0;
};

/**
 * Hands a job over only if it would miss its latency objective here, or be refused, for lack of a resource, or if this entry stops, and
 * only before its first order and at one hop.
 *
 * The entry that gets it must be expected to start it by the time asked for, by a report of at most 1 s, and must not refuse callers for
 * lack of processor time itself. Between two reports an entry gets at
 * most half of what its share orders in that time; a job that is larger than that is handed over alone.
 */
class spare_time_handover : public handover_policy
{
public:
    bool isCandidate(const handover_job &job) const override;
    bool canTake(const handover_peer &peer, const handover_job &job) const override;
    bool isBetter(const handover_peer &one, const handover_peer &other) const override;
};

}

#endif
