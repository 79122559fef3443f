#include "runs/tracked_worker.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// The largest whole number that every reader of JSON takes exactly.
constexpr std::uint64_t MAX_FENCING_TOKEN = std::uint64_t{1} << 53;

}

tracked_worker::tracked_worker(const time_source &time, const worker_report &firstReport, std::uint64_t minFencingToken)
    : report(firstReport)
    // The clock of a boot of the worker never goes back, so a later agent process gets a higher token.
    , fencingToken(std::max({static_cast<std::uint64_t>(firstReport.clock), minFencingToken, std::uint64_t{1}}))
    , draining(firstReport.draining)
    , clock(time, firstReport.clock)
{
}

void tracked_worker::raiseFencingToken()
{
    fencingToken = std::min(2 * fencingToken, MAX_FENCING_TOKEN);
}

void tracked_worker::update(const worker_report &newReport, steady_time now)
{
    report = newReport;
    hasReported = true;
    hasDeparted = false;
    if (!hasLease) {
        // The instance may have been registered by a late report, whose clock is behind the tokens that it has seen.
        fencingToken = std::max(fencingToken, static_cast<std::uint64_t>(report.clock));
    }
    coldUntil = now + report.coldRemaining;
}

worker_status tracked_worker::status(const task_shape &used, steady_time now) const
{
    worker_status result;
    result.worker = report.workerInstance;
    result.service = report.service;
    result.labels = report.labels;
    result.capacity = report.capacity;
    result.free = report.capacity.saturatingMinus(used);
    const auto cold = std::chrono::ceil<milliseconds>(coldUntil - now);
    result.coldMilliseconds = static_cast<std::uint32_t>(std::max<std::int64_t>(cold.count(), 0));
    return result;
}

worker_report nextBootOf(const worker_report &former, const lease_response &answer)
{
    worker_report result;
    result.workerInstance = former.workerInstance;
    result.address = former.address;
    result.boot = answer.boot;
    result.clock = answer.clock;
    return result;
}

request_context tracked_worker::context() const
{
    return {report.workerInstance, report.address, fencingToken};
}

}
