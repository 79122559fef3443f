#include "runs/run_agent.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time after the end of its lease for which a disconnected session is kept, so that its results can still be delivered.
constexpr microseconds SESSION_RETENTION = seconds(20);

/// Time after which an entry has certainly learned that a connection is surplus, and its last orders have arrived.
constexpr microseconds SURPLUS_NOTICE = seconds(1);

/// Returns whether two statuses differ at most in free capacity, applied order and progress.
bool equalExceptFreeCapacity(const worker_status &one, const worker_status &other)
{
    return one.ready == other.ready && one.draining == other.draining && one.worker == other.worker && one.service == other.service
        && one.labels == other.labels && one.capacity == other.capacity;
}

}

run_agent::run_agent(const time_source &time,
                     lease_timing leases,
                     worker_client &client,
                     peer_outbox &outbox,
                     decision_journal &journal,
                     const hello &self,
                     evacuation_guard *evacuation)
    : m_time(time)
    , m_leases(leases)
    , m_outbox(outbox)
    , m_journal(journal)
    , m_evacuation(evacuation)
    , m_supervisor(time, leases, client, *this, *this, journal)
    , m_crashes(time, self)
    , m_notifier(time)
    , m_reservations(time, journal)
{
}

void run_agent::connectEntry(const hello &entry)
{
    const std::string sessionName = makeSessionName(entry.name, entry.incarnation);
    for (auto &[otherName, other] : m_sessions) {
        if (other.entry == entry.name && otherName != sessionName && !other.isExpired) {
            endSession(other, "the entry process restarted");
        }
    }
    auto [position, isNew] = m_sessions.try_emplace(sessionName);
    entry_session &session = position->second;
    if (isNew) {
        session.entry = entry.name;
        session.incarnation = entry.incarnation;
        // A hello may have been delayed in transit, so only an answered heartbeat starts the lease.
        session.isExpired = true;
    }
    session.isConnected = true;
    session.surplusSince.reset();
    session.sentResultCount = 0;
    m_currentSessions[entry.name] = sessionName;
    m_journal.note("entry_connected", {{"entry", entry.name}, {"new_session", isNew ? "yes" : "no"}});
    m_notifier.add(sessionName);
    sendStatus(sessionName, session);
    for (crash_report &crash : m_crashes.reports()) {
        m_outbox.send(entry.name, std::move(crash));
    }
    m_outbox.send(entry.name, ping{m_time.steadyNow().time_since_epoch().count(), 0});
}

void run_agent::disconnectEntry(const std::string &entry)
{
    if (entry_session *session = findSession(entry)) {
        session->isConnected = false;
        m_reservations.endSession(makeSessionName(session->entry, session->incarnation));
        m_notifier.remove(makeSessionName(session->entry, session->incarnation));
        m_journal.note("entry_disconnected", {{"entry", entry}});
    }
    m_currentSessions.erase(entry);
}

void run_agent::handleMessage(const std::string &entry, const message &value)
{
    entry_session *session = findSession(entry);
    if (session == nullptr) {
        return;
    }
    expireSessions();
    if (const auto *answer = std::get_if<pong>(&value)) {
        renewLease(*session, steady_time(microseconds(answer->echoedMicroseconds)));
        renewOrigins(*session, answer->origins, answer->echoedMicroseconds);
    } else if (const auto *orders = std::get_if<start_runs>(&value)) {
        renewLease(*session, steady_time(microseconds(orders->agentMicroseconds)));
        renewOrigins(*session, orders->origins, orders->agentMicroseconds);
        startRuns(*session, *orders);
    } else if (const auto *stops = std::get_if<stop_runs>(&value)) {
        stopRuns(*session, *stops);
    } else if (const auto *received = std::get_if<run_results_received>(&value)) {
        acknowledgeResults(*session, received->lastNumber);
    } else if (const auto *cpuDemand = std::get_if<room_wish>(&value)) {
        m_notifier.setDemand(makeSessionName(session->entry, session->incarnation), *cpuDemand);
    } else if (const auto *evacuations = std::get_if<evacuation_state>(&value); evacuations != nullptr && m_evacuation != nullptr) {
        m_evacuation->applyRows(*evacuations, entry);
    } else if (const auto *reservation = std::get_if<reserve_room>(&value)) {
        reserveRoom(makeSessionName(session->entry, session->incarnation), *reservation);
    }
}

void run_agent::setSurplusEntries(const std::set<std::string> &entries)
{
    for (const auto &[entry, sessionName] : m_currentSessions) {
        entry_session &session = m_sessions.at(sessionName);
        const bool isSurplus = entries.contains(entry);
        if (isSurplus == session.surplusSince.has_value()) {
            continue;
        }
        session.surplusSince = isSurplus ? std::optional(m_time.steadyNow()) : std::nullopt;
        m_journal.note("entry_surplus", {{"entry", entry}, {"surplus", isSurplus ? "yes" : "no"}});
        sendStatus(sessionName, session);
    }
}

bool run_agent::canDisconnect(const std::string &entry) const
{
    const entry_session *session = findSession(entry);
    return session != nullptr && session->surplusSince && m_time.steadyNow() >= *session->surplusSince + SURPLUS_NOTICE
        && session->results.empty() && m_supervisor.runCount(m_currentSessions.at(entry)) == 0;
}

void run_agent::sendHeartbeats()
{
    flush();
    m_heartbeatRound = (m_heartbeatRound + 1) % IDLE_HEARTBEAT_INTERVALS;
    const std::int64_t now = m_time.steadyNow().time_since_epoch().count();
    for (const auto &[entry, sessionName] : m_currentSessions) {
        if (m_heartbeatRound != 0 && !isBusy(sessionName, m_sessions.at(sessionName))) {
            continue;
        }
        m_outbox.send(entry, ping{now, 0});
        // Pending updates are sent together with the heartbeat, so that the entry wakes up only once.
        std::vector<run_progress> progress = m_supervisor.progress(sessionName);
        if (m_notifier.needsUpdate(sessionName) || !progress.empty()) {
            sendCapacityUpdate(sessionName, m_sessions.at(sessionName), std::move(progress));
        }
    }
}

std::set<std::string> run_agent::busyEntries() const
{
    std::set<std::string> result;
    for (const auto &[entry, sessionName] : m_currentSessions) {
        if (isBusy(sessionName, m_sessions.at(sessionName))) {
            result.insert(entry);
        }
    }
    return result;
}

void run_agent::tick()
{
    expireSessions();
    m_reservations.tick();
    m_supervisor.tick();
}

void run_agent::flush()
{
    const bool hasStatusChanged = detectStatusChange();
    std::optional<std::string> entryToNotify = m_reservations.readySession(m_announcedStatus.free);
    if (!entryToNotify || !m_notifier.needsUpdate(*entryToNotify)) {
        entryToNotify = m_notifier.selectEntryToNotify(m_announcedStatus.free.milliCores);
    }
    const bool hasDemand = m_notifier.hasDemand();
    for (auto &[sessionName, session] : m_sessions) {
        if (!session.isConnected) {
            continue;
        }
        // An order refused for lack of capacity shows that the entry's view of the free capacity is out of date.
        const bool hasOrderWithoutCapacity = hasUnsentResult(session, run_outcome::no_room);
        const bool hasResults = sendResults(session);
        if (hasStatusChanged) {
            sendStatus(sessionName, session);
        } else if (hasOrderWithoutCapacity || sessionName == entryToNotify || (hasResults && !hasDemand)) {
            sendCapacityUpdate(sessionName, session, m_supervisor.progress(sessionName));
        }
    }
}

void run_agent::beginStop()
{
    m_supervisor.close();
}

bool run_agent::isIdle() const
{
    return m_supervisor.runCount() == 0 && std::all_of(m_sessions.begin(), m_sessions.end(), [](const auto &element) {
               return !element.second.isConnected || element.second.results.empty();
           });
}

void run_agent::handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome)
{
    const auto found = m_sessions.find(session);
    if (found != m_sessions.end()) {
        found->second.results.push_back({sequence, outcome});
    }
}

void run_agent::handleWorkerCrash(const worker_crash &crash)
{
    const crash_report report = m_crashes.record(crash);
    noteCrash(crash, report);
    for (const auto &[entry, sessionName] : m_currentSessions) {
        m_outbox.send(entry, report);
    }
}

void run_agent::noteCrash(const worker_crash &crash, const crash_report &report)
{
    journal_fields fields = {{"worker", crash.worker.instance.substr(0, MAX_NAME_BYTES)},
                             {"crash", report.crash},
                             {"noticed_ms_ago", std::to_string(report.ageMilliseconds)},
                             {"runs", std::to_string(crash.runs.size())}};
    if (crash.state == crash_state::withdrawn) {
        m_journal.note("crash_withdrawn", std::move(fields));
        return;
    }
    const auto confirmedRuns = std::ranges::count(crash.runs, start_evidence::confirmed, &crashed_run::start);
    const crashed_run &youngest = report.runs.front();
    fields.emplace_back("confirmed_runs", std::to_string(confirmedRuns));
    fields.emplace_back("youngest_task", youngest.task.substr(0, MAX_NAME_BYTES));
    fields.emplace_back("youngest_age_ms", std::to_string(youngest.ageMilliseconds));
    fields.emplace_back("youngest_confirmed", youngest.start == start_evidence::confirmed ? "yes" : "no");
    m_journal.note(crash.state == crash_state::proved ? "worker_crashed" : "crash_suspected", std::move(fields));
}

run_supervisor &run_agent::supervisor()
{
    return m_supervisor;
}

const run_supervisor &run_agent::supervisor() const
{
    return m_supervisor;
}

std::size_t run_agent::activeSessionCount() const
{
    return std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto &element) { return !element.second.isExpired; });
}

std::string run_agent::makeSessionName(const std::string &entry, std::uint64_t incarnation)
{
    return entry + '#' + std::to_string(incarnation);
}

entry_session *run_agent::findSession(const std::string &entry)
{
    const auto found = m_currentSessions.find(entry);
    return found == m_currentSessions.end() ? nullptr : &m_sessions.at(found->second);
}

const entry_session *run_agent::findSession(const std::string &entry) const
{
    const auto found = m_currentSessions.find(entry);
    return found == m_currentSessions.end() ? nullptr : &m_sessions.at(found->second);
}

bool run_agent::isBusy(const std::string &sessionName, const entry_session &session) const
{
    return !session.results.empty() || m_supervisor.runCount(sessionName) > 0;
}

void run_agent::renewLease(entry_session &session, steady_time aliveAt)
{
    const steady_time now = m_time.steadyNow();
    const steady_time leaseEnd = std::min(aliveAt, now) + m_leases.entryLease;
    if (leaseEnd > now) {
        session.leaseEnd = std::max(session.leaseEnd, leaseEnd);
        session.isExpired = false;
    }
}

worker_status run_agent::currentStatus() const
{
    worker_status status = m_supervisor.status();
    status.draining = status.draining || (m_evacuation != nullptr && m_evacuation->isClosed());
    return status;
}

void run_agent::renewOrigins(entry_session &session, const std::vector<origin_age> &origins, std::int64_t agentMicroseconds)
{
    session.origins.renew(origins, steady_time(microseconds(agentMicroseconds)), m_leases.entryLease, m_time.steadyNow());
}

void run_agent::startRuns(entry_session &session, const start_runs &orders)
{
    const steady_time now = m_time.steadyNow();
    const std::string sessionName = makeSessionName(session.entry, session.incarnation);
    for (const run_order &order : orders.orders) {
        session.appliedOrder = std::max(session.appliedOrder, order.sequence);
        m_notifier.recordOrder(sessionName);
        const bool isLeaseValid = !session.isExpired && session.origins.isValid(order.origin, now);
        if (!isLeaseValid || (m_evacuation != nullptr && m_evacuation->refuses(order, session.entry))) {
            handleRunResult(sessionName, order.sequence, run_outcome::closed);
        } else {
            session.usesForecasts = session.usesForecasts || order.estimate > 0;
            startRun(sessionName, orders.worker, order);
        }
    }
    m_supervisor.askForHeldStarts();
}

void run_agent::startRun(const std::string &sessionName, const std::string &workerInstance, const run_order &order)
{
    if (m_reservations.current()) {
        const std::vector<forecast_run> runs = m_supervisor.forecastRuns();
        if (!m_reservations.admit(sessionName, order, {m_supervisor.status().free, runs, m_supervisor.forecast()})) {
            handleRunResult(sessionName, order.sequence, run_outcome::no_room);
            return;
        }
    }
    m_supervisor.start(sessionName, workerInstance, order);
}

void run_agent::reserveRoom(const std::string &sessionName, const reserve_room &request)
{
    const worker_status status = currentStatus();
    if (status.ready && !status.draining) {
        const std::vector<forecast_run> runs = m_supervisor.forecastRuns();
        m_reservations.handleRequest(sessionName, request, {status.free, runs, m_supervisor.forecast()});
    }
}

capacity_outlook run_agent::outlookFor(const std::string &sessionName, const entry_session &session) const
{
    capacity_outlook result;
    if (!session.usesForecasts) {
        return result;
    }
    const std::vector<forecast_run> runs = m_supervisor.forecastRuns();
    result.steps = m_supervisor.forecast().steps(m_supervisor.status().free, runs);
    if (const std::optional<room_reservation> &reservation = m_reservations.current()) {
        const microseconds wait = std::max(reservation->expectedAt - m_time.steadyNow(), microseconds(0));
        result.reserved = reservation->shape;
        result.reservedInMilliseconds = static_cast<std::uint32_t>(wait / milliseconds(1));
        result.isOwnReservation = reservation->session == sessionName;
    }
    return result;
}

const room_reservations &run_agent::reservations() const
{
    return m_reservations;
}

std::uint64_t run_agent::crashCount() const
{
    return m_crashes.count();
}

void run_agent::stopRuns(const entry_session &session, const stop_runs &stops)
{
    const std::string sessionName = makeSessionName(session.entry, session.incarnation);
    for (const std::uint64_t sequence : stops.sequences) {
        m_supervisor.stop(sessionName, sequence);
    }
}

void run_agent::acknowledgeResults(entry_session &session, std::uint64_t lastNumber)
{
    while (!session.results.empty() && session.firstResultNumber <= lastNumber) {
        session.results.pop_front();
        ++session.firstResultNumber;
        session.sentResultCount -= std::min<std::size_t>(session.sentResultCount, 1);
    }
}

void run_agent::expireSessions()
{
    const steady_time now = m_time.steadyNow();
    for (auto &[sessionName, session] : m_sessions) {
        expireOrigins(sessionName, session);
        if (session.isExpired || now < session.leaseEnd) {
            continue;
        }
        if (m_supervisor.runCount(sessionName) > 0) {
            endSession(session, "the entry stopped answering heartbeats");
        } else {
            // Without runs nothing has to end, and the next order renews the lease.
            session.isExpired = true;
        }
    }
    std::erase_if(m_sessions, [now](const auto &element) {
        return element.second.isExpired && !element.second.isConnected && now >= element.second.leaseEnd + SESSION_RETENTION;
    });
}

void run_agent::expireOrigins(const std::string &sessionName, entry_session &session)
{
    for (const std::string &origin : session.origins.removeEnded(m_time.steadyNow())) {
        const std::size_t runs = m_supervisor.stopRunsOfOrigin(sessionName, origin);
        if (runs > 0) {
            m_journal.note("origin_lease_ended", {{"entry", session.entry}, {"origin", origin}, {"runs", std::to_string(runs)}});
        }
    }
}

void run_agent::endSession(entry_session &session, const std::string &reason)
{
    session.isExpired = true;
    m_reservations.endSession(makeSessionName(session.entry, session.incarnation));
    m_journal.note("entry_lease_ended", {{"entry", session.entry}, {"reason", reason}});
    m_supervisor.stopAll(makeSessionName(session.entry, session.incarnation));
}

bool run_agent::detectStatusChange()
{
    worker_status current = currentStatus();
    const bool hasChanged = !equalExceptFreeCapacity(current, m_announcedStatus);
    if (current.worker != m_announcedStatus.worker) {
        m_reservations.endAll();
    }
    if (current.free != m_announcedStatus.free) {
        m_notifier.recordCapacityChange();
    }
    m_announcedStatus = std::move(current);
    return hasChanged;
}

bool run_agent::hasUnsentResult(const entry_session &session, run_outcome outcome)
{
    const auto firstUnsent
        = session.results.begin() + static_cast<std::ptrdiff_t>(std::min(session.sentResultCount, session.results.size()));
    return std::any_of(firstUnsent, session.results.end(), [outcome](const run_result &result) { return result.outcome == outcome; });
}

bool run_agent::sendResults(entry_session &session)
{
    if (session.sentResultCount >= session.results.size()) {
        return false;
    }
    run_results unsent;
    unsent.firstNumber = session.firstResultNumber + session.sentResultCount;
    unsent.results.assign(session.results.begin() + static_cast<std::ptrdiff_t>(session.sentResultCount), session.results.end());
    session.sentResultCount = session.results.size();
    m_outbox.send(session.entry, std::move(unsent));
    return true;
}

void run_agent::sendStatus(const std::string &sessionName, const entry_session &session)
{
    worker_status status = currentStatus();
    status.draining = status.draining || session.surplusSince;
    status.appliedOrder = session.appliedOrder;
    status.progress = m_supervisor.progress(sessionName);
    status.outlook = outlookFor(sessionName, session);
    m_outbox.send(session.entry, std::move(status));
    m_notifier.recordNotified(sessionName);
}

void run_agent::sendCapacityUpdate(const std::string &sessionName, const entry_session &session, std::vector<run_progress> progress)
{
    m_outbox.send(session.entry,
                  room_update{m_announcedStatus.free, session.appliedOrder, std::move(progress), outlookFor(sessionName, session)});
    m_notifier.recordNotified(sessionName);
}
}
