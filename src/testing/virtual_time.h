#ifndef AZUREMOOR_TESTING_VIRTUAL_TIME_H
#define AZUREMOOR_TESTING_VIRTUAL_TIME_H

#include <functional>
#include <map>

#include "base/time_source.h"

namespace azuremoor::testing
{

/// A clock that stands still until it is moved, and what is due on it.
class virtual_time : public time_source
{
public:
    steady_time steadyNow() const override
    {
        return m_now;
    }

    unix_time unixNow() const override
    {
        return unixAt(m_now);
    }

    /// Returns the wall clock point that belongs to a steady one.
    static unix_time unixAt(steady_time time)
    {
        return unix_time(seconds(1'800'000'000)) + time.time_since_epoch();
    }

    /// Calls the function at the given time from now, after what is due earlier or was set earlier for the same moment.
    void after(microseconds delay, std::function<void()> function)
    {
        m_due.emplace(m_now + delay, std::move(function));
    }

    /// Moves the clock by the duration, and calls what falls due meanwhile.
    void run(microseconds duration)
    {
        const steady_time end = m_now + duration;
        while (!m_due.empty() && m_due.begin()->first <= end) {
            m_now = m_due.begin()->first;
            const std::function<void()> function = std::move(m_due.begin()->second);
            m_due.erase(m_due.begin());
            function();
        }
        m_now = end;
    }

private:
    steady_time m_now{seconds(1000)};
    std::multimap<steady_time, std::function<void()>> m_due;
};

/// The clocks of one node: the steady one runs with virtual time, the wall clock is off by a constant.
class node_time : public time_source
{
public:
    node_time(const virtual_time &time, microseconds skew)
        : m_time(time)
        , m_skew(skew)
    {
    }

    steady_time steadyNow() const override
    {
        return m_time.steadyNow();
    }

    unix_time unixNow() const override
    {
        return m_time.unixNow() + m_skew;
    }

private:
    const virtual_time &m_time;
    microseconds m_skew;
};

}

#endif
