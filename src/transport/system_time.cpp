#include "transport/system_time.h"

#include <ctime>

namespace azuremoor
{

namespace
{

microseconds readClock(clockid_t clock)
{
    timespec value{};
    clock_gettime(clock, &value);
    return seconds(value.tv_sec) + std::chrono::duration_cast<microseconds>(std::chrono::nanoseconds(value.tv_nsec));
}

}

steady_time system_time::steadyNow() const
{
    return steady_time(readClock(CLOCK_BOOTTIME));
}

unix_time system_time::unixNow() const
{
    return unix_time(readClock(CLOCK_REALTIME));
}

microseconds process_clock::usedTime() const
{
    return readClock(CLOCK_PROCESS_CPUTIME_ID);
}

}
