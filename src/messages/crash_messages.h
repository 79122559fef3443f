#ifndef AZUREMOOR_MESSAGES_CRASH_MESSAGES_H
#define AZUREMOOR_MESSAGES_CRASH_MESSAGES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "messages/job_request.h"

namespace azuremoor
{

/// Maximum number of runs in a report of a crash. A worker with more of them is reported with those that began last.
constexpr std::size_t MAX_CRASHED_RUNS = 128;

/// What an agent knows of the start of a run that was lost in a crash, the weakest evidence first.
enum class start_evidence : std::uint8_t {
    /// The start was sent and not answered: the worker may have crashed before it arrived. Or the run had been stopped.
    none = 0,
    /// The worker answered a request that was sent after the order had arrived, and then the start was sent; it was not answered.
    asked = 1,
    /// The worker confirmed the start, or listed the run.
    confirmed = 2,
};

/// Returns whether the run counts as begun before its worker crashed.
constexpr bool hadBegun(start_evidence start)
{
    return start != start_evidence::none;
}

/// A run that was ordered to a worker before its crash was noticed.
struct crashed_run {
    /// Name of the task, unique across all jobs.
    std::string task;
    /// Queue of the task's job, as in `run_order::queue`.
    std::string queue;
    /// Time from the order to the worker until the crash was noticed, in milliseconds.
    std::uint32_t ageMilliseconds = 0;
    start_evidence start = start_evidence::none;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, task);
        archiveText(archive, queue);
        archive(ageMilliseconds);
        archiveEnumeration(archive, start, start_evidence::confirmed);
    }
};

/// What an agent knows of a crash.
enum class crash_state : std::uint8_t {
    /// The worker refuses connections: it may have crashed, or it may be cut off and run on.
    suspected = 0,
    /// Another instance or boot has answered in its place.
    proved = 1,
    /// It was suspected, and the worker has answered again.
    withdrawn = 2,
};

/// Returns the name of the state as it appears in logs.
constexpr std::string_view crashStateName(crash_state state)
{
    constexpr std::string_view NAMES[] = {"suspected", "proved", "withdrawn"};
    return NAMES[static_cast<std::size_t>(state)];
}

/// Crash of the worker of an agent, with the runs that were lost with it. The agent sends it to its entries when it is suspected, and again
/// when it is proved or withdrawn; also to each entry that connects while it remembers the crash. One that is proved before the results of
/// the runs are known is sent before these.
struct crash_report {
    /// Identifies the crash among all crashes of all workers.
    std::string crash;
    crash_state state = crash_state::proved;
    /// Time since the crash was noticed, in milliseconds.
    std::uint32_t ageMilliseconds = 0;
    std::vector<crashed_run> runs;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, crash);
        archiveEnumeration(archive, state, crash_state::withdrawn);
        archive(ageMilliseconds);
        archiveList<MAX_CRASHED_RUNS>(archive, runs);
    }
};

}

#endif
