#ifndef AZUREMOOR_JOBS_WAITING_QUEUE_H
#define AZUREMOOR_JOBS_WAITING_QUEUE_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/time_source.h"

namespace azuremoor
{

/// A task that waits for a slot. Ordered by deadline, then by sequence, which is the order of queueing.
struct waiting_task {
    unix_time deadline;
    std::uint64_t sequence = 0;
    std::string jobId;
    std::uint32_t taskIndex = 0;
    steady_time waitingSince;

    bool operator<(const waiting_task &other) const
    {
        return std::pair(deadline, sequence) < std::pair(other.deadline, other.sequence);
    }
};

/// Provides the current usage of teams, for fair sharing.
class team_usage
{
public:
    virtual ~team_usage() = default;

    /// Returns the number of placed tasks of the team divided by its weight, or nothing if its quota is used up.
    virtual std::optional<double> weightedUsage(const std::string &team) const = 0;
};

/**
 * Weighted fair queue of the waiting tasks of one class.
 *
 * The team with the lowest weightedUsage goes first; within a team, the task with the earliest deadline. Among teams with equal usage,
 * the task with the earliest deadline goes first.
 */
class waiting_queue
{
public:
    void add(const std::string &team, waiting_task task);

    /// Removes a task of the team. Does nothing if it is not queued.
    void remove(const std::string &team, const waiting_task &task);

    /// Removes and returns the next task to start. Returns nothing if the queue is empty or every team in it has used up its quota.
    std::optional<waiting_task> takeNext(const team_usage &usage);

    std::size_t size() const;

    /// Returns when the task that has waited longest was queued, or nothing if the queue is empty.
    std::optional<steady_time> oldestWaitStart() const;

private:
    std::map<std::string, std::set<waiting_task>> m_teams;
    std::multiset<steady_time> m_waitStarts;
};

}

#endif
