#ifndef AZUREMOOR_DISPATCH_CRASH_EVIDENCE_H
#define AZUREMOOR_DISPATCH_CRASH_EVIDENCE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// A run that began before a crash of its worker and was lost with it.
struct lost_run {
    std::string_view task;
    steady_time orderedAt;
    /// When the crash was noticed.
    steady_time lostAt;
    /// Whether the run was ordered so long before that it had certainly begun.
    bool hadBegun = true;
};

/**
 * What the crashes of workers say of one job.
 *
 * Crashes are counted in rounds. Workers that crash while tasks of the job run on all of them are one round: whatever the tasks do, no
 * start could have been withheld. A further round needs a run that was ordered after a crash of the round before had been noticed.
 */
class crash_evidence
{
public:
    explicit crash_evidence(std::string_view queue);

    /// Adds the job's runs that were lost in one crash. There must be at least one. Crashes may be added in any order, each one once.
    /// The crash is soon if it came so soon after the start of a run of the job that this run may be the cause, since tasks that crash
    /// workers do so soon after their start. The job is alone in it if that is so of no other job.
    void addCrash(const std::vector<lost_run> &runs, bool isSoon, bool isAlone);

    /// Returns the largest number of crashes of which each hit a run that was ordered after the one before.
    std::size_t rounds() const;

    /// Returns the largest number of crashes that hit runs of the same task.
    std::size_t crashesUnderOneTask() const;

    /// Returns the largest number of crashes that hit runs of the same task which had certainly begun.
    std::size_t begunCrashesUnderOneTask() const;

    /// Returns whether all crashes were soon.
    bool areAllSoon() const;

    /// Returns whether the job was alone in at least one of the crashes.
    bool wasAlone() const;

    steady_time lastCrashAt() const;

    const std::string &queue() const;

private:
    /// Time from the latest order to the worker until it crashed.
    struct interval {
        steady_time orderedAt;
        steady_time lostAt;
    };

    void addInterval(const interval &added);

    std::string m_queue;
    /// By the time of the crash. None contains another one, so that they are in the order of their beginnings too.
    std::vector<interval> m_intervals;
    struct task_crashes {
        std::size_t all = 0;
        std::size_t begun = 0;
    };

    /// Crashes by the hash of the task's name, and the largest numbers of them.
    std::map<std::uint64_t, task_crashes> m_crashesByTask;
    task_crashes m_mostCrashes;
    bool m_areAllSoon = true;
    bool m_wasAlone = false;
    steady_time m_lastCrashAt{};
};

}

#endif
