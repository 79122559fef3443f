#ifndef AZUREMOOR_DISPATCH_PLACEMENT_ORDER_H
#define AZUREMOOR_DISPATCH_PLACEMENT_ORDER_H

#include <cstdint>
#include <map>
#include <vector>

#include "dispatch/active_job.h"
#include "dispatch/priority_shares.h"

namespace azuremoor
{

/// Number of jobs of one priority without enough free capacity after which no more of them are tried, to bound the time of a placement.
constexpr std::size_t MAX_UNPLACED_JOBS = 12;

/**
 * The order in which waiting jobs are tried in one placement.
 *
 * Jobs of the highest priority come first, except that a priority below its minimum share comes before all others until its share is
 * reached. The shares are read again for each job, because orders change them.
 */
class placement_order
{
public:
    /// Takes the jobs in the order of the queue. Without shares, which may be null, all jobs keep that order and count as one priority.
    placement_order(const std::vector<active_job *> &jobs, const priority_shares *shares);

    /// Returns the next job to try, or null when there is none.
    active_job *next(steady_time now);

    /// Records that the latest job found no capacity for all of its tasks.
    void recordUnplaced();

private:
    struct priority_group {
        std::vector<active_job *> jobs;
        std::size_t nextJob = 0;
        std::size_t unplacedJobs = 0;

        bool isExhausted() const
        {
            return nextJob == jobs.size() || unplacedJobs == MAX_UNPLACED_JOBS;
        }
    };

    const priority_shares *m_shares;
    std::map<std::uint32_t, priority_group> m_groups;
    priority_group *m_latestGroup = nullptr;
};

}

#endif
