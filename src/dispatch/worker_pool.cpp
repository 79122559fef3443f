#include "dispatch/worker_pool.h"

#include <algorithm>
#include <utility>

namespace azuremoor
{

namespace
{

/// Time after which a worker that is gone and owes no result is forgotten.
constexpr microseconds FORGET_AFTER = seconds(30);

/// Progress and age from which on a run tells the speed of its worker.
constexpr std::uint8_t SAMPLE_PERCENT = 3;
constexpr microseconds SAMPLE_AGE = milliseconds(60);

/// Shortest time between two messages on what waits, and how long nothing has to wait until agents are told so.
constexpr microseconds WISH_INTERVAL = milliseconds(50);
constexpr microseconds WISH_MEMORY = milliseconds(200);

/// The amount that waits is told again when it has changed by this factor.
constexpr std::uint64_t WISH_FACTOR = 2;

double medianOf(std::vector<double> values, double absent)
{
    if (values.empty()) {
        return absent;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}

task_shape pooled_worker::freeRoom() const
{
    task_shape free = status.free;
    for (auto run = runs.upper_bound(status.appliedOrder); run != runs.end(); ++run) {
        free = free.saturatingMinus(run->second.shape);
    }
    return free;
}

worker_pool::worker_pool(const time_source &time, silence_rules rules, peer_outbox &outbox, decision_journal &journal)
    : m_time(time)
    , m_rules(rules)
    , m_outbox(outbox)
    , m_journal(journal)
{
}

void worker_pool::setListener(run_listener &listener)
{
    m_listener = &listener;
}

void worker_pool::connectAgent(const hello &agent)
{
    pooled_worker &worker = m_workers[agent.name];
    if (worker.incarnation != agent.incarnation) {
        orphanRuns(worker);
    }
    const bool restarted = worker.incarnation != 0 && worker.incarnation != agent.incarnation;
    worker.agent = agent.name;
    worker.incarnation = agent.incarnation;
    worker.dataCentre = agent.dataCentre;
    worker.connected = true;
    worker.awaitingStatus = true;
    // The acknowledgement may have been lost with the earlier connection.
    worker.acknowledgedResult = 0;
    worker.lastAnswered = m_time.steadyNow();
    m_journal.note("agent_connected", {{"agent", agent.name}, {"restarted", restarted ? "yes" : "no"}});
}

void worker_pool::disconnectAgent(const std::string &agent)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    found->second.connected = false;
    m_journal.note("agent_disconnected", {{"agent", agent}, {"runs", std::to_string(found->second.runs.size())}});
}

void worker_pool::noteHeartbeat(const std::string &agent)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    pooled_worker &worker = found->second;
    worker.lastAnswered = m_time.steadyNow();
    // Results are acknowledged along with heartbeats, so that the agent is woken once.
    if (worker.acknowledgedResult != worker.lastResult) {
        worker.acknowledgedResult = worker.lastResult;
        m_outbox.send(agent, run_results_received{worker.lastResult});
    }
}

void worker_pool::updateStatus(const std::string &agent, const worker_status &status)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end()) {
        return;
    }
    pooled_worker &worker = found->second;
    const bool isFirst = worker.awaitingStatus;
    if (isFirst) {
        worker.awaitingStatus = false;
        if (status.appliedOrder == 0) {
            // The agent has forgotten an earlier session with this entry, and numbers its results anew.
            worker.lastResult = 0;
        }
        dropUnknownOrders(worker, status.appliedOrder);
        repeatStops(worker);
    }
    if (worker.status.worker != status.worker) {
        worker.performance = {};
    }
    const bool changed = worker.status.ready != status.ready || worker.status.draining != status.draining;
    worker.status = status;
    if (status.ready) {
        endOrphans(worker, "successor ready");
    }
    worker.statusAt = m_time.steadyNow();
    m_changed = true;
    updateProgress(worker, status.progress);
    if (isFirst && m_sentWish.milliCores > 0) {
        m_outbox.send(agent, m_sentWish);
    }
    if (changed) {
        m_journal.note("worker_state",
                       {{"agent", agent},
                        {"worker", status.worker},
                        {"ready", status.ready ? "yes" : "no"},
                        {"draining", status.draining ? "yes" : "no"}});
    }
}

void worker_pool::updateRoom(const std::string &agent, const room_update &room)
{
    const auto found = m_workers.find(agent);
    if (found == m_workers.end() || found->second.awaitingStatus) {
        return;
    }
    pooled_worker &worker = found->second;
    worker.status.free = room.free;
    worker.status.appliedOrder = room.appliedOrder;
    worker.statusAt = m_time.steadyNow();
    m_changed = true;
    updateProgress(worker, room.progress);
}

void worker_pool::setWish(const room_wish &wish)
{
    const steady_time now = m_time.steadyNow();
    if (wish.milliCores > 0) {
        m_lastWish = now;
        m_wish = wish;
    } else if (now >= m_lastWish + WISH_MEMORY) {
        m_wish = wish;
    }
    const bool isOther = (m_wish.milliCores > 0) != (m_sentWish.milliCores > 0)
        || m_wish.smallestMilliCores != m_sentWish.smallestMilliCores || m_wish.milliCores > WISH_FACTOR * m_sentWish.milliCores
        || WISH_FACTOR * m_wish.milliCores < m_sentWish.milliCores;
    if (isOther && now >= m_nextWish) {
        m_nextWish = now + WISH_INTERVAL;
        sendWish();
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
        if (number > worker.lastResult) {
            worker.lastResult = number;
            endRun(worker, result.sequence, result.outcome);
        }
        ++number;
    }
}

void worker_pool::order(pooled_worker &worker, const task_reference &task, run_order order, microseconds estimate)
{
    order.sequence = ++worker.lastOrder;
    worker.lastOrderAt = m_time.steadyNow();
    worker.runs[order.sequence] = {task, order.shape, estimate, m_time.steadyNow(), false, std::nullopt, {}, false};
    start_runs &batch = m_orders[worker.agent];
    batch.worker = worker.status.worker;
    batch.orders.push_back(std::move(order));
}

void worker_pool::stopRuns(std::uint64_t job)
{
    for (auto &[agent, worker] : m_workers) {
        for (auto &[sequence, run] : worker.runs) {
            if (run.task.job == job && !run.stopping) {
                stopRun(worker, sequence);
            }
        }
    }
}

void worker_pool::stopRun(pooled_worker &worker, std::uint64_t sequence)
{
    worker.runs.at(sequence).stopping = true;
    m_stops[worker.agent].sequences.push_back(sequence);
}

void worker_pool::flush()
{
    for (auto &[agent, orders] : m_orders) {
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
        if (!worker.runs.empty() && now >= worker.lastAnswered + m_rules.runsEnded) {
            endSilentRuns(worker);
        }
        if (!worker.orphans.empty() && now >= worker.orphansEndBy) {
            endOrphans(worker, "lease expired");
        }
    }
    std::erase_if(m_workers, [now](const auto &entry) {
        const pooled_worker &worker = entry.second;
        return !worker.connected && worker.runs.empty() && worker.orphans.empty() && now >= worker.lastAnswered + FORGET_AFTER;
    });
}

bool worker_pool::takeChange()
{
    return std::exchange(m_changed, false);
}

bool worker_pool::isUsable(const pooled_worker &worker) const
{
    return worker.connected && !worker.awaitingStatus && worker.status.ready && !worker.status.draining
        && m_time.steadyNow() < worker.lastAnswered + m_rules.suspicion;
}

std::map<std::string, pooled_worker> &worker_pool::workers()
{
    return m_workers;
}

const std::map<std::string, pooled_worker> &worker_pool::workers() const
{
    return m_workers;
}

void worker_pool::updateProgress(pooled_worker &worker, const std::vector<run_progress> &progress)
{
    for (const run_progress &each : progress) {
        advanceRun(worker, each);
    }
}

void worker_pool::sendWish()
{
    m_sentWish = m_wish;
    for (const auto &[agent, worker] : m_workers) {
        if (worker.connected) {
            m_outbox.send(agent, m_sentWish);
        }
    }
}

void worker_pool::advanceRun(pooled_worker &worker, const run_progress &progress)
{
    const auto found = worker.runs.find(progress.sequence);
    if (found == worker.runs.end()) {
        return;
    }
    pooled_worker::outstanding_run &run = found->second;
    const steady_time now = m_time.steadyNow();
    if (!run.percent || progress.percent > *run.percent) {
        run.percent = progress.percent;
        run.lastAdvance = now;
    }
    const microseconds elapsed = now - run.orderedAt;
    if (!run.isSampled && progress.percent >= SAMPLE_PERCENT && progress.percent < 100 && elapsed >= SAMPLE_AGE) {
        run.isSampled = true;
        worker.performance.noteSpeed(run.estimate, elapsed * 100 / progress.percent);
    }
}

void worker_pool::orphanRuns(pooled_worker &worker)
{
    for (const auto &[sequence, run] : worker.runs) {
        worker.orphans.push_back(run);
    }
    if (!worker.runs.empty()) {
        worker.orphansEndBy = std::max(worker.orphansEndBy, worker.lastAnswered + m_rules.runsEnded);
    }
    worker.runs.clear();
    worker.lastOrder = 0;
    worker.lastResult = 0;
    worker.status = {};
}

void worker_pool::endOrphans(pooled_worker &worker, const std::string &reason)
{
    if (worker.orphans.empty()) {
        return;
    }
    m_journal.note("runs_presumed_ended", {{"agent", worker.agent}, {"reason", reason}, {"runs", std::to_string(worker.orphans.size())}});
    const std::vector<pooled_worker::outstanding_run> orphans = std::move(worker.orphans);
    worker.orphans.clear();
    for (const pooled_worker::outstanding_run &run : orphans) {
        m_listener->endRun(run.task, run_outcome::lapsed, worker.agent);
    }
}

void worker_pool::endSilentRuns(pooled_worker &worker)
{
    m_journal.note("runs_presumed_ended",
                   {{"agent", worker.agent}, {"reason", "agent silent"}, {"runs", std::to_string(worker.runs.size())}});
    while (!worker.runs.empty()) {
        endRun(worker, worker.runs.begin()->first, run_outcome::lapsed);
    }
}

void worker_pool::endRun(pooled_worker &worker, std::uint64_t sequence, run_outcome outcome)
{
    const auto found = worker.runs.find(sequence);
    if (found == worker.runs.end()) {
        return;
    }
    const pooled_worker::outstanding_run run = found->second;
    worker.runs.erase(found);
    m_changed = true;
    const steady_time now = m_time.steadyNow();
    if (outcome == run_outcome::done) {
        worker.performance.noteDone(run.estimate, now - run.orderedAt, now);
    } else if (outcome == run_outcome::failed) {
        worker.performance.noteFailed(now);
    }
    m_listener->endRun(run.task, outcome, worker.agent);
}

void worker_pool::dropUnknownOrders(pooled_worker &worker, std::uint64_t appliedOrder)
{
    while (!worker.runs.empty() && worker.runs.rbegin()->first > appliedOrder) {
        endRun(worker, worker.runs.rbegin()->first, run_outcome::closed);
    }
}

void worker_pool::repeatStops(pooled_worker &worker)
{
    // What was sent on the earlier connection may never have arrived.
    for (const auto &[sequence, run] : worker.runs) {
        if (run.stopping) {
            m_stops[worker.agent].sequences.push_back(sequence);
        }
    }
}

pool_usual usualOf(const worker_pool &pool, steady_time now)
{
    std::vector<double> slowness;
    std::vector<double> failureRates;
    for (const auto &[agent, worker] : pool.workers()) {
        if (pool.isUsable(worker)) {
            slowness.push_back(worker.performance.slowness());
            failureRates.push_back(worker.performance.failureRate(now));
        }
    }
    return {medianOf(std::move(slowness), 1), medianOf(std::move(failureRates), 0)};
}

}
