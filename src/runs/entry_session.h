#ifndef AZUREMOOR_RUNS_ENTRY_SESSION_H
#define AZUREMOOR_RUNS_ENTRY_SESSION_H

#include <cstdint>
#include <deque>
#include <string>

#include "base/time_source.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/// What an agent keeps for one process of an entry: its lease, and the results that it has not acknowledged.
struct entry_session {
    std::string entry;
    std::uint64_t incarnation = 0;
    bool isConnected = false;
    /// The entry was alive when it answered a heartbeat that was sent a lease before this.
    steady_time leaseEnd;
    /// Its runs were ended because the lease expired. It gets no more runs before it answers a heartbeat again.
    bool isExpired = false;
    std::uint64_t appliedOrder = 0;
    /// Number of the first result that is not acknowledged.
    std::uint64_t firstResultNumber = 1;
    std::deque<run_result> results;
    /// Results that were sent on this connection.
    std::size_t sentResultCount = 0;
};

}

#endif
