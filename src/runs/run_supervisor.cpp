#include "runs/run_supervisor.h"

#include <algorithm>
#include <utility>

namespace azuremoor
{

namespace
{

/// Time after which a stop without effect prevents the renewal of the worker's lease.
constexpr milliseconds STOP_TIMEOUT{150};

/// Longest time that the worker may hold back the answer to a renewal while it waits for a run to end.
constexpr milliseconds RENEWAL_POLL_TIMEOUT{120};

/// Number of renewals that are kept pending after an answer was lost, so that ended runs are listed in time even if another one is lost.
constexpr std::size_t CONCURRENT_RENEWALS_AFTER_LOSS = 3;

/// Time after a loss for which several renewals are kept pending.
constexpr milliseconds LOSS_RECOVERY_TIME{3000};

std::string millisecondsBetween(steady_time begin, steady_time end)
{
    return std::to_string((end - begin) / milliseconds(1));
}

}

run_supervisor::run_supervisor(const time_source &time,
                               lease_timing leases,
                               worker_client &client,
                               run_result_listener &listener,
                               worker_crash_listener &crashes,
                               decision_journal &journal)
    : m_time(time)
    , m_leases(leases)
    , m_client(client)
    , m_listener(listener)
    , m_crashes(crashes)
    , m_journal(journal)
    , m_contenders(journal)
    , m_suspicion(crashes)
{
}

run_supervisor::~run_supervisor() = default;

bool run_supervisor::handleReport(const worker_report &report)
{
    if (m_worker == nullptr) {
        registerWorker(report);
        return true;
    }
    if (m_worker->report.identity() != report.identity()) {
        return considerContender(report);
    }
    if (report.sequence < m_worker->report.sequence) {
        return true;
    }
    m_worker->update(report, m_time.steadyNow());
    if (report.draining && !m_worker->draining) {
        m_worker->draining = true;
        m_journal.note("worker_draining", {{"worker", report.workerInstance}, {"runs", std::to_string(m_table.runs().size())}});
    }
    return true;
}

void run_supervisor::handleDeparture(const std::string &workerInstance)
{
    if (m_worker != nullptr && m_worker->report.workerInstance == workerInstance) {
        m_journal.note("worker_departing", {{"worker", workerInstance}, {"runs", std::to_string(m_table.runs().size())}});
        m_worker->hasDeparted = true;
        renew(milliseconds(0));
    } else {
        m_contenders.removeDeparted(workerInstance);
    }
}

void run_supervisor::start(const std::string &session, const std::string &workerInstance, const run_order &order)
{
    const auto refuse = [&](run_outcome outcome) { m_listener.handleRunResult(session, order.sequence, outcome); };
    if (m_isClosed || !isReady() || isDraining() || m_worker->report.workerInstance != workerInstance) {
        refuse(run_outcome::closed);
        return;
    }
    const task_shape used = m_table.usedCapacity();
    const task_shape &capacity = m_worker->report.capacity;
    // The order is compared with what is left, since the sum of both may exceed the type.
    if (!used.fitsInto(capacity) || !order.shape.fitsInto(capacity.saturatingMinus(used))) {
        refuse(run_outcome::no_room);
        return;
    }
    const run_key key{order.task, order.number};
    if (m_table.runs().contains(key)) {
        refuse(run_outcome::stale_number);
        return;
    }
    supervised_run &added = m_table.add(session, order, m_time.steadyNow());
    if (order.isWorkerAskedFirst) {
        added.state = run_state::held;
        added.holdDeadline = m_time.steadyNow() + m_leases.requestTimeout;
        m_heldStarts.add(order);
    } else {
        sendStart(order, added);
    }
}

void run_supervisor::sendStart(const run_order &order, supervised_run &run)
{
    run.state = run_state::ordered;
    run.isStartSent = true;
    run.startedAt = m_time.steadyNow();
    run.startDeadline = m_worker->clock.now() + m_leases.workerLease.count();
    m_worker->clock.beginRequest(run.startDeadline);
    const run_key key{order.task, order.number};
    const std::uint64_t registration = m_worker->registration;
    const worker_milliseconds deadline = run.startDeadline;
    m_client.startRun(
        m_worker->context(), order, deadline, [this, registration, key, deadline](worker_reply reply, worker_milliseconds clock) {
            endRequest(registration, deadline, reply);
            handleStartReply(registration, key, reply, clock);
        });
}

void run_supervisor::askForHeldStarts()
{
    if (m_worker != nullptr && m_heldStarts.needsRequest()) {
        renew(milliseconds(0));
        m_heldStarts.recordRequest(m_worker->lastRenewalNumber);
    }
}

void run_supervisor::releaseHeldStarts(std::uint64_t renewalNumber, bool hasAnswered)
{
    const bool canStart = hasAnswered && !m_isClosed && isReady() && !isDraining();
    for (const run_order &order : m_heldStarts.takeRequested(renewalNumber)) {
        const auto found = m_table.runs().find({order.task, order.number});
        if (found == m_table.runs().end() || found->second.state != run_state::held) {
            continue;
        }
        // After a pause of this process, its entry may have given the order up.
        if (canStart && m_time.steadyNow() < found->second.holdDeadline) {
            sendStart(order, found->second);
        } else {
            endRun(found, run_outcome::closed);
        }
    }
}

void run_supervisor::dropHeldStarts()
{
    m_heldStarts.clear();
    for (auto run = m_table.runs().begin(); run != m_table.runs().end();) {
        const auto current = run++;
        if (!current->second.isStartSent) {
            endRun(current, run_outcome::closed);
        }
    }
}

void run_supervisor::stop(const std::string &session, std::uint64_t sequence)
{
    for (auto &[key, run] : m_table.runs()) {
        if (run.session == session && run.sequence == sequence) {
            requestStop(key, run, STOP_TIMEOUT);
            return;
        }
    }
}

void run_supervisor::stopAll(const std::string &session)
{
    stopAtOnce(session, nullptr);
}

std::size_t run_supervisor::stopRunsOfOrigin(const std::string &session, const std::string &origin)
{
    return stopAtOnce(session, &origin);
}

std::size_t run_supervisor::stopAtOnce(const std::string &session, const std::string *origin)
{
    std::size_t count = 0;
    for (auto &[key, run] : m_table.runs()) {
        if (run.session == session && (origin == nullptr || run.origin == *origin)) {
            ++count;
            // Others may rely on these runs being over one worker lease from now, so the lease is withheld immediately.
            requestStop(key, run, milliseconds(0));
        }
    }
    return count;
}

void run_supervisor::close()
{
    m_isClosed = true;
}

void run_supervisor::tick()
{
    if (m_worker == nullptr) {
        return;
    }
    checkLeaseExpiry();
    if (m_worker == nullptr) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    // A worker that refuses connections is asked at intervals only: refusals come back at once.
    if (!m_worker->refusesConnections) {
        repeatStops();
        const std::size_t targetRenewals = now < m_worker->lossRecoveryEnd ? CONCURRENT_RENEWALS_AFTER_LOSS : 1;
        while (m_worker->pendingRenewals < targetRenewals) {
            renew(RENEWAL_POLL_TIMEOUT);
        }
    }
    if (now >= m_worker->lastRenewal + m_leases.renewalInterval) {
        // All pending renewals seem to be lost, or were refused. The extra one asks the worker to answer immediately.
        renew(milliseconds(0));
    }
}

worker_status run_supervisor::status() const
{
    if (m_worker == nullptr) {
        return {};
    }
    worker_status result = m_worker->status(m_table.usedCapacity(), m_time.steadyNow());
    result.ready = isReady() && !m_isClosed;
    result.draining = isDraining();
    return result;
}

std::vector<run_progress> run_supervisor::progress(const std::string &session) const
{
    return m_table.progress(session);
}

std::vector<forecast_run> run_supervisor::forecastRuns() const
{
    return m_table.forecastRuns(m_time.steadyNow());
}

const capacity_forecast &run_supervisor::forecast() const
{
    return m_forecast;
}

std::size_t run_supervisor::runCount() const
{
    return m_table.runs().size();
}

std::size_t run_supervisor::runCount(const std::string &session) const
{
    return m_table.count(session);
}

bool run_supervisor::isReady() const
{
    return m_worker != nullptr && m_worker->hasReported && m_worker->hasLease && !m_worker->foreignRuns.hasAny()
        && !m_worker->refusesConnections && isResponsive() && !m_table.hasOverdueStop(m_time.steadyNow());
}

bool run_supervisor::isDraining() const
{
    return m_worker->draining || m_worker->hasDeparted;
}

bool run_supervisor::isResponsive() const
{
    return m_time.steadyNow() < m_worker->lastAnswer + 2 * m_leases.renewalInterval;
}

void run_supervisor::registerWorker(const worker_report &report, std::uint64_t minFencingToken)
{
    m_worker = std::make_unique<tracked_worker>(m_time, report, minFencingToken);
    m_worker->registration = ++m_lastRegistration;
    m_contenders.forgetRefused(report.identity());
    m_worker->coldUntil = m_time.steadyNow() + report.coldRemaining;
    m_forecast = {};
    m_journal.note("worker_known",
                   {{"worker", report.workerInstance}, {"service", report.service}, {"token", std::to_string(m_worker->fencingToken)}});
    renew(milliseconds(0));
}

bool run_supervisor::wouldBeCrash() const
{
    return isResponsive() && !isDraining();
}

worker_crash run_supervisor::makeCrash(crash_state state)
{
    const steady_time now = m_time.steadyNow();
    return {++m_lastCrash, state, m_worker->report.identity(), now, m_table.crashedRuns(now)};
}

void run_supervisor::handleRefusedConnection()
{
    dropHeldStarts();
    if (std::exchange(m_worker->refusesConnections, true)) {
        return;
    }
    const bool isSuspected = wouldBeCrash() && !m_table.runs().empty();
    if (isSuspected) {
        m_suspicion.begin(makeCrash(crash_state::suspected));
    }
    m_journal.note("worker_refuses",
                   {{"worker", m_worker->report.workerInstance},
                    {"runs", std::to_string(m_table.runs().size())},
                    {"last_answer_ms", millisecondsBetween(m_worker->lastAnswer, m_time.steadyNow())},
                    {"lease_left_ms", millisecondsBetween(m_time.steadyNow(), m_worker->clock.latestLeaseEnd())},
                    {"crash_suspected", isSuspected ? "yes" : "no"}});
}

void run_supervisor::handleUndeliveredOrder(worker_reply reply)
{
    if (reply == worker_reply::wrong_worker) {
        discardEndedWorker();
        return;
    }
    const bool isNew = !m_worker->refusesConnections;
    handleRefusedConnection();
    if (isNew) {
        renew(milliseconds(0));
    }
}

void run_supervisor::handleAnswerAfterRefusal()
{
    if (std::exchange(m_worker->refusesConnections, false)) {
        m_journal.note("worker_reachable", {{"worker", m_worker->report.workerInstance}, {"runs", std::to_string(m_table.runs().size())}});
    }
    m_suspicion.resolve(m_worker->report.identity());
}

void run_supervisor::discardEndedWorker()
{
    dropHeldStarts();
    const bool wasSuspected = m_suspicion.end(m_worker->report.identity(), crash_state::proved).has_value();
    if (!wasSuspected && wouldBeCrash() && !m_table.runs().empty()) {
        m_crashes.handleWorkerCrash(makeCrash(crash_state::proved));
    }
    discardWorker(run_outcome::worker_lost, "another instance answered");
}

void run_supervisor::discardWorker(run_outcome outcome, const std::string &reason)
{
    m_journal.note("worker_lost",
                   {{"worker", m_worker->report.workerInstance},
                    {"reason", reason},
                    {"runs", std::to_string(m_table.runs().size())},
                    {"last_answer_ms", millisecondsBetween(m_worker->lastAnswer, m_time.steadyNow())},
                    {"lease_left_ms", millisecondsBetween(m_time.steadyNow(), m_worker->clock.latestLeaseEnd())}});
    const std::optional<worker_report> successor = m_contenders.takeSuccessor(m_worker->report.identity());
    dropHeldStarts();
    m_worker.reset();
    while (!m_table.runs().empty()) {
        endRun(m_table.runs().begin(), outcome);
    }
    if (successor) {
        registerWorker(*successor);
    }
}

void run_supervisor::followReboot(const lease_response &response)
{
    const worker_report former = m_worker->report;
    dropHeldStarts();
    m_journal.note("worker_rebooted",
                   {{"worker", former.workerInstance},
                    {"boot", std::to_string(response.boot)},
                    {"former_boot", std::to_string(former.boot)},
                    {"runs", std::to_string(m_table.runs().size())},
                    {"last_answer_ms", millisecondsBetween(m_worker->lastAnswer, m_time.steadyNow())}});
    const worker_report booted = nextBootOf(former, response);
    const std::optional<worker_report> reported = m_contenders.takeSuccessor(former.identity());
    const bool hasReported = reported && reported->identity() == booted.identity();
    const std::optional<steady_time> crashedAt = formerBootCrashTime();
    registerWorker(hasReported ? *reported : booted, m_worker->fencingToken + 1);
    m_worker->hasReported = hasReported;
    m_worker->formerBootCrashedAt = crashedAt;
    if (m_table.runs().empty()) {
        return;
    }
    // A start that reached the new boot has begun a lease there, whose deadline was one on the former boot's clock.
    m_worker->clock.extendLease(response.clock + m_leases.longestWorkerLease.count());
    m_table.moveToNextBoot(m_worker->lastRenewalNumber);
}

std::optional<steady_time> run_supervisor::formerBootCrashTime()
{
    // Runs that have not ended with the lease are reported when they are known not to go on at the new boot.
    const crash_state state = m_table.runs().empty() ? crash_state::proved : crash_state::withdrawn;
    const std::optional<steady_time> suspectedAt = m_suspicion.end(m_worker->report.identity(), state);
    return suspectedAt || !wouldBeCrash() ? suspectedAt : std::optional(m_time.steadyNow());
}

bool run_supervisor::considerContender(const worker_report &report)
{
    const contender_verdict verdict = m_contenders.consider(report, m_worker->report, m_worker->lastRenewalNumber + 1);
    if (verdict == contender_verdict::ask) {
        renew(milliseconds(0));
    }
    return verdict != contender_verdict::refused;
}

void run_supervisor::giveWayIfIdle()
{
    const bool cannotHaveRuns = m_table.runs().empty() && (!m_worker->hasLease || m_worker->refusesConnections);
    if (cannotHaveRuns) {
        giveWay();
    }
}

void run_supervisor::giveWay()
{
    m_contenders.forgetRefused();
    if (m_contenders.hasContender()) {
        discardWorker(run_outcome::worker_lost, "no answer and no runs, while another instance reports");
    } else if (m_worker->hasDeparted) {
        discardWorker(run_outcome::worker_lost, "no answer and no runs after its departure");
    }
}

bool run_supervisor::isCurrent(std::uint64_t registration) const
{
    return m_worker != nullptr && m_worker->registration == registration;
}

void run_supervisor::handleStartReply(std::uint64_t registration, const run_key &key, worker_reply reply, worker_milliseconds clock)
{
    const auto found = m_table.runs().find(key);
    if (found == m_table.runs().end() || !isCurrent(registration)) {
        return;
    }
    supervised_run &run = found->second;
    if (reply != worker_reply::accepted) {
        // A stop that has overtaken the start also makes it refused; otherwise another entry had runs of the task here.
        m_journal.note("start_refused",
                       {{"task", key.task},
                        {"run", std::to_string(key.runNumber)},
                        {"reply", std::string(workerReplyName(reply))},
                        {"session", run.session},
                        {"stopping", run.state == run_state::stopping ? "yes" : "no"}});
    }
    switch (reply) {
    case worker_reply::accepted:
        m_worker->clock.addSample(clock);
        run.firstConclusiveRenewal = m_worker->lastRenewalNumber + 1;
        run.isStartConfirmed = true;
        if (run.state == run_state::ordered) {
            run.state = run_state::running;
        }
        return;
    case worker_reply::stale_number:
        endRun(found, run_outcome::stale_number);
        return;
    case worker_reply::no_room:
        endRun(found, run_outcome::no_room);
        return;
    case worker_reply::malformed:
        endRun(found, run_outcome::rejected);
        return;
    case worker_reply::wrong_worker:
    case worker_reply::connection_refused:
        // This start reached no worker, so its run has crashed none, and those that were sent later have not either.
        m_table.recordRefusedStart(run.startedAt);
        m_suspicion.removeRun(key.task);
        endRun(found, run_outcome::worker_lost);
        handleUndeliveredOrder(reply);
        return;
    case worker_reply::unknown:
        m_worker->lossRecoveryEnd = m_time.steadyNow() + LOSS_RECOVERY_TIME;
        sendStop(key, run);
        return;
    case worker_reply::not_sent:
        m_worker->lossRecoveryEnd = m_time.steadyNow() + LOSS_RECOVERY_TIME;
        endRun(found, run_outcome::closed);
        return;
    case worker_reply::fenced:
    case worker_reply::late:
    case worker_reply::unhealthy:
        endRun(found, run_outcome::closed);
        return;
    }
}

void run_supervisor::requestStop(const run_key &key, supervised_run &run, milliseconds timeout)
{
    const steady_time stopDeadline = m_time.steadyNow() + timeout;
    run.stopDeadline = run.stopDeadline ? std::min(*run.stopDeadline, stopDeadline) : stopDeadline;
    if (run.state != run_state::stopping) {
        sendStop(key, run);
    }
}

void run_supervisor::repeatStops()
{
    for (auto &[key, run] : m_table.runs()) {
        if (run.state == run_state::stopping && m_time.steadyNow() >= run.nextStopAttempt) {
            sendStop(key, run);
        }
    }
}

void run_supervisor::sendStop(const run_key &key, supervised_run &run)
{
    run.state = run_state::stopping;
    run.nextStopAttempt = m_time.steadyNow() + STOP_RETRY_INTERVAL;
    requestWorkerStop(key);
}

void run_supervisor::requestWorkerStop(const run_key &key)
{
    const std::uint64_t registration = m_worker->registration;
    m_client.stopRun(
        m_worker->context(), key, [this, registration, key](worker_reply reply) { handleStopReply(registration, key, reply); });
}

void run_supervisor::handleStopReply(std::uint64_t registration, const run_key &key, worker_reply reply)
{
    if (!isCurrent(registration)) {
        return;
    }
    if (reply == worker_reply::wrong_worker || reply == worker_reply::connection_refused) {
        handleUndeliveredOrder(reply);
        return;
    }
    const auto found = m_table.runs().find(key);
    if (found != m_table.runs().end() && reply == worker_reply::accepted && !found->second.isStopConfirmed) {
        found->second.isStopConfirmed = true;
        found->second.firstConclusiveRenewal = m_worker->lastRenewalNumber + 1;
    }
}

void run_supervisor::renew(milliseconds wait)
{
    lease_request request;
    // The lease is not extended for a worker that is unresponsive or runs tasks that this process did not order, so that these runs end at
    // a known time.
    const bool isExtended = isReady();
    request.deadline = isExtended ? m_worker->clock.now() + m_leases.workerLease.count() : m_worker->clock.receivedLeaseEnd();
    request.acknowledgedEnd = m_worker->acknowledgedEnd;
    request.wait = wait;
    m_worker->clock.beginRequest(request.deadline);
    m_worker->lastRenewal = m_time.steadyNow();
    ++m_worker->pendingRenewals;
    const std::uint64_t renewalNumber = ++m_worker->lastRenewalNumber;
    const std::uint64_t registration = m_worker->registration;
    m_client.renewLease(
        m_worker->context(), request, [this, registration, renewalNumber, deadline = request.deadline](const lease_response &response) {
            endRequest(registration, deadline, response.reply);
            handleLeaseResponse(registration, renewalNumber, response);
        });
}

void run_supervisor::endRequest(std::uint64_t registration, worker_milliseconds deadline, worker_reply reply)
{
    if (isCurrent(registration)) {
        m_worker->clock.endRequest(deadline, mayHaveArrived(reply));
    }
}

void run_supervisor::handleLeaseResponse(std::uint64_t registration, std::uint64_t renewalNumber, const lease_response &response)
{
    if (!isCurrent(registration)) {
        return;
    }
    const std::string workerInstance = m_worker->report.workerInstance;
    --m_worker->pendingRenewals;
    if (response.reply == worker_reply::wrong_worker) {
        discardEndedWorker();
        return;
    }
    if (response.reply == worker_reply::accepted && response.boot != 0 && response.boot != m_worker->report.boot) {
        followReboot(response);
        return;
    }
    if (response.reply == worker_reply::connection_refused) {
        handleRefusedConnection();
        giveWayIfIdle();
        return;
    }
    if (response.reply != worker_reply::accepted) {
        m_worker->lossRecoveryEnd = m_time.steadyNow() + LOSS_RECOVERY_TIME;
        m_journal.note("renewal_failed", {{"worker", workerInstance}, {"reply", std::string(workerReplyName(response.reply))}});
        if (response.reply == worker_reply::fenced && !m_worker->hasLease) {
            // There is one agent process at a time, so a late call of an earlier one, to a former boot, has brought the higher token.
            m_worker->raiseFencingToken();
        }
        releaseHeldStarts(renewalNumber, false);
        giveWayIfIdle();
        return;
    }
    m_worker->clock.addSample(response.clock);
    m_worker->lastAnswer = m_time.steadyNow();
    handleAnswerAfterRefusal();
    m_contenders.recordAcceptedRenewal(renewalNumber, m_worker->report);
    processEndedRuns(response.ended);
    if (renewalNumber > m_worker->newestAnsweredRenewal) {
        m_worker->newestAnsweredRenewal = renewalNumber;
        reconcileActiveRuns(renewalNumber, response);
        stopForeignRuns(response.active);
    }
    // With unknown runs the lease is not extended, so that it would lapse again at once.
    if (!m_worker->hasLease && !m_worker->foreignRuns.hasAny()) {
        m_worker->hasLease = true;
        m_journal.note("worker_held", {{"worker", workerInstance}});
        renew(milliseconds(0));
    }
    releaseHeldStarts(renewalNumber, true);
    tick();
}

void run_supervisor::processEndedRuns(const std::vector<ended_run> &endedRuns)
{
    for (const ended_run &ended : endedRuns) {
        if (ended.endNumber <= m_worker->acknowledgedEnd) {
            continue;
        }
        m_worker->acknowledgedEnd = ended.endNumber;
        const auto found = m_table.runs().find(ended.run);
        if (found != m_table.runs().end()) {
            endRun(found, ended.outcome);
        }
    }
}

void run_supervisor::reconcileActiveRuns(std::uint64_t renewalNumber, const lease_response &response)
{
    m_table.recordListed(response.active);
    const std::vector<run_key> endedKeys = m_table.endedRuns(renewalNumber, response);
    reportFormerBootCrash(endedKeys);
    for (const run_key &key : endedKeys) {
        const auto found = m_table.runs().find(key);
        endRun(found, found->second.isOfFormerBoot ? run_outcome::worker_lost : run_outcome::stopped);
    }
}

void run_supervisor::reportFormerBootCrash(std::span<const run_key> endedRuns)
{
    const std::optional<steady_time> crashedAt = m_worker->formerBootCrashedAt;
    std::vector<crashed_run> lost = crashedAt ? m_table.lostWithFormerBoot(endedRuns, *crashedAt) : std::vector<crashed_run>();
    if (!lost.empty()) {
        m_crashes.handleWorkerCrash({++m_lastCrash, crash_state::proved, m_worker->report.identity(), *crashedAt, std::move(lost)});
    }
}

void run_supervisor::stopForeignRuns(const std::vector<active_run> &active)
{
    for (const run_key &key : m_worker->foreignRuns.update(active, m_table, m_time.steadyNow())) {
        m_journal.note("foreign_run_stopped", {{"task", key.task}, {"run", std::to_string(key.runNumber)}});
        requestWorkerStop(key);
    }
}

void run_supervisor::checkLeaseExpiry()
{
    // A worker without a lease has runs only if they were ordered from a former boot of it.
    const bool hasNothingToEnd = !m_worker->hasLease && m_table.runs().empty();
    if (hasNothingToEnd || m_time.steadyNow() < m_worker->clock.latestLeaseEnd() + lease_timing::STOP_MARGIN) {
        return;
    }
    m_worker->hasLease = false;
    dropHeldStarts();
    m_journal.note("lease_lapsed", {{"worker", m_worker->report.workerInstance}, {"runs", std::to_string(m_table.runs().size())}});
    // If this process has been paused, it does not know whether the worker would have answered. One that refuses connections may be cut
    // off; whether it has crashed is told by the next answer.
    const bool hasAsked = m_time.steadyNow() < m_worker->lastRenewal + 2 * m_leases.renewalInterval && !m_worker->refusesConnections;
    while (!m_table.runs().empty()) {
        const supervised_run &run = m_table.runs().begin()->second;
        const bool isSilence = hasAsked && run.state == run_state::running && !run.isOfFormerBoot;
        endRun(m_table.runs().begin(), isSilence ? run_outcome::worker_silent : run_outcome::lapsed);
    }
    giveWay();
}

void run_supervisor::endRun(run_map::iterator run, run_outcome outcome)
{
    const std::string session = run->second.session;
    const std::uint64_t sequence = run->second.sequence;
    if (outcome == run_outcome::done) {
        m_forecast.recordEnd(run->second.estimate, m_time.steadyNow() - run->second.startedAt);
    }
    m_table.runs().erase(run);
    m_listener.handleRunResult(session, sequence, outcome);
}

}
