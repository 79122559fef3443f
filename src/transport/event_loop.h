#ifndef AZUREMOOR_TRANSPORT_EVENT_LOOP_H
#define AZUREMOOR_TRANSPORT_EVENT_LOOP_H

#include <functional>
#include <map>
#include <memory>

#include "base/time_source.h"

struct event;
struct event_base;

namespace azuremoor
{

/// Order in which active events are handled: those of a lower priority only while none of a higher one is active.
enum class loop_priority : int {
    /// Messages of other processes, timers, and answers: what was begun goes on.
    normal = 1,
    /// Requests that begin new work.
    low = 2,
};

/// The one event loop of a process. Everything that owns a socket or a timer is driven from it, on one thread.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Runs until stop is called.
    void run();

    /// Ends run after the events that are being handled.
    void stop();

    /// Calls the function at the interval, until the loop is destroyed.
    void every(microseconds interval, std::function<void()> function);

    /// Calls the function once, at the given time from now.
    void after(microseconds delay, std::function<void()> function);

    /// Calls the function once, after all events that are ready by then, also those of low priority.
    void afterReadyEvents(std::function<void()> function);

    /// Calls the function whenever the process receives the signal.
    void onSignal(int signal, std::function<void()> function);

    /// Returns libevent's object, for the other classes of this library.
    event_base *base() const;

private:
    struct callback;

    callback &add(std::function<void()> function, bool once);
    static void invoke(int, short, void *argument);

    event_base *m_base;
    std::map<callback *, std::unique_ptr<callback>> m_callbacks;
};

}

#endif
