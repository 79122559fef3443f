#include "runs/worker_clock.h"

#include <algorithm>

namespace azuremoor
{

milliseconds withClockTolerance(milliseconds duration)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 + CLOCK_TOLERANCE)) + 1);
}

worker_clock::worker_clock(const time_source &time, worker_milliseconds sample)
    : m_time(time)
    , m_sample(sample)
    , m_sampledAt(time.steadyNow())
{
}

void worker_clock::addSample(worker_milliseconds sample)
{
    if (sample > m_sample) {
        m_sample = sample;
        m_sampledAt = m_time.steadyNow();
    }
}

worker_milliseconds worker_clock::now() const
{
    return m_sample + std::chrono::duration_cast<milliseconds>(m_time.steadyNow() - m_sampledAt).count();
}

void worker_clock::extendLease(worker_milliseconds deadline)
{
    m_leaseEnd = std::max(m_leaseEnd, deadline);
}

void worker_clock::beginRequest(worker_milliseconds deadline)
{
    m_deadlinesUnderWay.insert(deadline);
}

void worker_clock::endRequest(worker_milliseconds deadline, bool mayHaveArrived)
{
    if (const auto found = m_deadlinesUnderWay.find(deadline); found != m_deadlinesUnderWay.end()) {
        m_deadlinesUnderWay.erase(found);
    }
    if (mayHaveArrived) {
        extendLease(deadline);
    }
}

worker_milliseconds worker_clock::leaseEnd() const
{
    return m_deadlinesUnderWay.empty() ? m_leaseEnd : std::max(m_leaseEnd, *m_deadlinesUnderWay.rbegin());
}

worker_milliseconds worker_clock::receivedLeaseEnd() const
{
    return m_leaseEnd;
}

steady_time worker_clock::latestLeaseEnd() const
{
    return m_sampledAt + withClockTolerance(std::max(milliseconds(leaseEnd() - m_sample), milliseconds(0)));
}

}
