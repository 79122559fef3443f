#ifndef AZUREMOOR_DISPATCH_FORMER_SESSIONS_H
#define AZUREMOOR_DISPATCH_FORMER_SESSIONS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "dispatch/outstanding_run.h"

namespace azuremoor
{

/// The runs that were ordered from another process of the agent than the one that introduced itself last. They have ended once a process
/// reports that the worker instance for which they were ordered is ready, because it runs nothing else then; or at `runsEndBy`.
struct former_session {
    /// Identifies the process of the agent.
    std::uint64_t incarnation = 0;
    /// The worker instance for which the runs were ordered.
    std::string workerInstance;
    /// Outstanding runs by the sequence of their orders.
    std::map<std::uint64_t, outstanding_run> runs;
    std::uint64_t lastOrderSequence = 0;
    std::uint64_t lastResultNumber = 0;
    /// When the runs have ended at the latest.
    steady_time runsEndBy;
};

/// The sessions with former processes of one agent whose runs may be active. A session leaves when the entry takes it up again, or when its
/// runs have certainly ended.
class former_sessions
{
public:
    /// Adds a session that the agent's new process replaces. A session without runs is not kept.
    void add(former_session session);

    /// Removes and returns the session with the process of the agent, whose introduction was followed by a late one of another process;
    /// nothing if there is none. There is at most one for each process.
    std::optional<former_session> takeSessionWith(std::uint64_t incarnation);

    /// Removes and returns the latest session whose runs were ordered for the worker instance; nothing if there is none.
    std::optional<former_session> takeLatestOf(const std::string &workerInstance);

    /// Removes and returns the latest session whose runs have ended by now; nothing if there is none.
    std::optional<former_session> takeLatestLapsed(steady_time now);

    /// Returns whether no run of a former session may be active.
    bool isEmpty() const;

private:
    /// Sessions in the order in which they were left.
    std::vector<former_session> m_sessions;
};

}

#endif
