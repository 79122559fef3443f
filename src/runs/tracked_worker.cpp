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

request_context tracked_worker::context() const
{
    return {report.workerInstance, report.address, fencingToken};
}

}
