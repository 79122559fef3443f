#include "dispatch/reservation_planner.h"

#include <algorithm>
#include <optional>

namespace azuremoor
{

namespace
{

/// Weight of the latest pass in the capacity that is usually free.
constexpr double PASS_WEIGHT = 0.02;

/// Weight of the latest order in the mean size of tasks, and the multiple of that mean from which on a task is large. Reservations for
/// tasks of about the usual size only keep capacity idle: in the benchmark at 130% of the capacity, taxi fell from 63 to 57% in time.
constexpr double ORDER_WEIGHT = 0.02;
constexpr double LARGE_TASK_RATIO = 2;

/// Time for which a task waits before it gets a reservation. Most waits for capacity are shorter.
constexpr microseconds MIN_WAIT = milliseconds(10);

/// A reservation lasts for this multiple of the expected wait, plus the margin.
constexpr int WAIT_MULTIPLE = 2;
constexpr milliseconds WAIT_MARGIN{100};

/// Expected waits from which on nothing is reserved, because the forecast is too uncertain.
constexpr microseconds MAX_EXPECTED_WAIT = milliseconds(400);

/// Part of the workers at which one entry may have reservations, within MAX_ENTRY_RESERVATIONS.
constexpr std::size_t WORKERS_PER_RESERVATION = 16;

/// Number of steps without a worker from which on the entry counts as overloaded and nothing is reserved: capacity that is kept idle is
/// then lost to many others. In the benchmark at 130% of the capacity, reservations lowered the small jobs in time from 82 to 64%.
constexpr std::size_t OVERLOAD_STEPS = 8;

/// Maximum number of tasks without a worker that are remembered.
constexpr std::size_t MAX_WAITING_TASKS = 512;

bool hasLabel(const pooled_worker &worker, const std::string &label)
{
    const auto &labels = worker.status.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

/// Adds a sample to a moving mean, which begins with the first sample.
void addSample(std::optional<double> &mean, double sample, double weight)
{
    mean = mean ? *mean + weight * (sample - *mean) : sample;
}

/// Returns the expected time until the worker has the free capacity; nothing if its forecast does not say.
std::optional<microseconds> expectedWait(const pooled_worker &worker, std::uint32_t milliCores, steady_time now)
{
    if (milliCores <= worker.availableCapacity().milliCores) {
        return microseconds(0);
    }
    for (const capacity_step &step : worker.status.outlook.steps) {
        if (milliCores <= step.freeMilliCores) {
            return std::max<microseconds>(worker.statusReceivedAt + milliseconds(step.milliseconds) - now, microseconds(0));
        }
    }
    return std::nullopt;
}

}

reservation_planner::reservation_planner(const time_source &time, const worker_pool &pool, peer_outbox &outbox, decision_journal &journal)
    : m_time(time)
    , m_pool(pool)
    , m_outbox(outbox)
    , m_journal(journal)
{
}

void reservation_planner::beginPass(const task_shape &largestAvailable)
{
    addSample(m_usualMilliCores, largestAvailable.milliCores, PASS_WEIGHT);
    m_unplaced.clear();
}

void reservation_planner::recordUnplaced(const active_job &job, std::uint32_t task)
{
    const task_key key{job.number, task};
    if (m_waitingSince.size() < MAX_WAITING_TASKS) {
        m_waitingSince.try_emplace(key, m_time.steadyNow(), m_orders);
    }
    m_unplaced.push_back({key, &job.stepOf(task), job.matchedRoute.service, job.matchedRoute.priority, job.latencyObjective()});
}

void reservation_planner::recordOrder(const active_job &job, std::uint32_t task, const std::string &agent)
{
    ++m_orders;
    addSample(m_meanTaskMilliCores, job.stepOf(task).shape.milliCores, ORDER_WEIGHT);
    const task_key key{job.number, task};
    m_waitingSince.erase(key);
    const auto found = m_reservations.find(key);
    if (found == m_reservations.end()) {
        return;
    }
    if (found->second.agent != agent) {
        withdraw(found->second);
    }
    m_reservations.erase(found);
}

void reservation_planner::endJob(std::uint64_t job)
{
    const auto isOfJob = [job](const auto &each) { return each.first.first == job; };
    std::erase_if(m_waitingSince, isOfJob);
    for (const auto &[key, reservation] : m_reservations) {
        if (key.first == job) {
            withdraw(reservation);
        }
    }
    std::erase_if(m_reservations, isOfJob);
}

void reservation_planner::endPass()
{
    forgetExpired(m_time.steadyNow());
    const std::size_t limit = std::clamp<std::size_t>(m_pool.workers().size() / WORKERS_PER_RESERVATION, 1, MAX_ENTRY_RESERVATIONS);
    for (const waiting_task &task : m_unplaced) {
        if (m_reservations.size() >= limit || m_unplaced.size() >= OVERLOAD_STEPS) {
            break;
        }
        if (m_reservations.contains(task.key) || !isLarge(task)) {
            continue;
        }
        const expected_room room = findRoom(task);
        if (room.worker != nullptr && room.wait <= MAX_EXPECTED_WAIT && m_time.steadyNow() + room.completion <= task.objective) {
            reserve(task, room);
        }
    }
    m_unplaced.clear();
}

const planner_counters &reservation_planner::counters() const
{
    return m_counters;
}

bool reservation_planner::isLarge(const waiting_task &task) const
{
    const auto waiting = m_waitingSince.find(task.key);
    const double threshold = std::max(m_usualMilliCores.value_or(0), LARGE_TASK_RATIO * m_meanTaskMilliCores.value_or(0));
    if (task.step->shape.milliCores <= threshold || waiting == m_waitingSince.end()) {
        return false;
    }
    const auto &[since, orders] = waiting->second;
    return m_time.steadyNow() >= since + MIN_WAIT && m_orders > orders;
}

reservation_planner::expected_room reservation_planner::findRoom(const waiting_task &task) const
{
    const steady_time now = m_time.steadyNow();
    expected_room best{nullptr, {}, microseconds::max()};
    for (const auto &[agent, worker] : m_pool.workers()) {
        if (!m_pool.isUsable(worker, now) || worker.status.service != task.service || !hasLabel(worker, task.step->requiredLabel)
            || !task.step->shape.fitsInto(worker.status.capacity) || isReserved(worker)) {
            continue;
        }
        const std::optional<microseconds> wait = expectedWait(worker, task.step->shape.milliCores, now);
        if (!wait) {
            continue;
        }
        const double runTime = static_cast<double>(task.step->estimate.count()) * worker.performance.slowness();
        const microseconds completion = *wait + microseconds(static_cast<std::int64_t>(runTime));
        if (completion < best.completion) {
            best = {&worker, *wait, completion};
        }
    }
    return best;
}

void reservation_planner::reserve(const waiting_task &task, const expected_room &room)
{
    const steady_time now = m_time.steadyNow();
    const auto duration = std::chrono::ceil<milliseconds>(WAIT_MULTIPLE * room.wait) + WAIT_MARGIN;
    m_reservations[task.key] = {room.worker->agent, now + duration};
    ++m_counters.requested;
    m_journal.note("room_requested",
                   {{"agent", room.worker->agent},
                    {"millicores", std::to_string(task.step->shape.milliCores)},
                    {"usual_millicores", std::to_string(static_cast<std::int64_t>(m_usualMilliCores.value_or(0)))},
                    {"expected_us", std::to_string(room.wait.count())},
                    {"status_age_us", std::to_string((now - room.worker->statusReceivedAt).count())}});
    m_outbox.send(room.worker->agent, reserve_room{task.step->shape, task.priority, static_cast<std::uint32_t>(duration.count())});
}

void reservation_planner::withdraw(const planned_reservation &reservation)
{
    ++m_counters.withdrawn;
    m_outbox.send(reservation.agent, reserve_room{});
}

void reservation_planner::forgetExpired(steady_time now)
{
    std::erase_if(m_reservations, [now](const auto &each) { return now >= each.second.until; });
}

bool reservation_planner::isReserved(const pooled_worker &worker) const
{
    return worker.status.outlook.reserved != task_shape{}
    || std::any_of(m_reservations.begin(), m_reservations.end(), [&worker](const auto &each) { return each.second.agent == worker.agent; });
}

}
