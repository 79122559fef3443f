#ifndef AZUREMOOR_DISPATCH_RUN_MOVER_H
#define AZUREMOOR_DISPATCH_RUN_MOVER_H

#include "base/decision_journal.h"
#include "dispatch/active_job.h"
#include "dispatch/placement_policy.h"
#include "dispatch/straggler_policy.h"
#include "dispatch/worker_pool.h"

namespace azuremoor
{

/**
 * Stops runs that are stalled, slow or in an evacuated data centre if another worker is free for their task, so that it is run again there.
 *
 * The task is ordered again only when the stopped run has ended.
 */
class run_mover
{
public:
    run_mover(const time_source &time,
              worker_pool &pool,
              placement_policy &placement,
              const straggler_policy &stragglers,
              decision_journal &journal);

    /// Assesses all runs and stops those that are to be moved. The jobs are all those that have runs, by number. Returns the number of
    /// runs that were stopped.
    std::size_t moveRuns(std::map<std::uint64_t, active_job> &jobs);

private:
    run_health
    assess(const pooled_worker &worker, const outstanding_run &run, bool isLeaving, double medianSlowness, steady_time now) const;
    /// Stops the run if another worker is free for its task. Returns whether it did.
    bool moveRun(active_job &job, pooled_worker &worker, std::uint64_t sequence, run_health health);

    const time_source &m_time;
    worker_pool &m_pool;
    placement_policy &m_placement;
    const straggler_policy &m_stragglers;
    decision_journal &m_journal;
};

}

#endif
