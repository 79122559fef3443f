#include "jobs/waiting_queue.h"

namespace azuremoor
{

void waiting_queue::add(const std::string &team, waiting_task task)
{
    m_waitStarts.insert(task.waitingSince);
    m_teams[team].insert(std::move(task));
}

void waiting_queue::remove(const std::string &team, const waiting_task &task)
{
    const auto tasks = m_teams.find(team);
    if (tasks == m_teams.end() || tasks->second.erase(task) == 0) {
        return;
    }
    m_waitStarts.erase(m_waitStarts.find(task.waitingSince));
    if (tasks->second.empty()) {
        m_teams.erase(tasks);
    }
}

std::optional<waiting_task> waiting_queue::takeNext(const team_usage &usage)
{
    auto best = m_teams.end();
    double bestUsage = 0;
    for (auto team = m_teams.begin(); team != m_teams.end(); ++team) {
        const std::optional<double> used = usage.weightedUsage(team->first);
        if (!used) {
            continue;
        }
        const bool better
            = best == m_teams.end() || *used < bestUsage || (*used == bestUsage && *team->second.begin() < *best->second.begin());
        if (better) {
            best = team;
            bestUsage = *used;
        }
    }
    if (best == m_teams.end()) {
        return std::nullopt;
    }
    const std::string team = best->first;
    waiting_task task = *best->second.begin();
    remove(team, task);
    return task;
}

std::size_t waiting_queue::size() const
{
    return m_waitStarts.size();
}

std::optional<steady_time> waiting_queue::oldestWaitStart() const
{
    return m_waitStarts.empty() ? std::nullopt : std::optional(*m_waitStarts.begin());
}

}
