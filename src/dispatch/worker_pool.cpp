#include "dispatch/worker_pool.h"

#include <algorithm>
#include <utility>

#include "dispatch/origin_ages.h"

namespace azuremoor
{

namespace
{

/// Time since the last heartbeat after which a disconnected worker without outstanding or orphaned runs is removed.
constexpr microseconds WORKER_RETENTION = seconds(30);

/// Minimum progress and age at which a run is used as a sample of its worker's speed.
constexpr std::uint8_t MIN_SAMPLE_PERCENT = 3;
constexpr microseconds MIN_SAMPLE_AGE = milliseconds(60);

double medianOf(std::vector<double> values, double defaultValue)
{
    if (values.empty()) {
        return defaultValue;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

worker_pool::worker_pool(
    const time_source &time, agent_timeouts timeouts, peer_outbox &outbox, decision_journal &journal, const evacuation_table *evacuations)
    : m_time(time)
    , m_timeouts(timeouts)
    , m_outbox(outbox)
    , m_journal(journal)
    , m_evacuations(evacuations)
{
}

microseconds worker_pool::maxOrphanedRunTime() const
{
    return m_timeouts.runsEndedAfter;
}

void worker_pool::setListener(run_listener &listener)
{
    m_listener = &listener;
}

void worker_pool::useForecasts()
{
    m_usesForecasts = true;
}

void worker_pool::setOrigins(const origin_lease_source &origins)
{
    m_origins = &origins;
}

std::vector<origin_age> worker_pool::originAges(const std::string &agent, steady_time at) const
{
    const auto found = m_workers.find(agent);
    return m_origins == nullptr || found == m_workers.end() ? std::vector<origin_age>()
                                                            : azuremoor::originAges(found->second, *m_origins, at);
}

void worker_pool::connectAgent(const hello &agent)
{
    pooled_worker &worker = m_workers[agent.name];
    const bool hasRestarted = worker.incarnation != 0 && worker.incarnation != agent.incarnation;
    if (worker.incarnation != agent.incarnation) {
        worker.turnToProcess(agent.incarnation, m_timeouts.runsEndedAfter);
    }
    worker.agent = agent.name;
    worker.dataCentre = agent.dataCentre;
    worker.isConnected = true;
    worker.isAwaitingStatus = true;
    // The acknowledgement may have been lost with the previous connection.
    worker.acknowledgedResultNumber = 0;
    worker.lastHeartbeatAt = m_time.steadyNow();
    updateAvailability(worker, worker.lastHeartbeatAt);
    m_journal.note("agent_connected", {{"agent", agent.name}, {"restarted", hasRestarted ? "yes" : "no"}});
}

void worker_pool::disconnectAgent(const std::string &agent)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    found->second.isConnected = false;
    m_journal.note("agent_disconnected", {{"agent", agent}, {"runs", std::to_string(found->second.runs.size())}});
}

void worker_pool::recordHeartbeat(const std::string &agent, const ping &heartbeat)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    pooled_worker &worker = found->second;
    worker.lastHeartbeatAt = m_time.steadyNow();
    worker.agentClock = {heartbeat.sentMicroseconds, worker.lastHeartbeatAt};
    // Results are acknowledged together with a heartbeat, so that the agent wakes up only once.
    if (worker.acknowledgedResultNumber != worker.lastResultNumber) {
        worker.acknowledgedResultNumber = worker.lastResultNumber;
        m_outbox.send(agent, run_results_received{worker.lastResultNumber});
    }
}

void worker_pool::updateStatus(const std::string &agent, const worker_status &status)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    pooled_worker &worker = found->second;
    const bool isFirst = worker.isAwaitingStatus;
    if (isFirst) {
        worker.isAwaitingStatus = false;
        if (status.appliedOrder == 0) {
            // The agent has dropped its earlier session with this entry, and numbers its results from 1 again.
            worker.lastResultNumber = 0;
        }
        endUnreceivedOrders(worker, status.appliedOrder);
        worker.lastOrderSequence = std::max(worker.lastOrderSequence, status.appliedOrder);
        resendStops(worker);
    }
    if (worker.status.worker != status.worker) {
        worker.performance = {};
    }
    const bool hasStateChanged = worker.status.ready != status.ready || worker.status.draining != status.draining;
    worker.status = status;
    worker.endedSinceReport = {0, 0, 0};
    if (status.ready) {
        while (const std::optional<former_session> session = worker.formerSessions.takeLatestOf(status.worker)) {
            endFormerSession(*session, agent, "restarted agent is ready");
        }
    }
    worker.statusReceivedAt = m_time.steadyNow();
    worker.coldUntil = worker.statusReceivedAt + milliseconds(status.coldMilliseconds);
    updateAvailability(worker, worker.statusReceivedAt);
    recordCapacityChange(worker);
    updateProgress(worker, status.progress);
    if (isFirst && m_demand.value().milliCores > 0) {
        m_outbox.send(agent, m_demand.value());
    }
    if (hasStateChanged) {
        m_journal.note("worker_state",
                       {{"agent", agent},
                        {"worker", status.worker},
                        {"ready", status.ready ? "yes" : "no"},
                        {"draining", status.draining ? "yes" : "no"}});
    }
}

void worker_pool::updateFreeCapacity(const std::string &agent, const room_update &update)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end() || found->second.isAwaitingStatus) {
        return;
    }
    pooled_worker &worker = found->second;
    worker.status.free = update.free;
    worker.endedSinceReport = {0, 0, 0};
    worker.status.appliedOrder = update.appliedOrder;
    worker.status.outlook = update.outlook;
    worker.statusReceivedAt = m_time.steadyNow();
    recordCapacityChange(worker);
    updateProgress(worker, update.progress);
}

void worker_pool::setDemand(const room_wish &capacityDemand)
{
    if (!m_demand.update(capacityDemand, m_time.steadyNow())) {
        return;
    }
    for (const auto &[agent, worker] : m_workers) {
        if (worker.isConnected) {
            m_outbox.send(agent, m_demand.value());
        }
    }
}

void worker_pool::receiveResults(const std::string &agent, const run_results &results)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    pooled_worker &worker = found->second;
    std::uint64_t number = results.firstNumber;
    for (const run_result &result : results.results) {
        if (number > worker.lastResultNumber) {
            worker.lastResultNumber = number;
            endRun(worker, result.sequence, result.outcome);
        }
        ++number;
    }
}

void worker_pool::orderRun(pooled_worker &worker, const task_reference &task, run_order order, microseconds estimate)
{
    order.sequence = ++worker.lastOrderSequence;
    order.estimate = m_usesForecasts ? estimate.count() : 0;
    worker.lastOrderAt = m_time.steadyNow();
    if (worker.runs.empty()) {
        worker.leaseRenewedAt = worker.lastOrderAt;
    }
    worker.runs[order.sequence] = {task, order.shape, estimate, m_time.steadyNow(), false, std::nullopt, {}, false, order.origin};
    start_runs &batch = m_orders[worker.agent];
    batch.worker = worker.status.worker;
    batch.orders.push_back(std::move(order));
}

const start_runs *worker_pool::collectedOrders(const std::string &agent) const
{
    const auto found = m_orders.find(agent);
    return found == m_orders.end() ? nullptr : &found->second;
}

bool worker_pool::hasUnsentOrderOf(const pooled_worker &worker, std::uint64_t job) const
{
    return !worker.runs.empty() && worker.runs.rbegin()->second.task.job == job && m_orders.contains(worker.agent);
}

void worker_pool::stopRuns(std::uint64_t job)
{
    for (auto &[agent, worker] : m_workers) {
        for (auto &[sequence, run] : worker.runs) {
            if (run.task.job == job && !run.isStopping) {
                stopRun(worker, sequence);
            }
        }
    }
}

void worker_pool::stopRun(pooled_worker &worker, std::uint64_t sequence)
{
    worker.runs.at(sequence).isStopping = true;
    m_stops[worker.agent].sequences.push_back(sequence);
}

bool worker_pool::isOrderUnsent(const pooled_worker &worker, std::uint64_t sequence) const
{
    const auto found = m_orders.find(worker.agent);
    return found != m_orders.end() && !found->second.orders.empty() && sequence >= found->second.orders.front().sequence;
}

void worker_pool::flush()
{
    for (auto &[agent, orders] : m_orders) {
        const auto found = m_workers.find(agent);
        if (found != m_workers.end()) {
            const steady_time renewal = found->second.leaseRenewal();
            orders.agentMicroseconds = found->second.agentTimeAt(renewal);
            orders.origins = originAges(agent, renewal);
        }
        m_outbox.send(agent, std::move(orders));
    }
    m_orders.clear();
    for (auto &[agent, stops] : m_stops) {
        m_outbox.send(agent, std::move(stops));
    }
    m_stops.clear();
}

void worker_pool::tick()
{
    const steady_time now = m_time.steadyNow();
    for (auto &[agent, worker] : m_workers) {
        updateAvailability(worker, now);
        if (!worker.runs.empty() && now >= worker.leaseRenewal() + m_timeouts.runsEndedAfter) {
            endRunsOfSilentAgent(worker);
        }
        while (const std::optional<former_session> session = worker.formerSessions.takeLatestLapsed(now)) {
            endFormerSession(*session, agent, "lease expired");
        }
    }
    std::erase_if(m_workers, [now](const auto &each) {
        const pooled_worker &worker = each.second;
        return !worker.isConnected && worker.runs.empty() && worker.formerSessions.isEmpty()
            && now >= worker.lastHeartbeatAt + WORKER_RETENTION;
    });
}

std::optional<task_shape> worker_pool::consumeChangedCapacity()
{
    return std::exchange(m_changedCapacity, std::nullopt);
}

bool worker_pool::isUsable(const pooled_worker &worker) const
{
    return isUsable(worker, m_time.steadyNow());
}

bool worker_pool::isUsable(const pooled_worker &worker, steady_time now) const
{
    return !worker.isEvacuated && !worker.status.draining && isResponsive(worker, now);
}

bool worker_pool::isResponsive(const pooled_worker &worker, steady_time now) const
{
    const steady_time suspectedAt
        = worker.runs.empty() ? worker.lastHeartbeatAt + m_timeouts.idleSuspectedAfter : worker.leaseRenewal() + m_timeouts.suspectedAfter;
    return worker.isConnected && !worker.isAwaitingStatus && worker.status.ready && now < suspectedAt;
}

task_shape worker_pool::largestAvailableCapacity() const
{
    const steady_time now = m_time.steadyNow();
    task_shape largest{0, 0, 0};
    for (const auto &[agent, worker] : m_workers) {
        if (isUsable(worker, now)) {
            largest = largest.maximumWith(worker.availableCapacity());
        }
    }
    return largest;
}

std::map<std::string, pooled_worker> &worker_pool::workers()
{
    return m_workers;
}

const std::map<std::string, pooled_worker> &worker_pool::workers() const
{
    return m_workers;
}

void worker_pool::updateAvailability()
{
    const steady_time now = m_time.steadyNow();
    for (auto &[agent, worker] : m_workers) {
        updateAvailability(worker, now);
    }
}

bool worker_pool::isAnyEvacuated() const
{
    return m_evacuations != nullptr && m_evacuations->isAnyEvacuated();
}

std::string worker_pool::describeEvacuations() const
{
    return m_evacuations == nullptr ? std::string() : m_evacuations->describeEvacuated();
}

void worker_pool::updateAvailability(pooled_worker &worker, steady_time now)
{
    // Until the first declaration the digest is 0, and no worker has another state than its initial one.
    if (m_evacuations == nullptr || m_evacuations->digest() == 0) {
        return;
    }
    worker.isEvacuated = m_evacuations->isEvacuated(worker.dataCentre);
    worker.returnWindow = updateReturnWindow(worker.returnWindow, m_evacuations->returningSince(worker.dataCentre), worker.coldUntil, now);
    worker.withheld = withheldCapacity(worker.returnWindow, worker.status.capacity, now);
}

void worker_pool::updateProgress(pooled_worker &worker, const std::vector<run_progress> &progress)
{
    for (const run_progress &each : progress) {
        recordRunProgress(worker, each);
    }
}

void worker_pool::recordRunProgress(pooled_worker &worker, const run_progress &progress)
{
    const auto found = worker.runs.find(progress.sequence);
    if (found == worker.runs.end()) {
        return;
    }
    outstanding_run &run = found->second;
    const steady_time now = m_time.steadyNow();
    if (!run.percent || progress.percent > *run.percent) {
        run.percent = progress.percent;
        run.lastProgressAt = now;
    }
    const microseconds elapsed = now - run.orderedAt;
    if (!run.isSampled && progress.percent >= MIN_SAMPLE_PERCENT && progress.percent < 100 && elapsed >= MIN_SAMPLE_AGE) {
        run.isSampled = true;
        worker.performance.recordSpeed(run.estimate, elapsed * 100 / progress.percent);
    }
}

void worker_pool::endFormerSession(const former_session &session, const std::string &agent, const std::string &reason)
{
    m_journal.note("runs_presumed_ended", {{"agent", agent}, {"reason", reason}, {"runs", std::to_string(session.runs.size())}});
    for (const auto &[sequence, run] : session.runs) {
        m_listener->handleRunEnd(run.task, run_outcome::lapsed, agent);
    }
}

void worker_pool::endRunsOfSilentAgent(pooled_worker &worker)
{
    m_journal.note("runs_presumed_ended",
                   {{"agent", worker.agent}, {"reason", "heartbeats are missing"}, {"runs", std::to_string(worker.runs.size())}});
    while (!worker.runs.empty()) {
        endRun(worker, worker.runs.begin()->first, run_outcome::lapsed);
    }
}

void worker_pool::recordCapacityChange(const pooled_worker &worker)
{
    m_changedCapacity = m_changedCapacity.value_or(task_shape{}).maximumWith(worker.availableCapacity());
}

void worker_pool::endRun(pooled_worker &worker, std::uint64_t sequence, run_outcome outcome)
{
    const auto found = worker.runs.find(sequence);
    if (found == worker.runs.end()) {
        return;
    }
    const outstanding_run run = found->second;
    worker.runs.erase(found);
    if (sequence <= worker.status.appliedOrder) {
        worker.endedSinceReport += run.shape;
    }
    recordCapacityChange(worker);
    const steady_time now = m_time.steadyNow();
    if (outcome == run_outcome::done) {
        worker.performance.recordSuccess(run.estimate, now - run.orderedAt, now);
    } else if (outcome == run_outcome::failed) {
        worker.performance.recordFailure(now);
    }
    m_listener->handleRunEnd(run.task, outcome, worker.agent);
}

void worker_pool::endUnreceivedOrders(pooled_worker &worker, std::uint64_t appliedOrder)
{
    // Orders lost with the previous connection end like those that never reached their worker: the runs never began.
    while (!worker.runs.empty() && worker.runs.rbegin()->first > appliedOrder) {
        endRun(worker, worker.runs.rbegin()->first, run_outcome::closed);
    }
}

void worker_pool::resendStops(pooled_worker &worker)
{
    // The stop requests may have been lost with the previous connection.
    for (const auto &[sequence, run] : worker.runs) {
        if (run.isStopping) {
            m_stops[worker.agent].sequences.push_back(sequence);
        }
    }
}

pool_medians poolMedians(const worker_pool &pool, steady_time now)
{
    std::vector<double> slowness;
    slowness.reserve(pool.workers().size());
    std::vector<double> failureRates;
    failureRates.reserve(pool.workers().size());
    for (const auto &[agent, worker] : pool.workers()) {
        if (pool.isUsable(worker, now)) {
            slowness.push_back(worker.performance.slowness());
            failureRates.push_back(worker.performance.failureRate(now));
        }
    }
    return {medianOf(std::move(slowness), 1), medianOf(std::move(failureRates), 0)};
}
}
