#ifndef AZUREMOOR_BASE_TIME_SOURCE_H
#define AZUREMOOR_BASE_TIME_SOURCE_H

#include <chrono>
#include <cstdint>

namespace azuremoor
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tag of the clock that intervals are measured on. It runs on while the process is paused and is never set back.
struct steady_clock_tag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<steady_clock_tag, duration>;
};

/// Tag of the wall clock, counted from the Unix epoch. Clocks of two nodes differ by at most the allowed skew.
struct unix_clock_tag {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<unix_clock_tag, duration>;
};

/// A point on the local steady clock, in microseconds. It means nothing to another node.
using steady_time = steady_clock_tag::time_point;

/// A point on the wall clock, in microseconds since the Unix epoch.
using unix_time = unix_clock_tag::time_point;

/// The only way by which a decision object learns the time. Daemons hand in the system's clocks, tests a clock of their own.
class time_source
{
public:
    virtual ~time_source() = default;

    /// Returns the current point on the steady clock.
    virtual steady_time steadyNow() const = 0;

    /// Returns the current point on the wall clock.
    virtual unix_time unixNow() const = 0;
};

/// Returns whole milliseconds since the Unix epoch, the form in which deadlines travel through the interfaces.
inline std::int64_t unixMilliseconds(unix_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/// Returns the wall clock point for a count of milliseconds since the Unix epoch.
inline unix_time fromUnixMilliseconds(std::int64_t value)
{
    return unix_time(milliseconds(value));
}

}

#endif
