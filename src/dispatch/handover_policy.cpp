#include "dispatch/handover_policy.h"

#include <limits>

#include "dispatch/processor_budget.h"

namespace azuremoor
{

namespace
{

/// Age up to which a report is used. A heartbeat reaches each entry within 800 ms.
constexpr microseconds MAX_REPORT_AGE = seconds(1);

}

double handover_peer::orderingTime(double work) const
{
    return shareMilliCores > 0 ? work / shareMilliCores : std::numeric_limits<double>::infinity();
}

double handover_peer::expectedDelay() const
{
    return orderingTime(waitingWork + handedWork) + static_cast<double>((2 * processorDelay + linkDelay).count());
}

bool spare_time_handover::isCandidate(const handover_job &job) const
{
    return job.shortage != resource_shortage::none && !job.hasOrders && !job.isTaken && job.timeToStart.count() > 0;
}

bool spare_time_handover::canTake(const handover_peer &peer, const handover_job &job) const
{
    if (peer.reportAge > MAX_REPORT_AGE || !peer.acceptsJobs || !peer.hasSameRouting || peer.isShort) {
        return false;
    }
    if (peer.processorDelay >= PROMPT_READ_DELAY) {
        return false;
    }
    if (peer.expectedDelay() >= static_cast<double>(job.timeToStart.count())) {
        return false;
    }
    return peer.handedWork <= 0 || peer.handedWork + job.work <= peer.maxHandedWork;
}

bool spare_time_handover::isBetter(const handover_peer &one, const handover_peer &other) const
{
    return one.expectedDelay() < other.expectedDelay();
}

}
