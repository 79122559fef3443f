#include "dispatch/placement_order.h"

#include <utility>

namespace azuremoor
{

placement_order::placement_order(const std::vector<active_job *> &jobs, const priority_shares *shares)
    : m_shares(shares)
{
    for (active_job *job : jobs) {
        m_groups[shares == nullptr ? 0 : job->matchedRoute.priority].jobs.push_back(job);
    }
}

active_job *placement_order::next(steady_time now)
{
    m_latestGroup = nullptr;
    for (auto &[priority, group] : m_groups) {
        if (group.isExhausted()) {
            continue;
        }
        if (m_latestGroup == nullptr) {
            m_latestGroup = &group;
        } else if (m_shares != nullptr && m_shares->isBelowMinimum(priority, now)) {
            m_latestGroup = &group;
            break;
        }
    }
    return m_latestGroup == nullptr ? nullptr : m_latestGroup->jobs[m_latestGroup->nextJob++];
}

void placement_order::recordUnplaced()
{
    ++m_latestGroup->unplacedJobs;
}

}
