#ifndef AZUREMOOR_RUNS_HELD_STARTS_H
#define AZUREMOOR_RUNS_HELD_STARTS_H

#include <cstdint>
#include <map>
#include <vector>

#include "messages/run_messages.h"

namespace azuremoor
{

/// Orders whose starts are sent only after the worker has answered a request that was sent after they had arrived. A worker that has
/// crashed meanwhile does not answer, and it is then certain that their runs have not begun.
class held_starts
{
public:
    /// Adds an order, which waits for the next request that is recorded.
    void add(const run_order &order);

    /// Returns whether orders wait whose request has not been sent.
    bool needsRequest() const;

    /// Records that a request was sent, with a number that is higher than those before.
    void recordRequest(std::uint64_t number);

    /// Removes and returns the orders whose request has a number up to the given one.
    std::vector<run_order> takeRequested(std::uint64_t number);

    /// Removes all orders.
    void clear();

private:
    std::vector<run_order> m_unrequested;
    /// By the number of the request.
    std::map<std::uint64_t, std::vector<run_order>> m_requested;
};

}

#endif
