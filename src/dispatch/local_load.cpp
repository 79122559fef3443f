#include "dispatch/local_load.h"

#include <algorithm>
#include <limits>

namespace azuremoor
{

namespace
{

/// Time constant of the rate of work that callers ask for. Demand may swing within 10 s.
constexpr microseconds ASKED_RATE_TIME_CONSTANT = seconds(1);

/// Time constant of the rate of ordered work.
constexpr microseconds ORDERED_RATE_TIME_CONSTANT = milliseconds(400);

std::uint32_t reportedMicroseconds(microseconds delay)
{
    constexpr std::int64_t MAX_REPORTED = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(delay.count(), 0, MAX_REPORTED));
}

}

local_load::local_load()
    : m_askedRate(ASKED_RATE_TIME_CONSTANT)
    , m_orderedRate(ORDERED_RATE_TIME_CONSTANT)
{
}

void local_load::recordAskedWork(double work, steady_time now)
{
    m_askedRate.add(work, now);
}

void local_load::recordOrderedWork(double work, steady_time now)
{
    m_orderedRate.add(work, now);
}

void local_load::setProcessorDelay(microseconds delay)
{
    m_processorDelay = delay;
}

void local_load::setLinkDelay(microseconds delay)
{
    m_linkDelay = delay;
}

void local_load::setAcceptsJobs(bool acceptsJobs)
{
    m_acceptsJobs = acceptsJobs;
}

double local_load::askedMilliCores(steady_time now) const
{
    return m_askedRate.perMicrosecond(now);
}

double local_load::orderedMilliCores(steady_time now) const
{
    return m_orderedRate.perMicrosecond(now);
}

microseconds local_load::processorDelay() const
{
    return m_processorDelay;
}

microseconds local_load::linkDelay() const
{
    return m_linkDelay;
}

entry_load local_load::report(steady_time now) const
{
    entry_load result;
    result.askedMilliCores = static_cast<std::uint64_t>(askedMilliCores(now));
    result.processorDelayMicroseconds = reportedMicroseconds(m_processorDelay);
    result.linkDelayMicroseconds = reportedMicroseconds(m_linkDelay);
    result.acceptsJobs = m_acceptsJobs;
    return result;
}

}
