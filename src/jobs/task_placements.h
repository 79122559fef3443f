#ifndef AZUREMOOR_JOBS_TASK_PLACEMENTS_H
#define AZUREMOOR_JOBS_TASK_PLACEMENTS_H

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace azuremoor
{

/// Identifies a task by its job and its index in the job.
struct placed_task {
    std::string jobId;
    std::uint32_t taskIndex = 0;

    auto operator<=>(const placed_task &) const = default;
};

/// The placed tasks of an owner, indexed by agent. Unlike the message type task_placement, it does not hold placement numbers.
class task_placements
{
public:
    void add(const std::string &agent, const placed_task &task);

    /// Does nothing if the task is not placed on the agent.
    void remove(const std::string &agent, const placed_task &task);

    /// Returns the tasks that are placed on the agent. The reference is invalidated by take.
    const std::set<placed_task> &at(const std::string &agent) const;

    /// Removes and returns the tasks that are placed on the agent.
    std::set<placed_task> take(const std::string &agent);

private:
    std::map<std::string, std::set<placed_task>> m_byAgent;
};

}

#endif
