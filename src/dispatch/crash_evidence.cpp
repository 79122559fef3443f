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

void crash_evidence::addCrash(const std::vector<lost_run> &runs, bool isSoon, bool isAlone)
{
    const lost_run *latestBegun = nullptr;
    // A worker may have two runs of one task, of which one is being stopped: the crash counts once.
    std::map<std::uint64_t, start_evidence> startsByTask;
    for (const lost_run &run : runs) {
        m_lastCrashAt = std::max(m_lastCrashAt, run.lostAt);
        if (hadBegun(run.start) && (latestBegun == nullptr || run.orderedAt > latestBegun->orderedAt)) {
            latestBegun = &run;
        }
        start_evidence &start = startsByTask[XXH3_64bits(run.task.data(), run.task.size())];
        start = std::max(start, run.start);
    }
    for (const auto &[task, start] : startsByTask) {
        countUnderTask(task, start);
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
    return mostUnderOneTask(&task_crashes::begun);
}

std::size_t crash_evidence::confirmedCrashesUnderOneTask() const
{
    return mostUnderOneTask(&task_crashes::confirmed);
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

void crash_evidence::countUnderTask(std::uint64_t task, start_evidence start)
{
    if (m_crashesByTask.size() >= MAX_TASKS && !m_crashesByTask.contains(task)) {
        return;
    }
    task_crashes &crashes = m_crashesByTask[task];
    ++crashes.possible;
    crashes.begun += hadBegun(start) ? 1 : 0;
    crashes.confirmed += start == start_evidence::confirmed ? 1 : 0;
}

std::size_t crash_evidence::mostUnderOneTask(std::size_t task_crashes::*count) const
{
    std::size_t most = 0;
    for (const auto &[task, crashes] : m_crashesByTask) {
        most = std::max(most, crashes.*count);
    }
    return most;
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
