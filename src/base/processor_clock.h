#ifndef AZUREMOOR_BASE_PROCESSOR_CLOCK_H
#define AZUREMOOR_BASE_PROCESSOR_CLOCK_H

#include "base/time_source.h"

namespace azuremoor
{

/// Source of the processor time that the process has used.
class processor_clock
{
public:
    virtual ~processor_clock() = default;

    /// Returns the processor time of all threads since the start of the process.
    virtual microseconds usedTime() const = 0;
};

}

#endif
