#include "dispatch/look_ahead_placement.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace azuremoor
{

namespace
{

/// Workers whose expected time is within this multiple of the lowest one are about equally good.
constexpr double EQUAL_TIME_RATIO = 1.1;

double freePart(std::uint32_t free, std::uint32_t capacity)
{
    return capacity == 0 ? 0 : static_cast<double>(free) / static_cast<double>(capacity);
}

}

look_ahead_placement::look_ahead_placement(
    const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed, const look_ahead_options &options)
    : m_time(time)
    , m_ranking(time, std::move(dataCentre), remoteFactor, seed)
    , m_options(options)
{
}

pooled_worker *look_ahead_placement::chooseWorker(worker_pool &pool, const placement_request &request)
{
    std::vector<choice> choices;
    double lowest = std::numeric_limits<double>::max();
    double lowestEstimate = lowest;
    for (const ranked_worker &ranked : m_ranking.rank(pool, request)) {
        choices.push_back(evaluate(pool, request, ranked));
        lowest = std::min(lowest, choices.back().expectedMicroseconds);
        lowestEstimate = std::min(lowestEstimate, choices.back().estimatedMicroseconds);
    }
    m_hasDeclined = !choices.empty() && isWaitBetter(pool, request, lowestEstimate);
    if (choices.empty() || m_hasDeclined) {
        return nullptr;
    }
    const double longest = lowest * EQUAL_TIME_RATIO;
    const choice *best = nullptr;
    for (const choice &each : choices) {
        if (each.expectedMicroseconds <= longest && (best == nullptr || isPreferred(each, *best))) {
            best = &each;
        }
    }
    return best == nullptr ? nullptr : best->worker;
}

bool look_ahead_placement::hasDeclined() const
{
    return m_hasDeclined;
}

bool look_ahead_placement::canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const
{
    return m_ranking.canAnyWorkerRun(pool, request);
}

bool look_ahead_placement::isPacked(const placement_request &request) const
{
    const bool isLargerWaiting = !request.largestWaiting.fitsInto(request.step->shape);
    return m_options.packing == packing_rule::always || (m_options.packing == packing_rule::for_larger_tasks && isLargerWaiting);
}

bool look_ahead_placement::isWaitBetter(const worker_pool &pool, const placement_request &request, double lowest)
{
    const auto left = static_cast<double>((request.objective - m_time.steadyNow()).count());
    if (!m_options.waitsForObjective || lowest <= left || left <= 0) {
        return false;
    }
    const double sending = sendingMicroseconds(request);
    const std::optional<double> shortest = m_ranking.shortestMicroseconds(pool, request);
    if (!shortest || *shortest + sending > left) {
        return false;
    }
    if (request.mayYield) {
        return true;
    }
    const double inTime = m_ranking.milliCoresInTime(pool, request, sending);
    return inTime > 0 && inTime >= request.waitingMilliCores;
}

double look_ahead_placement::sendingMicroseconds(const placement_request &request) const
{
    return m_options.linkRate > 0 ? static_cast<double>(request.payloadBytes) / m_options.linkRate : 0;
}

look_ahead_placement::choice
look_ahead_placement::evaluate(const worker_pool &pool, const placement_request &request, const ranked_worker &ranked) const
{
    choice result{ranked.worker, ranked.expectedMicroseconds, ranked.estimatedMicroseconds, false, 0};
    if (m_options.linkRate > 0) {
        result.sharesPayload = pool.hasUnsentOrderOf(*ranked.worker, request.job);
        const double sending = result.sharesPayload ? 0 : sendingMicroseconds(request);
        result.expectedMicroseconds += sending;
        result.estimatedMicroseconds += sending;
    }
    if (isPacked(request)) {
        const task_shape remaining = ranked.worker->availableCapacity().saturatingMinus(request.step->shape);
        const task_shape &capacity = ranked.worker->status.capacity;
        result.remainingCapacity
            = freePart(remaining.milliCores, capacity.milliCores) + freePart(remaining.memoryMegabytes, capacity.memoryMegabytes);
    }
    return result;
}

bool look_ahead_placement::isPreferred(const choice &one, const choice &other)
{
    if (one.sharesPayload != other.sharesPayload) {
        return one.sharesPayload;
    }
    if (one.remainingCapacity != other.remainingCapacity) {
        return one.remainingCapacity < other.remainingCapacity;
    }
    return one.expectedMicroseconds < other.expectedMicroseconds;
}

}
