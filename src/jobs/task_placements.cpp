#include "jobs/task_placements.h"

namespace azuremoor
{

void task_placements::add(const std::string &agent, const placed_task &task)
{
    m_byAgent[agent].insert(task);
}

void task_placements::remove(const std::string &agent, const placed_task &task)
{
    const auto found = m_byAgent.find(agent);
    if (found != m_byAgent.end()) {
        found->second.erase(task);
    }
}

const std::set<placed_task> &task_placements::at(const std::string &agent) const
{
    static const std::set<placed_task> none;
    const auto found = m_byAgent.find(agent);
    return found == m_byAgent.end() ? none : found->second;
}

std::set<placed_task> task_placements::take(const std::string &agent)
{
    const auto found = m_byAgent.find(agent);
    if (found == m_byAgent.end()) {
        return {};
    }
    std::set<placed_task> taken = std::move(found->second);
    m_byAgent.erase(found);
    return taken;
}

}
