#ifndef AZUREMOOR_TRANSPORT_LOOP_MONITOR_H
#define AZUREMOOR_TRANSPORT_LOOP_MONITOR_H

#include <functional>

#include "base/processor_clock.h"
#include "transport/event_loop.h"

struct event;

namespace azuremoor
{

/// What a monitor measured between two reports.
struct loop_report {
    /// The longest delay.
    microseconds maxDelay{0};
    /// Processor time that the process used, and the time that passed meanwhile.
    microseconds processorTime{0};
    microseconds elapsed{0};
};

/**
 * Measures how long events wait for the processor before the event loop handles them.
 *
 * At regular times a probe event is queued behind the active events of the lowest priority. The delay is the time from when the probe
 * was due until it was handled: a request that arrived at the same moment waited as long before it was read.
 */
class loop_monitor
{
public:
    using delay_listener = std::function<void(microseconds delay)>;

    /// The listener gets the delay of each probe. A timer of the loop has to call `probe()` at the interval.
    loop_monitor(
        event_loop &loop, const time_source &time, const processor_clock &processor, microseconds interval, delay_listener listener);
    ~loop_monitor();
    loop_monitor(const loop_monitor &) = delete;
    loop_monitor &operator=(const loop_monitor &) = delete;

    /// Queues the next probe, unless one is pending.
    void probe();

    /// Returns the delay that lasts: the smaller one of the two latest probes, or what the latest exceeds two intervals by. One event of
    /// some milliseconds delays what arrives meanwhile, but nothing after it. A pending probe counts as the latest if it has waited for
    /// longer.
    microseconds lastingDelay() const;

    /// Returns what was measured since the previous report, and begins the next one.
    loop_report takeReport();

private:
    static void handleProbe(int, short, void *argument);
    void recordProbe();
    microseconds latestDelay() const;

    const time_source &m_time;
    const processor_clock &m_processor;
    microseconds m_interval;
    delay_listener m_listener;
    event *m_probe;
    bool m_isProbePending = false;
    steady_time m_nextProbeDue;
    /// When the latest probe was due.
    steady_time m_probeDue;
    microseconds m_latestDelay{0};
    microseconds m_previousDelay{0};
    microseconds m_maxDelay{0};
    steady_time m_reportedAt;
    microseconds m_reportedProcessorTime{0};
};

}

#endif
