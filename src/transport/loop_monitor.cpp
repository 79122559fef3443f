#include "transport/loop_monitor.h"

#include <algorithm>
#include <utility>

#include <event2/event.h>

namespace azuremoor
{

loop_monitor::loop_monitor(
    event_loop &loop, const time_source &time, const processor_clock &processor, microseconds interval, delay_listener listener)
    : m_time(time)
    , m_processor(processor)
    , m_interval(interval)
    , m_listener(std::move(listener))
    , m_probe(event_new(loop.base(), -1, 0, handleProbe, this))
    , m_nextProbeDue(time.steadyNow() + interval)
    , m_reportedAt(time.steadyNow())
    , m_reportedProcessorTime(processor.usedTime())
{
    event_priority_set(m_probe, static_cast<int>(loop_priority::low));
}

loop_monitor::~loop_monitor()
{
    event_free(m_probe);
}

microseconds loop_monitor::lastingDelay() const
{
    const microseconds latest = latestDelay();
    return std::max(std::min(latest, m_previousDelay), latest - 2 * m_interval);
}

loop_report loop_monitor::takeReport()
{
    const steady_time now = m_time.steadyNow();
    const microseconds processorTime = m_processor.usedTime();
    const loop_report result{std::max(m_maxDelay, latestDelay()), processorTime - m_reportedProcessorTime, now - m_reportedAt};
    m_maxDelay = microseconds(0);
    m_reportedAt = now;
    m_reportedProcessorTime = processorTime;
    return result;
}

void loop_monitor::handleProbe(int, short, void *argument)
{
    static_cast<loop_monitor *>(argument)->recordProbe();
}

void loop_monitor::probe()
{
    const steady_time now = m_time.steadyNow();
    const steady_time due = std::min(m_nextProbeDue, now);
    m_nextProbeDue = now + m_interval;
    if (!m_isProbePending) {
        m_isProbePending = true;
        m_probeDue = due;
        event_active(m_probe, 0, 0);
    }
}

void loop_monitor::recordProbe()
{
    m_isProbePending = false;
    m_previousDelay = m_latestDelay;
    m_latestDelay = m_time.steadyNow() - m_probeDue;
    m_maxDelay = std::max(m_maxDelay, m_latestDelay);
    m_listener(m_latestDelay);
}

microseconds loop_monitor::latestDelay() const
{
    return m_isProbePending ? std::max(m_latestDelay, m_time.steadyNow() - m_probeDue) : m_latestDelay;
}

}
