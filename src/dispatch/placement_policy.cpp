#include "dispatch/placement_policy.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace azuremoor
{

namespace
{

/// Time that an order and its result take beyond a run within the data centre, and between data centres.
constexpr double LOCAL_TRANSIT_MICROSECONDS = 500;
constexpr double REMOTE_TRANSIT_MICROSECONDS = 3000;

/// Failure rate from which on a worker is in quarantine, unless the others fail too.
constexpr double QUARANTINE_RATE = 0.5;

/// Interval at which a worker in quarantine gets a task, to show whether it has recovered.
constexpr microseconds TRIAL_INTERVAL = milliseconds(400);

/// Time for which the medians over all workers are used.
constexpr microseconds USUAL_LIFETIME = milliseconds(10);

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
    const pool_usual &usual = presentUsual(pool);
    std::optional<bool> hasOther;
    pooled_worker *best = nullptr;
    double bestExpected = std::numeric_limits<double>::max();
    for (auto &[agent, worker] : pool.workers()) {
        if (!pool.isUsable(worker) || !request.step->shape.fitsInto(worker.freeRoom()) || !isEligible(worker, request)
            || request.excludedAgents.contains(agent)) {
            continue;
        }
        const bool isUnsuitable = agent == request.avoidedAgent || (isQuarantined(worker, usual) && !mayBeTried(worker));
        if (isUnsuitable && !hasOther) {
            hasOther = hasSoundWorkerBeside(pool, request, usual);
        }
        if (isUnsuitable && *hasOther) {
            continue;
        }
        const double expected = expectedMicroseconds(worker, *request.step);
        if (expected < bestExpected) {
            bestExpected = expected;
            best = &worker;
        }
    }
    return best;
}

const pool_usual &earliest_done_placement::presentUsual(const worker_pool &pool)
{
    const steady_time now = m_time.steadyNow();
    if (now >= m_usualUntil) {
        m_usual = usualOf(pool, now);
        m_usualUntil = now + USUAL_LIFETIME;
    }
    return m_usual;
}

bool earliest_done_placement::hasSoundWorkerBeside(const worker_pool &pool, const placement_request &request, const pool_usual &usual) const
{
    const auto &workers = pool.workers();
    return std::any_of(workers.begin(), workers.end(), [&](const auto &entry) {
        const pooled_worker &worker = entry.second;
        return pool.isUsable(worker) && isEligible(worker, request) && entry.first != request.avoidedAgent
            && !request.excludedAgents.contains(entry.first) && request.step->shape.fitsInto(worker.status.capacity)
            && !isQuarantined(worker, usual);
    });
}

bool earliest_done_placement::isQuarantined(const pooled_worker &worker, const pool_usual &usual) const
{
    const bool isFailing = worker.performance.failureRate(m_time.steadyNow()) > QUARANTINE_RATE && usual.failureRate < QUARANTINE_RATE / 2;
    return isFailing || worker.performance.slowness() >= SLOW_WORKER_FACTOR * usual.slowness;
}

bool earliest_done_placement::mayBeTried(const pooled_worker &worker) const
{
    return m_time.steadyNow() >= worker.lastOrderAt + TRIAL_INTERVAL;
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
    expected += worker.dataCentre == m_dataCentre ? LOCAL_TRANSIT_MICROSECONDS : REMOTE_TRANSIT_MICROSECONDS;
    return expected * std::uniform_real_distribution<double>(1, 1 + TIE_SPREAD)(m_random);
}

}
