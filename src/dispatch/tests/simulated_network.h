#ifndef AZUREMOOR_DISPATCH_TESTS_SIMULATED_NETWORK_H
#define AZUREMOOR_DISPATCH_TESTS_SIMULATED_NETWORK_H

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "fleet/peer_outbox.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// A process in virtual time that can be killed, and suspended for a while.
class simulated_process
{
public:
    explicit simulated_process(virtual_time &time)
        : m_time(time)
    {
    }

    /// Calls the function now, or after the process wakes up and has done what waits already; never if the process is killed before.
    void runWhenResumed(std::function<void()> function)
    {
        if (!isAlive) {
            return;
        }
        m_queuedFunctions.push_back(std::move(function));
        runQueuedFunctions();
    }

    /// Forgets what waits, which may keep the process itself alive.
    void clearQueuedFunctions()
    {
        m_queuedFunctions.clear();
    }

    bool isRunning() const
    {
        return isAlive && m_time.steadyNow() >= suspendedUntil;
    }

    bool isAlive = true;
    steady_time suspendedUntil{};

private:
    void runQueuedFunctions()
    {
        while (isRunning() && !m_queuedFunctions.empty()) {
            const std::function<void()> function = std::move(m_queuedFunctions.front());
            m_queuedFunctions.pop_front();
            function();
        }
        if (isAlive && !m_queuedFunctions.empty()) {
            m_time.after(suspendedUntil - m_time.steadyNow(), [this] { runQueuedFunctions(); });
        }
    }

    virtual_time &m_time;
    std::deque<std::function<void()>> m_queuedFunctions;
};

/// Connections between an entry and an agent: ordered, with delays, cuts in one direction or both, and resets.
class simulated_link
{
public:
    using deliver_function = std::function<void(const message &value)>;

    simulated_link(virtual_time &time, microseconds delay)
        : m_time(time)
        , m_delay(delay)
    {
    }

    /// Carries a message in a direction, 0 or 1, unless the connection is gone by then.
    void transmit(int direction, message value, const deliver_function &deliver)
    {
        if (!isOpen) {
            return;
        }
        const steady_time departure = std::max(m_time.steadyNow(), cutUntil[direction]) + m_delay;
        m_lastArrival[direction] = std::max(m_lastArrival[direction], departure);
        m_time.after(m_lastArrival[direction] - m_time.steadyNow(), [this, connection = connectionNumber, value, deliver] {
            if (isOpen && connection == connectionNumber) {
                deliver(value);
            }
        });
    }

    bool isCut() const
    {
        return m_time.steadyNow() < std::max(cutUntil[0], cutUntil[1]);
    }

    bool isOpen = false;
    std::uint64_t connectionNumber = 0;
    steady_time cutUntil[2]{};
    /// When the cut closes the connection, if it lasts that long.
    steady_time silentSince{};

private:
    virtual_time &m_time;
    microseconds m_delay;
    steady_time m_lastArrival[2]{};
};

}

#endif
