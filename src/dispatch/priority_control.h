#ifndef AZUREMOOR_DISPATCH_PRIORITY_CONTROL_H
#define AZUREMOOR_DISPATCH_PRIORITY_CONTROL_H

#include <cstdint>
#include <map>

#include "dispatch/active_job.h"
#include "dispatch/admission_policy.h"
#include "dispatch/entry_load_table.h"
#include "dispatch/fair_shares.h"
#include "dispatch/local_load.h"
#include "dispatch/priority_shares.h"
#include "dispatch/route_table.h"
#include "dispatch/urgency_queue.h"

namespace azuremoor
{

/// Counters of one priority since the start of the process. Work is in thousandths of a core times microseconds.
struct priority_counters {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    double orderedWork = 0;
    std::uint64_t preemptedRuns = 0;
    double lostWork = 0;
};

/**
 * What an entry knows of the priorities of its queues: whether they matter, and what each of them and each caller got.
 *
 * Active while the configuration in force has at least two different priorities. The objects that the constructor takes must outlive this
 * one.
 */
class priority_control
{
public:
    priority_control(const time_source &time, const route_table &routes, const entry_load_table &loads, const local_load &localLoad);

    /// Returns whether priorities decide anything.
    bool isActive() const;

    /// Returns the lowest priority of the configuration in force.
    std::uint32_t lowestPriority() const;

    /// Returns the shares by which placement is ordered, or null while priorities decide nothing.
    const priority_shares *activeShares() const;

    const priority_shares &shares() const;

    /// Records a job that a caller submitted and that could run here, or waits for workers to connect, before it is admitted or refused for
    /// the load. Does nothing while priorities decide nothing, for a job that was submitted a short time before, and for jobs of other
    /// entries: their callers are counted there.
    void recordAsked(const active_job &job);

    /// Records an admitted job. While priorities decide nothing, only the counter changes; so it is with ordered runs. So it is also for
    /// jobs of other entries, since the share of this entry does not contain their work either.
    void recordAdmitted(const active_job &job);
    void recordRefused(const active_job &job);

    /// Records an ordered run of the job.
    void recordOrdered(const active_job &job, double work);

    /// Takes back an ordered run of the job that did not begin, so that it does not count as work that the priority got. The counters keep
    /// it, since they count orders.
    void recordNotBegun(const active_job &job, double work);

    /// Records a run of the job that is stopped for a job of a higher priority, and the work that is lost with it.
    void recordPreempted(const active_job &job, double lostWork);

    /// Sets the parts of the load that depend on the priority of the job and on the share of this entry. Does nothing while priorities
    /// decide nothing.
    void fillLoad(const active_job &job, admission_load &load) const;

    /// Returns the expected time until a new job's turn comes if its account and its data centre get no more than their fair parts of the
    /// rate, in thousandths of a core, and their other jobs in the queue go first. Returns 0 if neither asks for more than that.
    microseconds waitWithinShare(const active_job &job, const urgency_queue &waitingJobs, double rate);

    /// Returns the counters by priority.
    const std::map<std::uint32_t, priority_counters> &counters() const;

private:
    const time_source &m_time;
    const route_table &m_routes;
    const entry_load_table &m_loads;
    const local_load &m_localLoad;
    priority_shares m_shares;
    fair_shares m_accounts;
    fair_shares m_dataCentres;
    std::map<std::uint32_t, priority_counters> m_counters;
};

}

#endif
