#ifndef AZUREMOOR_DISPATCH_POOLED_WORKER_H
#define AZUREMOOR_DISPATCH_POOLED_WORKER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/time_source.h"
#include "dispatch/former_sessions.h"
#include "dispatch/outstanding_run.h"
#include "dispatch/worker_performance.h"
#include "dispatch/worker_return.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Fraction by which the rates of two machines' steady clocks may differ.
constexpr double CLOCK_RATE_TOLERANCE = 0.02;

/// What a heartbeat says of an agent's steady clock.
struct agent_clock_sample {
    std::int64_t agentMicroseconds = 0;
    steady_time receivedAt;
};

/// An entry's view of one worker, as reported by the worker's agent. Times are on the steady clock.
struct pooled_worker {
    std::string agent;
    /// Identifies the process of the agent; 0 before its first introduction.
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    bool isConnected = false;
    /// The first status on this connection has not arrived. That status tells which orders the agent received.
    bool isAwaitingStatus = true;
    worker_status status;
    steady_time statusReceivedAt;
    /// When the agent's latest heartbeat was answered, or its connection was made if that is later.
    steady_time lastHeartbeatAt;
    /// When an order to the idle worker last renewed the entry's lease at the agent.
    steady_time leaseRenewedAt{};
    /// The agent's steady clock in its latest heartbeat, and when that heartbeat was handled; nothing before the first one.
    std::optional<agent_clock_sample> agentClock;
    /// Sequence of the latest order to this process of the agent.
    std::uint64_t lastOrderSequence = 0;
    steady_time lastOrderAt;
    /// Number of the latest result received. The agent numbers the results of its session with this entry from 1.
    std::uint64_t lastResultNumber = 0;
    /// Number of the latest result that was acknowledged to the agent.
    std::uint64_t acknowledgedResultNumber = 0;
    /// Shapes of runs that ended since the agent last reported the free capacity, and were included in that report.
    task_shape endedSinceReport{0, 0, 0};
    /// Outstanding runs by the sequence of their orders.
    std::map<std::uint64_t, outstanding_run> runs;
    /// Sessions with other processes of the agent whose runs may be active.
    former_sessions formerSessions;
    worker_performance performance;
    /// The worker's data centre is evacuated. The worker gets no orders and counts as absent.
    bool isEvacuated = false;
    /// Until when the worker is slow after its start.
    steady_time coldUntil{};
    /// The time during which load returns to the worker after an evacuation; nothing otherwise.
    std::optional<return_window> returnWindow;
    /// Capacity that is to be left unused while load returns.
    task_shape withheld{0, 0, 0};

    /// Returns the capacity that may be used, free or not.
    task_shape usableCapacity() const;

    /// Returns the reported free capacity, less the orders that the report does not include yet and what is to be left unused.
    task_shape availableCapacity() const;

    /// Returns when the entry's lease at the agent was last renewed at the latest. The entry's runs there have ended by
    /// `agent_timeouts::runsEndedAfter` later.
    steady_time leaseRenewal() const;

    /// Returns a time on the agent's steady clock, in microseconds, that is not later than the given one even if the clocks' rates differ
    /// by CLOCK_RATE_TOLERANCE; 0 when nothing is known of that clock.
    std::int64_t agentTimeAt(steady_time time) const;

    /// Turns to the session with another process of the agent. The runs of the present one become those of a former session, and have ended
    /// by the given time after the lease's renewal at the latest. If the introduction of the process was followed by a late one of
    /// another process, its session is taken up again with its runs.
    void turnToProcess(std::uint64_t process, microseconds runsEndedAfter);
};

}

#endif
