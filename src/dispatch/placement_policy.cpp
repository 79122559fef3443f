#include "dispatch/placement_policy.h"

#include <algorithm>
#include <limits>

namespace azuremoor
{

namespace
{

/// Time that an order and its result take beyond a run within the data centre, and between data centres.
constexpr double LOCAL_TRANSIT_MICROSECONDS = 500;
constexpr double REMOTE_TRANSIT_MICROSECONDS = 3000;

/// Failure rate from which on a worker only gets a task when no other has room.
constexpr double QUARANTINE_RATE = 0.5;
constexpr double QUARANTINE_PENALTY = 50;

/// Spreads tasks of several entries over workers that are about equally good.
constexpr double TIE_SPREAD = 0.08;

bool hasLabel(const pooled_worker &worker, const std::string &label)
{
    const auto &labels = worker.status.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool isEligible(const pooled_worker &worker, const placement_request &request)
{
    return worker.status.service == request.service && hasLabel(worker, request.step->requiredLabel);
}

}

earliest_done_placement::earliest_done_placement(const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed)
    : m_time(time)
    , m_dataCentre(std::move(dataCentre))
    , m_remoteFactor(remoteFactor)
    , m_random(seed)
{
}

pooled_worker *earliest_done_placement::choose(worker_pool &pool, const placement_request &request)
{
    pooled_worker *best = nullptr;
    double bestExpected = std::numeric_limits<double>::max();
    for (auto &[agent, worker] : pool.workers()) {
        if (!pool.isUsable(worker) || !isEligible(worker, request) || request.excludedAgents.contains(agent)
            || !request.step->shape.fitsInto(worker.freeRoom())) {
            continue;
        }
        double expected = expectedMicroseconds(worker, *request.step);
        if (agent == request.avoidedAgent) {
            expected *= QUARANTINE_PENALTY;
        }
        if (expected < bestExpected) {
            bestExpected = expected;
            best = &worker;
        }
    }
    return best;
}

bool earliest_done_placement::couldRun(const worker_pool &pool, const placement_request &request) const
{
    const auto &workers = pool.workers();
    return std::any_of(workers.begin(), workers.end(), [&request](const auto &entry) {
        return isEligible(entry.second, request) && request.step->shape.fitsInto(entry.second.status.capacity);
    });
}

double earliest_done_placement::expectedMicroseconds(const pooled_worker &worker, const step_spec &step)
{
    const bool isNear = hasLabel(worker, step.nearRack);
    double expected = static_cast<double>(step.estimate.count()) * worker.performance.slowness() * (isNear ? 1.0 : m_remoteFactor);
    const double failureRate = worker.performance.failureRate(m_time.steadyNow());
    // A failed run costs its time and that of the run that replaces it.
    expected *= 1 + 2 * failureRate;
    if (failureRate > QUARANTINE_RATE) {
        expected *= QUARANTINE_PENALTY;
    }
    expected += worker.dataCentre == m_dataCentre ? LOCAL_TRANSIT_MICROSECONDS : REMOTE_TRANSIT_MICROSECONDS;
    return expected * std::uniform_real_distribution<double>(1, 1 + TIE_SPREAD)(m_random);
}

}
