#include "dispatch/worker_ranking.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace azuremoor
{

namespace
{

/// Transit time of an order and its result, within a data centre and between data centres.
constexpr double LOCAL_TRANSIT_MICROSECONDS = 500;
constexpr double REMOTE_TRANSIT_MICROSECONDS = 3000;

/// Failure rate above which a worker is quarantined, unless the median failure rate of all workers is at least half of this.
constexpr double QUARANTINE_FAILURE_RATE = 0.5;

/// Interval at which a quarantined worker gets a task, which shows whether it has recovered.
constexpr microseconds TRIAL_INTERVAL = milliseconds(400);

/// Time after which the medians over all workers are computed anew.
constexpr microseconds MEDIANS_LIFETIME = milliseconds(10);

/// Upper bound of the random relative increase of each estimate. It makes several entries spread tasks over nearly equal workers.
constexpr double EXPECTED_TIME_JITTER = 0.08;

/// A run that is overdue is expected to take this part of its age in addition.
constexpr double OVERDUE_RUN_PART = 0.25;

/// Returns how many tasks of the shape fit into the capacity together.
double tasksThatFit(const task_shape &shape, const task_shape &capacity)
{
    double result = std::numeric_limits<double>::max();
    const auto limitBy = [&result](std::uint32_t needed, std::uint32_t available) {
        result = needed == 0 ? result : std::min(result, std::floor(static_cast<double>(available) / needed));
    };
    limitBy(shape.milliCores, capacity.milliCores);
    limitBy(shape.memoryMegabytes, capacity.memoryMegabytes);
    limitBy(shape.accelerators, capacity.accelerators);
    return result;
}

/// Returns when the run is expected to end.
steady_time expectedEnd(const pooled_worker &worker, const outstanding_run &run, steady_time now)
{
    const double runTime = static_cast<double>(run.estimate.count()) * worker.performance.slowness();
    const steady_time end = run.orderedAt + microseconds(static_cast<std::int64_t>(runTime));
    const double overdue = OVERDUE_RUN_PART * static_cast<double>((now - run.orderedAt).count());
    return end > now ? end : now + microseconds(static_cast<std::int64_t>(overdue));
}

bool hasLabel(const pooled_worker &worker, const std::string &label)
{
    const auto &labels = worker.status.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool isEligible(const pooled_worker &worker, const placement_request &request)
{
    return worker.status.service == request.service && hasLabel(worker, request.step->requiredLabel);
}

/// Returns whether the task may be ordered from the worker in spite of a reservation there, as far as the latest report says.
bool respectsReservation(const pooled_worker &worker, const step_spec &step, steady_time now)
{
    const capacity_outlook &outlook = worker.status.outlook;
    if (outlook.reserved == task_shape{} || (outlook.isOwnReservation && step.shape == outlook.reserved)) {
        return true;
    }
    const double runTime = static_cast<double>(step.estimate.count()) * worker.performance.slowness();
    const steady_time end = now + microseconds(static_cast<std::int64_t>(runTime));
    task_shape both = step.shape;
    both += outlook.reserved;
    return end <= worker.statusReceivedAt + milliseconds(outlook.reservedInMilliseconds) || both.fitsInto(worker.availableCapacity());
}

}

worker_ranking::worker_ranking(const time_source &time, std::string dataCentre, double remoteFactor, std::uint64_t seed)
    : m_time(time)
    , m_dataCentre(std::move(dataCentre))
    , m_remoteFactor(remoteFactor)
    , m_random(seed)
{
}

std::span<const ranked_worker> worker_ranking::rank(worker_pool &pool, const placement_request &request)
{
    const steady_time now = m_time.steadyNow();
    const pool_medians &medians = currentMedians(pool, now);
    std::optional<bool> hasAlternative;
    m_ranked.clear();
    for (auto &[agent, worker] : pool.workers()) {
        if (!pool.isUsable(worker, now) || !request.step->shape.fitsInto(worker.availableCapacity()) || !isEligible(worker, request)
            || request.excludedAgents.contains(agent) || !respectsReservation(worker, *request.step, now)) {
            continue;
        }
        const bool isUnsuitable = agent == request.avoidedAgent || (isQuarantined(worker, medians, now) && !isTrialDue(worker, now));
        if (isUnsuitable && !hasAlternative) {
            hasAlternative = hasHealthyAlternative(pool, request, medians, now);
        }
        if (isUnsuitable && *hasAlternative) {
            continue;
        }
        const double estimated = expectedMicroseconds(worker, *request.step, now);
        m_ranked.push_back({&worker, estimated * jitter(), estimated});
    }
    if (request.preference != nullptr) {
        request.preference->narrow(pool, request, m_ranked);
    }
    return m_ranked;
}

std::optional<double> worker_ranking::shortestMicroseconds(const worker_pool &pool, const placement_request &request)
{
    const steady_time now = m_time.steadyNow();
    const pool_medians &medians = currentMedians(pool, now);
    std::optional<double> shortest;
    for (const auto &[agent, worker] : pool.workers()) {
        if (isHealthyAlternative(pool, worker, request, medians, now)) {
            const double expected = expectedMicroseconds(worker, *request.step, now);
            shortest = std::min(shortest.value_or(expected), expected);
        }
    }
    return shortest;
}

double worker_ranking::milliCoresInTime(const worker_pool &pool, const placement_request &request, double sendingMicroseconds)
{
    const steady_time now = m_time.steadyNow();
    const pool_medians &medians = currentMedians(pool, now);
    double result = 0;
    for (const auto &[agent, worker] : pool.workers()) {
        if (!isHealthyAlternative(pool, worker, request, medians, now)) {
            continue;
        }
        const double expected = expectedMicroseconds(worker, *request.step, now) + sendingMicroseconds;
        const steady_time latestStart = request.objective - microseconds(static_cast<std::int64_t>(expected));
        if (latestStart < now) {
            continue;
        }
        task_shape free = worker.availableCapacity();
        for (const auto &[sequence, run] : worker.runs) {
            free += expectedEnd(worker, run, now) <= latestStart ? run.shape : task_shape{0, 0, 0};
        }
        result += tasksThatFit(request.step->shape, free) * request.step->shape.milliCores;
    }
    return result;
}

const pool_medians &worker_ranking::currentMedians(const worker_pool &pool, steady_time now)
{
    if (now >= m_mediansValidUntil) {
        m_medians = poolMedians(pool, now);
        m_mediansValidUntil = now + MEDIANS_LIFETIME;
    }
    return m_medians;
}

bool worker_ranking::hasHealthyAlternative(const worker_pool &pool,
                                           const placement_request &request,
                                           const pool_medians &medians,
                                           steady_time now) const
{
    const auto &workers = pool.workers();
    return std::any_of(
        workers.begin(), workers.end(), [&](const auto &each) { return isHealthyAlternative(pool, each.second, request, medians, now); });
}

bool worker_ranking::isHealthyAlternative(const worker_pool &pool,
                                          const pooled_worker &worker,
                                          const placement_request &request,
                                          const pool_medians &medians,
                                          steady_time now) const
{
    return pool.isUsable(worker, now) && isEligible(worker, request) && worker.agent != request.avoidedAgent
        && !request.excludedAgents.contains(worker.agent) && request.step->shape.fitsInto(worker.status.capacity)
        && !isQuarantined(worker, medians, now);
}

bool worker_ranking::isQuarantined(const pooled_worker &worker, const pool_medians &medians, steady_time now) const
{
    const bool isFailing
        = worker.performance.failureRate(now) > QUARANTINE_FAILURE_RATE && medians.failureRate < QUARANTINE_FAILURE_RATE / 2;
    return isFailing || worker.performance.slowness() >= SLOW_WORKER_RATIO * medians.slowness;
}

bool worker_ranking::isTrialDue(const pooled_worker &worker, steady_time now) const
{
    return now >= worker.lastOrderAt + TRIAL_INTERVAL;
}

bool worker_ranking::canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const
{
    const auto &workers = pool.workers();
    return std::any_of(workers.begin(), workers.end(), [&request](const auto &each) {
        return !each.second.isEvacuated && isEligible(each.second, request) && request.step->shape.fitsInto(each.second.status.capacity);
    });
}

double worker_ranking::expectedMicroseconds(const pooled_worker &worker, const step_spec &step, steady_time now) const
{
    const bool isInPreferredRack = hasLabel(worker, step.preferredRack);
    double expected
        = static_cast<double>(step.estimate.count()) * worker.performance.slowness() * (isInPreferredRack ? 1.0 : m_remoteFactor);
    const double failureRate = worker.performance.failureRate(now);
    // A failed run costs its own time and that of its replacement.
    expected *= 1 + 2 * failureRate;
    expected += worker.dataCentre == m_dataCentre ? LOCAL_TRANSIT_MICROSECONDS : REMOTE_TRANSIT_MICROSECONDS;
    return expected;
}

double worker_ranking::jitter()
{
    return std::uniform_real_distribution<double>(1, 1 + EXPECTED_TIME_JITTER)(m_random);
}

}
