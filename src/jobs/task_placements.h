#ifndef AZUREMOOR_JOBS_TASK_PLACEMENTS_H
#define AZUREMOOR_JOBS_TASK_PLACEMENTS_H

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace azuremoor
{

/// Names a task by its job and its position in it.
struct placed_task {
    std::string jobId;
    std::uint32_t taskIndex = 0;

    auto operator<=>(const placed_task &) const = default;
};

/// Which tasks of an owner are placed with which agent.
class task_placements
{
public:
    /// Notes that the task is placed with the agent.
    void add(const std::string &agent, const placed_task &task);

    /// Notes that the task has left the agent.
    void remove(const std::string &agent, const placed_task &task);

    /// Returns the tasks that are placed with the agent.
    const std::set<placed_task> &at(const std::string &agent) const;

    /// Removes the tasks that are placed with the agent, and returns them.
    std::set<placed_task> take(const std::string &agent);

private:
    std::map<std::string, std::set<placed_task>> m_byAgent;
};

}

#endif
