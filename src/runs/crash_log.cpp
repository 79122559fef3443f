#include "runs/crash_log.h"

#include <algorithm>
#include <utility>

namespace azuremoor
{

namespace
{

/// Maximum part of the agent's name in the identifier of a crash, in bytes. It leaves space for two numbers of 64 bits.
constexpr std::size_t MAX_AGENT_NAME_BYTES = MAX_NAME_BYTES - 50;

}

crash_log::crash_log(const time_source &time, const hello &agent)
    : m_time(time)
    , m_process(agent.name.substr(0, MAX_AGENT_NAME_BYTES) + '/' + std::to_string(agent.incarnation))
{
}

crash_report crash_log::add(std::vector<crashed_run> runs, steady_time noticedAt)
{
    std::ranges::stable_sort(runs, {}, &crashed_run::ageMilliseconds);
    runs.resize(std::min(runs.size(), MAX_CRASHED_RUNS));
    ++m_count;
    m_crashes.push_back({{m_process + '/' + std::to_string(m_count), 0, std::move(runs)}, noticedAt});
    if (m_crashes.size() > MAX_CRASHES) {
        m_crashes.pop_front();
    }
    return currentReport(m_crashes.back());
}

std::vector<crash_report> crash_log::reports() const
{
    std::vector<crash_report> result;
    for (const remembered_crash &crash : m_crashes) {
        if (m_time.steadyNow() < crash.noticedAt + RETENTION) {
            result.push_back(currentReport(crash));
        }
    }
    return result;
}

crash_report crash_log::currentReport(const remembered_crash &crash) const
{
    crash_report report = crash.report;
    report.ageMilliseconds = static_cast<std::uint32_t>((m_time.steadyNow() - crash.noticedAt) / milliseconds(1));
    return report;
}

std::uint64_t crash_log::count() const
{
    return m_count;
}

}
