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

/// A process in virtual time that can be killed, or suspended until a given time.
class simulated_process
{
public:
    explicit simulated_process(virtual_time &time)
        : m_time(time)
    {
    }

    /// Calls the function now, or when the process resumes. Functions are called in order, and not after the process was killed.
    void runWhenResumed(std::function<void()> function)
    {
        if (!isAlive) {
            return;
        }
        m_queuedFunctions.push_back(std::move(function));
        runQueuedFunctions();
    }

    /// Drops the queued functions, which may own references to the process itself.
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

/// The link between an entry and an agent: ordered delivery with a delay, cuts in one or both directions, and resets.
class simulated_link
{
public:
    using deliver_function = std::function<void(const message &value)>;

    simulated_link(virtual_time &time, microseconds delay)
        : m_time(time)
        , m_delay(delay)
    {
    }

    /// Delivers a message after the delay and any cut, unless the connection has been closed or replaced by then. The direction is 0 or 1.
    void transmit(int direction, message value, const deliver_function &deliver)
    {
        if (!isOpen) {
            return;
        }
        const steady_time earliestArrival = std::max(m_time.steadyNow(), cutUntil[direction]) + m_delay;
        m_lastArrival[direction] = std::max(m_lastArrival[direction], earliestArrival);
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
    /// When the cut or the silence of a process began; the epoch if there is none. The connection is closed once it has lasted too long.
    steady_time silentSince{};

private:
    virtual_time &m_time;
    microseconds m_delay;
    steady_time m_lastArrival[2]{};
};

}

#endif
