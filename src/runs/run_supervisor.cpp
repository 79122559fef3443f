#include "runs/run_supervisor.h"

#include <algorithm>
#include <array>

#include "runs/worker_clock.h"

namespace azuremoor
{

namespace
{

/// Time that a worker takes to stop a run, and slack for timers.
constexpr milliseconds STOP_SLACK{70};

/// Interval at which a stop without effect is repeated.
constexpr milliseconds STOP_INTERVAL{60};

/// Time that stops have to take effect before the lease is withheld.
constexpr milliseconds STOP_PATIENCE{150};

/// Longest wait of a renewal for an end.
constexpr milliseconds RENEWAL_WAIT{120};

/// Renewals that are kept under way while answers get lost, so that ends are seen in time, and how long a loss counts.
constexpr std::size_t RENEWALS_WITH_LOSSES = 3;
constexpr milliseconds LOSSY_TIME{3000};

/// Earlier lives of the worker that are remembered, so that their late reports are told.
constexpr std::size_t MAX_FORMER_WORKERS = 64;

}

std::string_view orderReplyName(order_reply reply)
{
    constexpr std::array<std::string_view, 10> NAMES
        = {"accepted", "fenced", "stale_number", "late", "no_room", "malformed", "unhealthy", "wrong_worker", "refused", "unknown"};
    return NAMES[static_cast<std::size_t>(reply)];
}

microseconds lease_rules::runsEndedAfter() const
{
    return entryLease + stretched(workerLease) + STOP_SLACK;
}

/// The present life of the worker.
struct run_supervisor::known_worker {
    known_worker(const time_source &time, const worker_report &firstReport)
        : report(firstReport)
        // The worker's clock rises within one of its lives, so that a successor of this process has a higher token.
        , fencingToken(static_cast<std::uint64_t>(std::max<worker_milliseconds>(firstReport.clock, 1)))
        , draining(firstReport.draining)
        , clock(time, firstReport.clock)
    {
    }

    worker_report report;
    std::uint64_t fencingToken = 0;
    bool draining = false;
    /// A renewal has been answered since the lease was last lost.
    bool isHeld = false;
    /// The worker runs something that this process did not order.
    bool hasForeignRuns = false;
    worker_clock clock;
    std::uint64_t acknowledged = 0;
    std::uint64_t renewals = 0;
    std::uint64_t newestAnswered = 0;
    std::size_t renewalsUnderWay = 0;
    steady_time lastRenewal;
    steady_time lastAnswer;
    /// Answers have been lost lately: until then several renewals are kept under way.
    steady_time lossyUntil;
    std::map<run_key, steady_time> foreignStops;
};

run_supervisor::run_supervisor(
    const time_source &time, lease_rules rules, worker_port &port, supervisor_listener &listener, decision_journal &journal)
    : m_time(time)
    , m_rules(rules)
    , m_port(port)
    , m_listener(listener)
    , m_journal(journal)
{
}

run_supervisor::~run_supervisor() = default;

bool run_supervisor::takeReport(const worker_report &report)
{
    if (m_formerWorkers.contains(report.worker)) {
        return false;
    }
    if (m_worker != nullptr && m_worker->report.worker != report.worker) {
        loseWorker(run_outcome::worker_lost, "replaced by another life");
    }
    if (m_worker == nullptr) {
        adopt(report);
        return true;
    }
    if (report.sequence < m_worker->report.sequence) {
        return true;
    }
    m_worker->report = report;
    if (report.draining && !m_worker->draining) {
        m_worker->draining = true;
        m_journal.note("worker_draining", {{"worker", report.worker}, {"runs", std::to_string(m_runs.size())}});
    }
    return true;
}

void run_supervisor::takeLeave(const std::string &worker)
{
    if (m_worker != nullptr && m_worker->report.worker == worker) {
        loseWorker(run_outcome::worker_lost, "left");
    }
}

void run_supervisor::start(const std::string &session, const std::string &worker, const run_order &order)
{
    const auto refuse = [&](run_outcome outcome) { m_listener.endRun(session, order.sequence, outcome); };
    if (m_closed || !isReady() || m_worker->draining || m_worker->report.worker != worker) {
        refuse(run_outcome::closed);
        return;
    }
    task_shape used = usedRoom();
    used += order.shape;
    if (!used.fitsInto(m_worker->report.capacity)) {
        refuse(run_outcome::no_room);
        return;
    }
    const run_key key{order.task, order.number};
    if (m_runs.contains(key)) {
        refuse(run_outcome::stale_number);
        return;
    }
    supervised_run run;
    run.session = session;
    run.sequence = order.sequence;
    run.shape = order.shape;
    run.orderDeadline = m_worker->clock.now() + m_rules.workerLease.count();
    m_worker->clock.extendLease(run.orderDeadline);
    m_runs.emplace(key, run);
    m_port.startRun(context(), order, run.orderDeadline, [this, worker, key](order_reply reply, worker_milliseconds clock) {
        finishStart(worker, key, reply, clock);
    });
}

void run_supervisor::stop(const std::string &session, std::uint64_t sequence)
{
    for (auto &[key, run] : m_runs) {
        if (run.session == session && run.sequence == sequence) {
            endEarly(key, run, STOP_PATIENCE);
            return;
        }
    }
}

void run_supervisor::stopAll(const std::string &session)
{
    for (auto &[key, run] : m_runs) {
        if (run.session == session) {
            // Others may count on the end of these runs a worker's lease from now.
            endEarly(key, run, milliseconds(0));
        }
    }
}

void run_supervisor::close()
{
    m_closed = true;
}

void run_supervisor::tick()
{
    if (m_worker == nullptr) {
        return;
    }
    checkLapse();
    const steady_time now = m_time.steadyNow();
    for (auto &[key, run] : m_runs) {
        if (run.state == run_state::stopping && now >= run.nextStop) {
            sendStop(key, run);
        }
    }
    const std::size_t wanted = now < m_worker->lossyUntil ? RENEWALS_WITH_LOSSES : 1;
    while (m_worker->renewalsUnderWay < wanted) {
        renew(RENEWAL_WAIT);
    }
    if (now >= m_worker->lastRenewal + m_rules.renewal) {
        // All that are under way seem to be lost: another one goes without waiting.
        renew(milliseconds(0));
    }
}

worker_status run_supervisor::status() const
{
    worker_status result;
    if (m_worker == nullptr) {
        return result;
    }
    result.ready = isReady() && !m_closed;
    result.draining = m_worker->draining;
    result.worker = m_worker->report.worker;
    result.service = m_worker->report.service;
    result.labels = m_worker->report.labels;
    result.capacity = m_worker->report.capacity;
    result.free = result.capacity.saturatingMinus(usedRoom());
    return result;
}

std::vector<run_progress> run_supervisor::progress(const std::string &session) const
{
    std::vector<run_progress> result;
    for (const auto &[key, run] : m_runs) {
        if (run.session == session && run.state == run_state::running) {
            result.push_back({run.sequence, run.percent});
        }
    }
    return result;
}

std::size_t run_supervisor::size() const
{
    return m_runs.size();
}

bool run_supervisor::isReady() const
{
    return m_worker != nullptr && m_worker->isHeld && !m_worker->hasForeignRuns && isAnswering() && !isLeaseWithheld();
}

bool run_supervisor::isLeaseWithheld() const
{
    const steady_time now = m_time.steadyNow();
    return std::any_of(m_runs.begin(), m_runs.end(), [now](const auto &entry) { return entry.second.endBy && now >= *entry.second.endBy; });
}

bool run_supervisor::isAnswering() const
{
    return m_time.steadyNow() < m_worker->lastAnswer + 2 * m_rules.renewal;
}

void run_supervisor::adopt(const worker_report &report)
{
    m_worker = std::make_unique<known_worker>(m_time, report);
    m_journal.note("worker_known",
                   {{"worker", report.worker}, {"service", report.service}, {"token", std::to_string(m_worker->fencingToken)}});
    renew(milliseconds(0));
}

void run_supervisor::loseWorker(run_outcome outcome, const std::string &reason)
{
    m_journal.note("worker_lost", {{"worker", m_worker->report.worker}, {"reason", reason}, {"runs", std::to_string(m_runs.size())}});
    if (m_formerWorkers.size() >= MAX_FORMER_WORKERS) {
        m_formerWorkers.clear();
    }
    m_formerWorkers.insert(m_worker->report.worker);
    m_worker.reset();
    while (!m_runs.empty()) {
        end(m_runs.begin(), outcome);
    }
}

void run_supervisor::finishStart(const std::string &worker, const run_key &key, order_reply reply, worker_milliseconds clock)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || m_worker == nullptr || m_worker->report.worker != worker) {
        return;
    }
    supervised_run &run = found->second;
    if (reply != order_reply::accepted) {
        m_journal.note("start_refused",
                       {{"task", key.task}, {"run", std::to_string(key.number)}, {"reply", std::string(orderReplyName(reply))}});
    }
    switch (reply) {
    case order_reply::accepted:
        m_worker->clock.note(clock);
        run.settledBy = m_worker->renewals + 1;
        if (run.state == run_state::ordered) {
            run.state = run_state::running;
        }
        return;
    case order_reply::stale_number:
        end(found, run_outcome::stale_number);
        return;
    case order_reply::no_room:
        end(found, run_outcome::no_room);
        return;
    case order_reply::malformed:
        end(found, run_outcome::rejected);
        return;
    case order_reply::wrong_worker:
    case order_reply::refused:
        loseWorker(run_outcome::worker_lost, "does not answer to its name any more");
        return;
    case order_reply::unknown:
        m_worker->lossyUntil = m_time.steadyNow() + LOSSY_TIME;
        sendStop(key, run);
        return;
    case order_reply::fenced:
    case order_reply::late:
    case order_reply::unhealthy:
        end(found, run_outcome::closed);
        return;
    }
}

void run_supervisor::endEarly(const run_key &key, supervised_run &run, milliseconds patience)
{
    const steady_time endBy = m_time.steadyNow() + patience;
    run.endBy = run.endBy ? std::min(*run.endBy, endBy) : endBy;
    if (run.state != run_state::stopping) {
        sendStop(key, run);
    }
}

void run_supervisor::sendStop(const run_key &key, supervised_run &run)
{
    run.state = run_state::stopping;
    run.nextStop = m_time.steadyNow() + STOP_INTERVAL;
    const std::string worker = m_worker->report.worker;
    m_port.stopRun(context(), key, [this, worker, key](order_reply reply) { finishStop(worker, key, reply); });
}

void run_supervisor::finishStop(const std::string &worker, const run_key &key, order_reply reply)
{
    if (m_worker == nullptr || m_worker->report.worker != worker) {
        return;
    }
    if (reply == order_reply::wrong_worker || reply == order_reply::refused) {
        loseWorker(run_outcome::worker_lost, "does not answer to its name any more");
        return;
    }
    const auto found = m_runs.find(key);
    if (found != m_runs.end() && reply == order_reply::accepted && !found->second.isStopConfirmed) {
        found->second.isStopConfirmed = true;
        found->second.settledBy = m_worker->renewals + 1;
    }
}

void run_supervisor::renew(milliseconds wait)
{
    lease_request request;
    // A worker that does not answer, or runs what an earlier process ordered, gets no longer lease: that has to end at a known time.
    const bool isExtended = isReady();
    request.deadline = isExtended ? m_worker->clock.now() + m_rules.workerLease.count() : m_worker->clock.leaseEnd();
    request.acknowledged = m_worker->acknowledged;
    request.wait = wait;
    m_worker->clock.extendLease(request.deadline);
    m_worker->lastRenewal = m_time.steadyNow();
    ++m_worker->renewalsUnderWay;
    const std::uint64_t number = ++m_worker->renewals;
    const std::string worker = m_worker->report.worker;
    m_port.renewLease(context(), request, [this, worker, number](const lease_reply &reply) { finishRenewal(worker, number, reply); });
}

void run_supervisor::finishRenewal(const std::string &worker, std::uint64_t number, const lease_reply &reply)
{
    if (m_worker == nullptr || m_worker->report.worker != worker) {
        return;
    }
    --m_worker->renewalsUnderWay;
    if (reply.reply == order_reply::wrong_worker || reply.reply == order_reply::refused) {
        loseWorker(run_outcome::worker_lost, "does not answer to its name any more");
        return;
    }
    if (reply.reply != order_reply::accepted) {
        m_worker->lossyUntil = m_time.steadyNow() + LOSSY_TIME;
        m_journal.note("renewal_failed", {{"worker", worker}, {"reply", std::string(orderReplyName(reply.reply))}});
        return;
    }
    m_worker->clock.note(reply.clock);
    m_worker->lastAnswer = m_time.steadyNow();
    takeEnds(reply.ended);
    if (number > m_worker->newestAnswered) {
        m_worker->newestAnswered = number;
        compareActive(number, reply);
        stopForeign(reply.active);
    }
    if (!m_worker->isHeld) {
        m_worker->isHeld = true;
        m_journal.note("worker_held", {{"worker", worker}});
        renew(milliseconds(0));
    }
    tick();
}

void run_supervisor::takeEnds(const std::vector<listed_end> &ends)
{
    for (const listed_end &ended : ends) {
        if (ended.number <= m_worker->acknowledged) {
            continue;
        }
        m_worker->acknowledged = ended.number;
        const auto found = m_runs.find(ended.run);
        if (found != m_runs.end()) {
            end(found, ended.outcome);
        }
    }
}

void run_supervisor::compareActive(std::uint64_t number, const lease_reply &reply)
{
    std::set<run_key> active;
    for (const listed_run &listed : reply.active) {
        active.insert(listed.run);
        const auto found = m_runs.find(listed.run);
        if (found != m_runs.end()) {
            found->second.percent = listed.percent;
        }
    }
    std::vector<run_key> over;
    for (const auto &[key, run] : m_runs) {
        const bool isSettled = run.settledBy != 0 && number >= run.settledBy;
        const bool isTooLate = run.state == run_state::stopping && reply.clock > run.orderDeadline + STOP_SLACK.count();
        if (!active.contains(key) && (isSettled || isTooLate)) {
            over.push_back(key);
        }
    }
    for (const run_key &key : over) {
        const auto found = m_runs.find(key);
        end(found, run_outcome::stopped);
    }
}

void run_supervisor::stopForeign(const std::vector<listed_run> &active)
{
    bool hasForeign = false;
    const steady_time now = m_time.steadyNow();
    for (const listed_run &listed : active) {
        if (m_runs.contains(listed.run)) {
            continue;
        }
        hasForeign = true;
        steady_time &nextStop = m_worker->foreignStops[listed.run];
        if (now < nextStop) {
            continue;
        }
        nextStop = now + STOP_INTERVAL;
        m_journal.note("foreign_run_stopped", {{"task", listed.run.task}, {"run", std::to_string(listed.run.number)}});
        const std::string worker = m_worker->report.worker;
        m_port.stopRun(context(), listed.run, [this, worker, key = listed.run](order_reply reply) { finishStop(worker, key, reply); });
    }
    m_worker->hasForeignRuns = hasForeign;
    if (!hasForeign) {
        m_worker->foreignStops.clear();
    }
}

void run_supervisor::checkLapse()
{
    if (m_time.steadyNow() < m_worker->clock.leaseOverBy() + STOP_SLACK || !m_worker->isHeld) {
        return;
    }
    m_worker->isHeld = false;
    m_journal.note("lease_lapsed", {{"worker", m_worker->report.worker}, {"runs", std::to_string(m_runs.size())}});
    while (!m_runs.empty()) {
        end(m_runs.begin(), run_outcome::lapsed);
    }
}

task_shape run_supervisor::usedRoom() const
{
    task_shape used;
    for (const auto &[key, run] : m_runs) {
        used += run.shape;
    }
    return used;
}

void run_supervisor::end(run_map::iterator run, run_outcome outcome)
{
    const std::string session = run->second.session;
    const std::uint64_t sequence = run->second.sequence;
    m_runs.erase(run);
    m_listener.endRun(session, sequence, outcome);
}

order_context run_supervisor::context() const
{
    return {m_worker->report.worker, m_worker->report.address, m_worker->fencingToken};
}

}
