#ifndef AZUREMOOR_BASE_TIME_SOURCE_H
#define AZUREMOOR_BASE_TIME_SOURCE_H

#include <chrono>
#include <cstdint>

namespace azuremoor
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock type for time points of the steady clock, which measures intervals. That clock keeps running while the process is paused and is
/// never set back.
struct steady_clock_tag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<steady_clock_tag, duration>;
};

/// Clock type for time points of the wall clock, counted from the Unix epoch. The wall clocks of two machines differ by at most the
/// allowed clock skew.
struct unix_clock_tag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<unix_clock_tag, duration>;
};

/// Time point of the local steady clock in microseconds. It must not be compared with one of another process.
using steady_time = steady_clock_tag::time_point;

/// Time point of the wall clock in microseconds since the Unix epoch.
using unix_time = unix_clock_tag::time_point;

/// Source of the current time. Classes that make decisions read the time only through this interface: daemons pass an implementation
/// that reads the system clocks, tests one with simulated time.
class time_source
{
public:
    virtual ~time_source() = default;

    virtual steady_time steadyNow() const = 0;

    virtual unix_time unixNow() const = 0;
};

/// Converts a wall clock time to milliseconds since the Unix epoch, truncated to whole milliseconds. Messages and interfaces transfer
/// deadlines in this form.
inline std::int64_t unixMilliseconds(unix_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/// Converts milliseconds since the Unix epoch to a wall clock time.
inline unix_time fromUnixMilliseconds(std::int64_t value)
{
    return unix_time(milliseconds(value));
}

}

#endif
