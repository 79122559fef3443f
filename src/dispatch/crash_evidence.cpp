#include "dispatch/crash_evidence.h"

#include <algorithm>

#include <xxhash.h>

namespace azuremoor
{

namespace
{

/// Maximum number of intervals and of tasks that are kept of one job.
constexpr std::size_t MAX_INTERVALS = 16;
constexpr std::size_t MAX_TASKS = 256;

}

crash_evidence::crash_evidence(std::string_view queue)
    : m_queue(queue)
{
}

void crash_evidence::addCrash(const std::vector<lost_run> &runs, bool isSoon, bool isAlone)
{
    const lost_run *latestBegun = nullptr;
    for (const lost_run &run : runs) {
        m_lastCrashAt = std::max(m_lastCrashAt, run.lostAt);
        if (run.hadBegun && (latestBegun == nullptr || run.orderedAt > latestBegun->orderedAt)) {
            latestBegun = &run;
        }
        const std::uint64_t task = XXH3_64bits(run.task.data(), run.task.size());
        if (m_crashesByTask.size() < MAX_TASKS || m_crashesByTask.contains(task)) {
            task_crashes &crashes = m_crashesByTask[task];
            ++crashes.possible;
            crashes.begun += run.hadBegun ? 1 : 0;
        }
    }
    if (latestBegun != nullptr) {
        addInterval({latestBegun->orderedAt, latestBegun->lostAt});
        m_areAllSoon = m_areAllSoon && isSoon;
        m_wasAlone = m_wasAlone || isAlone;
    }
}

std::size_t crash_evidence::rounds() const
{
    std::size_t result = 0;
    steady_time lastLoss = steady_time::min();
    for (const interval &each : m_intervals) {
        if (each.orderedAt > lastLoss) {
            ++result;
            lastLoss = each.lostAt;
        }
    }
    return result;
}

std::size_t crash_evidence::begunCrashesUnderOneTask() const
{
    std::size_t most = 0;
    for (const auto &[task, crashes] : m_crashesByTask) {
        most = std::max(most, crashes.begun);
    }
    return most;
}

std::size_t crash_evidence::possibleCrashesUnderOneTask(std::size_t minBegunCrashes) const
{
    std::size_t most = 0;
    for (const auto &[task, crashes] : m_crashesByTask) {
        if (crashes.begun >= minBegunCrashes) {
            most = std::max(most, crashes.possible);
        }
    }
    return most;
}

bool crash_evidence::areAllSoon() const
{
    return !m_intervals.empty() && m_areAllSoon;
}

bool crash_evidence::wasAlone() const
{
    return m_wasAlone;
}

steady_time crash_evidence::lastCrashAt() const
{
    return m_lastCrashAt;
}

const std::string &crash_evidence::queue() const
{
    return m_queue;
}

void crash_evidence::addInterval(const interval &added)
{
    const auto contains
        = [](const interval &outer, const interval &inner) { return outer.orderedAt <= inner.orderedAt && outer.lostAt >= inner.lostAt; };
    // An interval that contains another one adds no round that the other one does not add.
    if (std::ranges::any_of(m_intervals, [&](const interval &known) { return contains(added, known); })) {
        return;
    }
    std::erase_if(m_intervals, [&](const interval &known) { return contains(known, added); });
    m_intervals.insert(std::ranges::upper_bound(m_intervals, added.lostAt, {}, &interval::lostAt), added);
    if (m_intervals.size() > MAX_INTERVALS) {
        // The second one overlaps others, or the job would have many rounds already.
        m_intervals.erase(m_intervals.begin() + 1);
    }
}

}
