#ifndef AZUREMOOR_TRANSPORT_SYSTEM_TIME_H
#define AZUREMOOR_TRANSPORT_SYSTEM_TIME_H

#include "base/processor_clock.h"
#include "base/time_source.h"

namespace azuremoor
{

/// The clocks of the machine. The steady one runs on while the process, or the machine, is paused.
class system_time : public time_source
{
public:
    steady_time steadyNow() const override;
    unix_time unixNow() const override;
};

/// The processor time of this process, as the kernel counts it.
class process_clock : public processor_clock
{
public:
    microseconds usedTime() const override;
};

}

#endif
