#ifndef AZUREMOOR_DISPATCH_ORIGIN_LEASE_SOURCE_H
#define AZUREMOOR_DISPATCH_ORIGIN_LEASE_SOURCE_H

#include <optional>
#include <string>

#include "base/time_source.h"

namespace azuremoor
{

/// Knows when the origins of handed-over jobs were certainly alive.
class origin_lease_source
{
public:
    virtual ~origin_lease_source() = default;

    /// Returns a time on the own steady clock that is not later than the origin's last sign of life; nothing if its jobs have been ended.
    virtual std::optional<steady_time> aliveAt(const std::string &origin) const = 0;
};

}

#endif
