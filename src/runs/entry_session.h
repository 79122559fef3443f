#ifndef AZUREMOOR_RUNS_ENTRY_SESSION_H
#define AZUREMOOR_RUNS_ENTRY_SESSION_H

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "base/time_source.h"
#include "messages/run_messages.h"
#include "runs/origin_leases.h"

namespace azuremoor
{

/// State that an agent keeps for one process of an entry: its lease, and the run results that the entry has not acknowledged yet.
struct entry_session {
    std::string entry;
    /// Identifies the process of the entry; differs after each restart.
    std::uint64_t incarnation = 0;
    bool isConnected = false;
    /// End of the lease on the agent's steady clock: the sending time of the last answered heartbeat plus the lease length.
    steady_time leaseEnd;
    /// The session has no valid lease. Its runs were stopped, and its orders are refused until the entry answers a heartbeat.
    bool isExpired = false;
    /// Leases of the entries that handed jobs over to this one.
    origin_leases origins;
    /// When the connection became surplus; nothing while it is needed. The entry is told that the worker drains, so that it orders no more.
    std::optional<steady_time> surplusSince;
    /// Highest sequence of the orders that were processed, whether started or refused.
    std::uint64_t appliedOrder = 0;
    /// Number of the first unacknowledged result, which is the front of `results`.
    std::uint64_t firstResultNumber = 1;
    /// Unacknowledged results, sent again on each new connection.
    std::deque<run_result> results;
    /// Number of unacknowledged results, from the front, that were sent on the current connection.
    std::size_t sentResultCount = 0;
    /// The entry orders runs with estimates, and is told of the expected capacity.
    bool usesForecasts = false;
};

}

#endif
