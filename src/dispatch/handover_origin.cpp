#include "dispatch/handover_origin.h"

#include <algorithm>
#include <utility>

#include "dispatch/entry_subset.h"
#include "dispatch/handover_codec.h"

namespace azuremoor
{

namespace
{

/// Entries that are looked at for one job. Bounds the time of a decision in a large fleet.
constexpr std::size_t MAX_DRAWS = 8;

/// Signs of life without an answer before a receiver counts as silent. A process that was itself suspended may find answers that it has
/// not read yet.
constexpr int MIN_UNANSWERED_LEASES = 3;

/// Time for which an entry counts as short of a resource after a sign of it. Its reported delays swing faster than that.
constexpr microseconds SHORTAGE_MEMORY = milliseconds(300);

/// Time from giving up a silent entry to the first sign of life of the next epoch, so that the cancels are handled first.
constexpr microseconds SIGN_DELAY_AFTER_GIVING_UP = milliseconds(100);

/// Longest time between two reports that is taken into account.
constexpr microseconds MAX_REPORT_INTERVAL = seconds(1);

/// Part of its share's work that an entry is handed over at most.
constexpr double HANDED_PART = 0.5;

/// Bounds of an entry's share, as multiples of the equal one. They limit what a false report can do.
constexpr double MIN_SHARE_FACTOR = 0.25;
constexpr double MAX_SHARE_FACTOR = 4;

/// Numbers in one cancel. The limit of a list in a message is larger.
constexpr std::size_t MAX_CANCELS_PER_MESSAGE = 1000;

/// Reported work is in thousandths of a core times milliseconds.
constexpr double MICROSECONDS_PER_MILLISECOND = 1000;

}

handover_origin::handover_origin(const time_source &time,
                                 const entry_load_table &loads,
                                 const worker_pool &pool,
                                 const route_table &routes,
                                 const handover_policy &policy,
                                 job_dispatcher &dispatcher,
                                 peer_outbox &outbox,
                                 decision_journal &journal,
                                 std::uint64_t seed)
    : m_time(time)
    , m_loads(loads)
    , m_pool(pool)
    , m_routes(routes)
    , m_policy(policy)
    , m_dispatcher(dispatcher)
    , m_outbox(outbox)
    , m_journal(journal)
    , m_random(seed)
{
}

void handover_origin::setEnabled(bool isEnabled)
{
    m_isEnabled = isEnabled;
}

void handover_origin::connectEntry(const std::string &entry)
{
    disconnectEntry(entry);
    m_peers.try_emplace(entry);
    m_names.push_back(entry);
}

void handover_origin::disconnectEntry(const std::string &entry)
{
    const auto found = m_peers.find(entry);
    if (found == m_peers.end()) {
        return;
    }
    peer_state state = std::move(found->second);
    // Jobs that are given up may be answered with jobs of other entries, so that the entry must not be found any more.
    m_peers.erase(found);
    std::erase(m_names, entry);
    m_counters.givenUpDisconnected += state.jobs.size();
    holdWithoutSigns(entry, state.held);
    giveUp(entry, state, "the connection to the entry that took the job is lost");
}

void handover_origin::recordHeartbeat(const std::string &entry, const entry_heartbeat &heartbeat)
{
    const auto found = m_peers.find(entry);
    if (found == m_peers.end()) {
        return;
    }
    peer_state &state = found->second;
    const steady_time now = m_time.steadyNow();
    if (state.reportedAt != steady_time{}) {
        state.previousInterval = state.reportInterval;
        state.reportInterval = std::min<microseconds>(now - state.reportedAt, MAX_REPORT_INTERVAL);
    }
    // A single job may have been larger than the limit; what exceeds it counts against the next one.
    state.handedWork = std::max(state.handedWork - state.maxHandedWork, 0.0);
    // A busy processor reads reports late, so that one of two intervals is short.
    const auto interval = static_cast<double>(std::max(state.reportInterval, state.previousInterval).count());
    state.maxHandedWork = HANDED_PART * shareOf(heartbeat.load) * interval;
    state.reportedAt = now;
    state.routingVersion = heartbeat.routingVersion;
    recordClock(state, heartbeat.sentMicroseconds);
}

void handover_origin::recordShortage(const std::string &entry)
{
    const auto found = m_peers.find(entry);
    if (found != m_peers.end()) {
        markShort(found->second);
    }
}

bool handover_origin::offer(const active_job &job, resource_shortage shortage, steady_time startBy)
{
    if (!m_isEnabled) {
        return false;
    }
    const steady_time now = m_time.steadyNow();
    const handover_job facts{shortage, job.statistics.orders > 0, !job.origin.empty(), job.waitingWork(), startBy - now};
    if (!m_policy.isCandidate(facts)) {
        return false;
    }
    std::string entry;
    peer_state *state = choosePeer(facts, entry);
    std::optional<job_handover> handover = state == nullptr ? std::nullopt : encodeHandover(job, now);
    if (!handover) {
        return false;
    }
    if (!state->isBusy()) {
        state->epoch = ++m_lastEpoch;
        state->lastHeardAt = now;
        state->unansweredLeases = 0;
    }
    state->handedWork += facts.work;
    state->jobs.insert(job.number);
    m_peersByJob[job.number] = entry;
    ++m_counters.handedOver[static_cast<std::size_t>(shortage)];
    m_journal.note("job_handed_over",
                   {{"job", job.spec.id},
                    {"entry", entry},
                    {"shortage", std::string(resourceShortageName(shortage))},
                    {"epoch", std::to_string(state->epoch)},
                    {"elapsed_us", std::to_string(handover->elapsedMicroseconds)},
                    {"time_to_start_us", std::to_string(facts.timeToStart.count())},
                    {"report_age_us", std::to_string((now - state->reportedAt).count())}});
    handover->epoch = state->epoch;
    handover->peerMicroseconds = signOfLife(*state);
    handover->routingVersion = m_routes.version();
    m_outbox.send(entry, std::move(*handover));
    return true;
}

std::string handover_origin::withdraw(std::uint64_t job)
{
    const auto found = m_peersByJob.find(job);
    if (found == m_peersByJob.end()) {
        // Its receiver is being given up.
        const auto given = m_unsignedJobs.find(job);
        return given == m_unsignedJobs.end() ? std::string() : given->second.entry;
    }
    std::string entry = found->second;
    peer_state &state = m_peers.at(entry);
    m_peersByJob.erase(found);
    state.jobs.erase(job);
    state.cancelled.insert(job);
    state.held.insert(job);
    m_journal.note("handover_withdrawn", {{"job", m_dispatcher.jobId(job)}, {"entry", entry}, {"epoch", std::to_string(state.epoch)}});
    m_outbox.send(entry, handover_cancel{{job}});
    return entry;
}

void handover_origin::handleAnswer(const std::string &entry, const handover_answer &answer)
{
    const auto found = m_peers.find(entry);
    if (found == m_peers.end()) {
        return;
    }
    recordContact(found->second);
    confirmCancel(entry, found->second, answer.number);
    if (found->second.jobs.erase(answer.number) == 0) {
        updateHeld(entry, found->second, answer.number, answer.mayRun);
        return;
    }
    m_peersByJob.erase(answer.number);
    if (answer.mayRun) {
        found->second.held.insert(answer.number);
    }
    const job_answer outcome = decodeHandoverAnswer(answer, m_time.steadyNow());
    const bool isRefused = outcome.kind == answer_kind::refused_full || outcome.kind == answer_kind::refused_unavailable;
    if (isRefused) {
        ++m_counters.refused;
        markShort(found->second);
    }
    noteEnd(entry, answer.number, outcome);
    m_dispatcher.returnJob(answer.number, outcome, answer.mayRun ? entry : std::string());
}

void handover_origin::handleReleased(const std::string &entry, const handover_released &released)
{
    const auto found = m_peers.find(entry);
    if (found == m_peers.end()) {
        return;
    }
    recordContact(found->second);
    for (const std::uint64_t job : released.numbers) {
        updateHeld(entry, found->second, job, false);
    }
}

void handover_origin::handleLeaseAnswer(const std::string &entry, const handover_lease &lease)
{
    const auto found = m_peers.find(entry);
    if (found == m_peers.end()) {
        return;
    }
    recordClock(found->second, lease.sentMicroseconds);
    if (lease.epoch == found->second.epoch) {
        recordContact(found->second);
        found->second.givenUpAt.reset();
    }
}

void handover_origin::sendLeases()
{
    updateShares();
    const steady_time now = m_time.steadyNow();
    for (auto &[entry, state] : m_peers) {
        if (state.givenUpAt) {
            if (now >= *state.givenUpAt + SIGN_DELAY_AFTER_GIVING_UP) {
                sendLease(entry, state);
            }
            continue;
        }
        if (!state.isBusy()) {
            continue;
        }
        ++state.unansweredLeases;
        if (state.cancelled.empty()) {
            sendLease(entry, state);
        } else {
            sendCancels(entry, state);
        }
    }
}

void handover_origin::tick()
{
    const steady_time now = m_time.steadyNow();
    releaseDueJobs(now);
    giveUpSilentPeers(now);
}

void handover_origin::releaseDueJobs(steady_time now)
{
    for (auto each = m_unsignedJobs.begin(); each != m_unsignedJobs.end();) {
        if (now >= each->second.endedBy) {
            m_dispatcher.releaseJob(each->first);
            each = m_unsignedJobs.erase(each);
        } else {
            ++each;
        }
    }
}

void handover_origin::giveUpSilentPeers(steady_time now)
{
    const auto isSilent = [now](const peer_state &state) {
        return state.isBusy() && state.unansweredLeases >= MIN_UNANSWERED_LEASES && now - state.lastHeardAt >= HANDOVER_SILENCE;
    };
    if (std::ranges::none_of(m_peers, isSilent, [](const auto &each) -> const peer_state & { return each.second; })) {
        return;
    }
    for (const std::string &entry : std::vector<std::string>(m_names)) {
        peer_state &state = m_peers.at(entry);
        if (isSilent(state)) {
            m_counters.givenUpSilent += state.jobs.size();
            state.cancelled.insert(state.jobs.begin(), state.jobs.end());
            sendCancels(entry, state);
            // Signs of life of a new epoch end the jobs at the receiver also when the cancels are lost. Their answers show that messages
            // pass in both directions again.
            state.epoch = ++m_lastEpoch;
            state.givenUpAt = now;
            markShort(state);
            holdWithoutSigns(entry, std::exchange(state.held, {}));
            giveUp(entry, state, "the entry that took the job is silent");
        }
    }
}

std::size_t handover_origin::awaitedJobs() const
{
    return m_peersByJob.size();
}

std::size_t handover_origin::heldJobs() const
{
    std::size_t result = m_unsignedJobs.size();
    for (const auto &[entry, state] : m_peers) {
        result += state.held.size();
    }
    return result;
}

const handover_origin_counters &handover_origin::counters() const
{
    return m_counters;
}

void handover_origin::updateShares()
{
    const steady_time now = m_time.steadyNow();
    double capacity = 0;
    for (const auto &[agent, worker] : m_pool.workers()) {
        capacity += m_pool.isUsable(worker, now) ? worker.status.capacity.milliCores : 0;
    }
    m_equalShare = capacity / static_cast<double>(std::min(m_names.size() + 1, ENTRIES_PER_AGENT));
    double asked = 0;
    std::size_t reports = 0;
    for (const std::string &entry : m_names) {
        if (const reported_load *report = m_loads.find(entry)) {
            asked += static_cast<double>(report->load.askedMilliCores);
            ++reports;
        }
    }
    m_meanAsked = reports > 0 ? asked / static_cast<double>(reports) : 0;
}

double handover_origin::shareOf(const entry_load &load) const
{
    const double factor = m_meanAsked > 0 ? static_cast<double>(load.askedMilliCores) / m_meanAsked : 1;
    return m_equalShare * std::clamp(factor, MIN_SHARE_FACTOR, MAX_SHARE_FACTOR);
}

handover_peer handover_origin::describe(const peer_state &state, const reported_load &report) const
{
    handover_peer peer;
    peer.reportAge = m_time.steadyNow() - report.receivedAt;
    peer.acceptsJobs = report.load.acceptsJobs;
    peer.hasSameRouting = state.routingVersion == m_routes.version();
    peer.isShort = m_time.steadyNow() < state.shortUntil;
    peer.processorDelay = microseconds(report.load.processorDelayMicroseconds);
    peer.linkDelay = microseconds(report.load.linkDelayMicroseconds);
    for (const priority_load &waiting : report.load.waiting) {
        peer.waitingWork += static_cast<double>(waiting.waitingWork) * MICROSECONDS_PER_MILLISECOND;
    }
    peer.shareMilliCores = shareOf(report.load);
    peer.handedWork = state.handedWork;
    peer.maxHandedWork = state.maxHandedWork;
    return peer;
}

handover_origin::peer_state *handover_origin::choosePeer(const handover_job &job, std::string &name)
{
    peer_state *chosen = nullptr;
    handover_peer chosenFacts;
    for (std::size_t draw = 0; draw < std::min(MAX_DRAWS, m_names.size()); ++draw) {
        // The drawn names are moved to the front, so that none is drawn twice.
        std::swap(m_names[draw], m_names[draw + m_random() % (m_names.size() - draw)]);
        const std::string &entry = m_names[draw];
        peer_state &state = m_peers.at(entry);
        const reported_load *report = m_loads.find(entry);
        if (report == nullptr || !state.clock || !state.cancelled.empty() || state.givenUpAt) {
            continue;
        }
        const handover_peer facts = describe(state, *report);
        if (!m_policy.canTake(facts, job)) {
            continue;
        }
        if (chosen != nullptr) {
            if (m_policy.isBetter(facts, chosenFacts)) {
                chosen = &state;
                name = entry;
            }
            return chosen;
        }
        chosen = &state;
        chosenFacts = facts;
        name = entry;
    }
    return chosen;
}

std::int64_t handover_origin::signOfLife(const peer_state &state) const
{
    return state.clock ? state.clock->earliestAt(m_time.steadyNow(), CLOCK_RATE_TOLERANCE) : 0;
}

void handover_origin::recordClock(peer_state &state, std::int64_t peerMicroseconds) const
{
    const steady_time now = m_time.steadyNow();
    if (!state.clock || state.clock->earliestAt(now, CLOCK_RATE_TOLERANCE) <= peerMicroseconds) {
        state.clock = {peerMicroseconds, now};
    }
}

void handover_origin::recordContact(peer_state &state)
{
    state.lastHeardAt = m_time.steadyNow();
    state.unansweredLeases = 0;
}

void handover_origin::markShort(peer_state &state)
{
    state.shortUntil = m_time.steadyNow() + SHORTAGE_MEMORY;
}

void handover_origin::confirmCancel(const std::string &entry, peer_state &state, std::uint64_t job)
{
    if (state.cancelled.erase(job) > 0 && state.cancelled.empty() && !state.jobs.empty()) {
        sendLease(entry, state);
    }
}

void handover_origin::updateHeld(const std::string &entry, peer_state &state, std::uint64_t job, bool mayRun)
{
    if (!mayRun) {
        if (state.held.erase(job) > 0) {
            m_dispatcher.releaseJob(job);
        }
        return;
    }
    // The entry goes on with the job for a caller of its own, and tells when that has ended.
    const auto found = m_unsignedJobs.find(job);
    if (found != m_unsignedJobs.end() && found->second.entry == entry) {
        m_unsignedJobs.erase(found);
        state.held.insert(job);
    }
}

void handover_origin::holdWithoutSigns(const std::string &entry, const std::set<std::uint64_t> &jobs)
{
    // The last sign of life for them was not given later than now.
    const steady_time end = m_time.steadyNow() + m_pool.maxOrphanedRunTime();
    for (const std::uint64_t job : jobs) {
        m_unsignedJobs[job] = {entry, end};
    }
}

void handover_origin::sendLease(const std::string &entry, const peer_state &state)
{
    m_outbox.send(entry, handover_lease{state.epoch, m_time.steadyNow().time_since_epoch().count(), signOfLife(state), false});
}

void handover_origin::sendCancels(const std::string &entry, const peer_state &state)
{
    handover_cancel cancel;
    for (const std::uint64_t number : state.cancelled) {
        cancel.numbers.push_back(number);
        if (cancel.numbers.size() == MAX_CANCELS_PER_MESSAGE) {
            m_outbox.send(entry, std::exchange(cancel, {}));
        }
    }
    if (!cancel.numbers.empty()) {
        m_outbox.send(entry, std::move(cancel));
    }
}

void handover_origin::giveUp(const std::string &entry, peer_state &state, const std::string &reason)
{
    const std::set<std::uint64_t> jobs = std::exchange(state.jobs, {});
    state.cancelled.clear();
    // An answer may close a caller's connection and withdraw another of these jobs.
    std::erase_if(m_peersByJob, [&jobs](const auto &element) { return jobs.contains(element.first); });
    holdWithoutSigns(entry, jobs);
    for (const std::uint64_t job : jobs) {
        const job_answer outcome{answer_kind::expired, reason, {}};
        noteEnd(entry, job, outcome);
        m_dispatcher.returnJob(job, outcome, entry);
    }
}

void handover_origin::noteEnd(const std::string &entry, std::uint64_t job, const job_answer &answer)
{
    m_journal.note("handover_ended",
                   {{"job", m_dispatcher.jobId(job)},
                    {"entry", entry},
                    {"side", "origin"},
                    {"answer", std::string(answerKindName(answer.kind))},
                    {"reason", answer.reason}});
}

}
