#include "dispatch/pooled_worker.h"

#include <algorithm>
#include <utility>

namespace azuremoor
{

task_shape pooled_worker::usableCapacity() const
{
    return status.capacity.saturatingMinus(withheld);
}

task_shape pooled_worker::availableCapacity() const
{
    task_shape available = status.free.saturatingMinus(withheld);
    // Mostly the report includes all orders but the latest few.
    for (auto run = runs.rbegin(); run != runs.rend() && run->first > status.appliedOrder; ++run) {
        available = available.saturatingMinus(run->second.shape);
    }
    return available;
}

steady_time pooled_worker::leaseRenewal() const
{
    return std::max(lastHeartbeatAt, leaseRenewedAt);
}

std::int64_t pooled_worker::agentTimeAt(steady_time time) const
{
    if (!agentClock) {
        return 0;
    }
    const double elapsed = static_cast<double>((time - agentClock->receivedAt).count());
    return agentClock->agentMicroseconds + static_cast<std::int64_t>(elapsed * (1 - CLOCK_RATE_TOLERANCE));
}

void pooled_worker::turnToProcess(std::uint64_t process, microseconds runsEndedAfter)
{
    formerSessions.add(
        {incarnation, status.worker, std::exchange(runs, {}), lastOrderSequence, lastResultNumber, leaseRenewal() + runsEndedAfter});
    incarnation = process;
    lastOrderSequence = 0;
    lastResultNumber = 0;
    agentClock.reset();
    leaseRenewedAt = {};
    status = {};
    endedSinceReport = {0, 0, 0};
    if (std::optional<former_session> session = formerSessions.takeSessionWith(process)) {
        runs = std::move(session->runs);
        lastOrderSequence = session->lastOrderSequence;
        lastResultNumber = session->lastResultNumber;
        status.worker = std::move(session->workerInstance);
    }
}

}
