#include "runs/foreign_runs.h"

namespace azuremoor
{

bool foreign_runs::hasAny() const
{
    return m_hasAny;
}

std::vector<run_key> foreign_runs::update(const std::vector<active_run> &active, const run_table &ordered, steady_time now)
{
    std::vector<run_key> due;
    m_hasAny = false;
    for (const active_run &listed : active) {
        if (ordered.runs().contains(listed.run)) {
            continue;
        }
        m_hasAny = true;
        steady_time &nextStop = m_nextStops[listed.run];
        if (now >= nextStop) {
            nextStop = now + STOP_RETRY_INTERVAL;
            due.push_back(listed.run);
        }
    }
    if (!m_hasAny) {
        m_nextStops.clear();
    }
    return due;
}

}
