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

crash_report crash_log::record(const worker_crash &crash)
{
    std::vector<crashed_run> runs = crash.runs;
    std::ranges::stable_sort(runs, {}, &crashed_run::ageMilliseconds);
    runs.resize(std::min(runs.size(), MAX_CRASHED_RUNS));
    m_count += crash.state == crash_state::proved ? 1 : 0;
    const std::string name = m_process + '/' + std::to_string(crash.number);
    std::erase_if(m_crashes, [&name](const remembered_crash &known) { return known.report.crash == name; });
    m_crashes.push_back({{name, crash.state, 0, std::move(runs)}, crash.noticedAt});
    if (m_crashes.size() > MAX_CRASHES) {
        const auto withdrawn = std::ranges::find(m_crashes, crash_state::withdrawn, [](const auto &known) { return known.report.state; });
        m_crashes.erase(withdrawn == m_crashes.end() ? m_crashes.begin() : withdrawn);
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
