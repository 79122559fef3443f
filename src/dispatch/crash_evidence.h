#ifndef AZUREMOOR_DISPATCH_CRASH_EVIDENCE_H
#define AZUREMOOR_DISPATCH_CRASH_EVIDENCE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_source.h"
#include "messages/crash_messages.h"

namespace azuremoor
{

/// A run that was ordered to a worker before its crash was noticed, and was lost with it.
struct lost_run {
    std::string_view task;
    steady_time orderedAt;
    /// When the crash was noticed.
    steady_time lostAt;
    start_evidence start = start_evidence::none;
};

/**
 * What the crashes of workers say of one job.
 *
 * Crashes are counted in rounds. Workers that crash while tasks of the job run on all of them are one round: whatever the tasks do, no
 * start could have been withheld. A further round needs a run that was ordered after a crash of the round before had been noticed, and is
 * known to have begun: workers that crash at one moment are noticed one after the other, and orders go to those not noticed yet.
 */
class crash_evidence
{
public:
    /// Adds the job's runs that were lost in one crash. There must be at least one. Crashes may be added in any order, each one once. If
    /// no run is known to have begun, the crash only counts as a possible one under its tasks.
    /// The crash is soon if it came so soon after the start of a run of the job that this run may be the cause, since tasks that crash
    /// workers do so soon after their start. The job is alone in it if that is so of no other job.
    void addCrash(const std::vector<lost_run> &runs, bool isSoon, bool isAlone);

    /// Returns the largest number of crashes of which each hit a run that is known to have begun and was ordered after the one before.
    std::size_t rounds() const;

    /// Returns the largest number of crashes that hit runs of the same task which are known to have begun.
    std::size_t begunCrashesUnderOneTask() const;

    /// Returns the largest number of crashes that hit runs of the same task which their workers had confirmed.
    std::size_t confirmedCrashesUnderOneTask() const;

    /// Returns the largest number of crashes that may have hit runs of the same task, of the tasks of which so many are known to have
    /// begun.
    std::size_t possibleCrashesUnderOneTask(std::size_t minBegunCrashes) const;

    /// Returns whether there was a crash under a run that is known to have begun, and all of these were soon.
    bool areAllSoon() const;

    /// Returns whether the job was alone in at least one of the crashes.
    bool wasAlone() const;

    steady_time lastCrashAt() const;

private:
    /// Time from the latest order to the worker until it crashed.
    struct interval {
        steady_time orderedAt;
        steady_time lostAt;
    };

    /// Crashes that may have hit runs of one task, those whose run is known to have begun, and those whose run was confirmed.
    struct task_crashes {
        std::size_t possible = 0;
        std::size_t begun = 0;
        std::size_t confirmed = 0;
    };

    void addInterval(const interval &added);
    /// Counts the crash under the task, of which the worker had a run with this evidence.
    void countUnderTask(std::uint64_t task, start_evidence start);
    std::size_t mostUnderOneTask(std::size_t task_crashes::*count) const;

    /// By the time of the crash. None contains another one, so that they are in the order of their beginnings too.
    std::vector<interval> m_intervals;
    /// Crashes by the hash of the task's name.
    std::map<std::uint64_t, task_crashes> m_crashesByTask;
    bool m_areAllSoon = true;
    bool m_wasAlone = false;
    steady_time m_lastCrashAt{};
};

}

#endif
