#ifndef AZUREMOOR_JOBS_WAITING_QUEUE_H
#define AZUREMOOR_JOBS_WAITING_QUEUE_H

#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/time_source.h"

namespace azuremoor
{

/// A task that waits for a slot. Ordered by deadline, then by arrival.
struct waiting_task {
    unix_time deadline;
    std::uint64_t sequence = 0;
    std::string jobId;
    std::uint32_t taskIndex = 0;
    /// When the task began to wait.
    steady_time waitingSince;

    bool operator<(const waiting_task &other) const
    {
        return std::pair(deadline, sequence) < std::pair(other.deadline, other.sequence);
    }
};

/// Tells how much of its share a team has in use.
class team_shares
{
public:
    virtual ~team_shares() = default;

    /// Returns the team's running tasks divided by its weight, or nothing when its quota is used up.
    virtual std::optional<double> usedShare(const std::string &team) const = 0;
};

/**
 * The waiting tasks of one class, by team.
 *
 * The team that has used the least of its weighted share goes first; within a team, the task with the earliest deadline.
 */
class waiting_queue
{
public:
    /// Adds a task of the team.
    void add(const std::string &team, waiting_task task);

    /// Removes a task of the team. Does nothing when it does not wait.
    void remove(const std::string &team, const waiting_task &task);

    /// Removes and returns the task to start next, or nothing when every team with waiting tasks has used up its quota.
    std::optional<waiting_task> takeNext(const team_shares &shares);

    /// Returns the number of waiting tasks.
    std::size_t size() const;

    /// Returns since when the task that has waited longest waits; nothing when the queue is empty.
    std::optional<steady_time> oldestWaitStart() const;

private:
    std::map<std::string, std::set<waiting_task>> m_teams;
    std::multiset<steady_time> m_waitStarts;
};

}

#endif
