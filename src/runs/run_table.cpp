#include "runs/run_table.h"

#include <algorithm>

namespace azuremoor
{

crashed_run toCrashedRun(const run_key &key, const supervised_run &run, steady_time now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - run.startedAt);
    const start_evidence unconfirmed = run.wasWorkerAsked ? start_evidence::asked : start_evidence::none;
    const start_evidence unstopped = run.isStartConfirmed ? start_evidence::confirmed : unconfirmed;
    // A run whose stop was confirmed had ended before the crash, or was about to.
    const start_evidence start = run.isStopConfirmed ? start_evidence::none : unstopped;
    return {key.task, run.queue, static_cast<std::uint32_t>(age.count()), start};
}

run_table::run_map &run_table::runs()
{
    return m_runs;
}

const run_table::run_map &run_table::runs() const
{
    return m_runs;
}

task_shape run_table::usedCapacity() const
{
    task_shape used;
    for (const auto &[key, run] : m_runs) {
        used += run.resources;
    }
    return used;
}

std::size_t run_table::count(std::string_view session) const
{
    return std::ranges::count_if(m_runs, [session](const auto &each) { return each.second.session == session; });
}

std::vector<run_progress> run_table::progress(std::string_view session) const
{
    std::vector<run_progress> result;
    for (const auto &[key, run] : m_runs) {
        if (run.session == session && run.state == run_state::running) {
            result.push_back({run.sequence, run.percent});
        }
    }
    return result;
}

std::vector<forecast_run> run_table::forecastRuns(steady_time now) const
{
    std::vector<forecast_run> result;
    result.reserve(m_runs.size());
    for (const auto &[key, run] : m_runs) {
        result.push_back({run.resources, run.estimate, now - run.startedAt, run.percent});
    }
    return result;
}

void run_table::recordRefusedStart(steady_time sentAt)
{
    for (auto &[key, run] : m_runs) {
        run.wasWorkerAsked = run.wasWorkerAsked && run.startedAt < sentAt;
    }
}

std::vector<crashed_run> run_table::crashedRuns(steady_time now) const
{
    std::vector<crashed_run> result;
    result.reserve(m_runs.size());
    for (const auto &[key, run] : m_runs) {
        result.push_back(toCrashedRun(key, run, now));
    }
    return result;
}

bool run_table::hasOverdueStop(steady_time now) const
{
    return std::ranges::any_of(m_runs, [now](const auto &each) { return each.second.stopDeadline && now >= *each.second.stopDeadline; });
}

}
