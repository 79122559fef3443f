#ifndef AZUREMOOR_DISPATCH_CALLER_PRESENCE_H
#define AZUREMOOR_DISPATCH_CALLER_PRESENCE_H

#include <cstdint>

namespace azuremoor
{

/// Knows whether the callers of unanswered requests are still there.
class caller_presence
{
public:
    virtual ~caller_presence() = default;

    /// Returns whether the caller of the request has ended its connection, also while the event that will abandon the request waits to be
    /// handled.
    virtual bool hasLeft(std::uint64_t request) const = 0;
};

}

#endif
