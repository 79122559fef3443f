#include "dispatch/handover_receiver.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "dispatch/handover_codec.h"

namespace azuremoor
{

handover_receiver::handover_receiver(
    const time_source &time, const route_table &routes, job_dispatcher &dispatcher, peer_outbox &outbox, decision_journal &journal)
    : m_time(time)
    , m_routes(routes)
    , m_dispatcher(dispatcher)
    , m_outbox(outbox)
    , m_journal(journal)
{
}

void handover_receiver::connectEntry(const hello &entry)
{
    disconnectEntry(entry.name);
    m_origins[entry.name].incarnation = entry.incarnation;
}

void handover_receiver::disconnectEntry(const std::string &entry)
{
    const auto found = m_origins.find(entry);
    if (found != m_origins.end()) {
        endEpoch(entry, found->second, "the origin is disconnected", false);
        m_origins.erase(found);
        for (auto &[job, releases] : m_releases) {
            std::erase_if(releases, [&entry](const awaited_release &each) { return each.entry == entry; });
        }
        std::erase_if(m_releases, [](const auto &each) { return each.second.empty(); });
    }
}

void handover_receiver::handleJob(const std::string &entry, const job_handover &handover)
{
    const auto found = m_origins.find(entry);
    if (found == m_origins.end() || found->second.jobs.contains(handover.number)) {
        return;
    }
    origin_state &state = found->second;
    recordSign(entry, state, handover.epoch, handover.peerMicroseconds);
    const std::string reason = obstacle(entry, state, handover);
    if (reason.empty()) {
        take(entry, state, handover);
    } else {
        refuse(entry, handover, reason);
    }
}

void handover_receiver::handleCancel(const std::string &entry, const handover_cancel &cancel)
{
    const auto found = m_origins.find(entry);
    if (found == m_origins.end()) {
        return;
    }
    for (const std::uint64_t number : cancel.numbers) {
        const job_answer outcome{answer_kind::cancelled, "the origin cancelled the job", {}};
        const auto job = found->second.jobs.find(number);
        if (job == found->second.jobs.end()) {
            const bool mayRun = isReleaseAwaited({entry, number});
            m_outbox.send(entry, encodeHandoverAnswer(number, outcome, m_time.steadyNow(), mayRun));
            continue;
        }
        const std::uint64_t request = job->second;
        found->second.jobs.erase(job);
        const taken_request cancelled = std::move(m_requests.at(request));
        m_requests.erase(request);
        noteEnd(cancelled, outcome);
        m_dispatcher.abandonRequest(request);
        sendAnswer(cancelled, outcome);
    }
}

void handover_receiver::handleLease(const std::string &entry, const handover_lease &lease)
{
    const auto found = m_origins.find(entry);
    if (found == m_origins.end()) {
        return;
    }
    recordSign(entry, found->second, lease.epoch, lease.peerMicroseconds);
    m_outbox.send(entry, handover_lease{lease.epoch, m_time.steadyNow().time_since_epoch().count(), lease.sentMicroseconds, true});
}

void handover_receiver::tick()
{
    const steady_time now = m_time.steadyNow();
    for (auto &[entry, state] : m_origins) {
        if (!state.jobs.empty() && now - state.aliveAt >= HANDOVER_SILENCE) {
            endEpoch(entry, state, "the origin is silent", true);
        }
    }
}

void handover_receiver::answerRequest(std::uint64_t request, const job_answer &answer)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end()) {
        return;
    }
    const taken_request taken = std::move(found->second);
    m_requests.erase(found);
    origin_state &state = m_origins.at(taken.entry);
    state.jobs.erase(taken.number);
    noteEnd(taken, answer);
    sendAnswer(taken, answer);
}

void handover_receiver::handleJobRemoved(const std::string &id)
{
    const auto found = m_releases.find(id);
    if (found == m_releases.end()) {
        return;
    }
    for (const awaited_release &release : std::exchange(found->second, {})) {
        m_outbox.send(release.entry, handover_released{{release.number}});
    }
    m_releases.erase(found);
}

void handover_receiver::handleJobHeld(const std::string &id, const std::string &entry)
{
    const auto found = m_releases.find(id);
    if (found == m_releases.end()) {
        return;
    }
    // Two entries that have handed the job to each other would wait for each other without an end.
    std::erase_if(found->second, [this, &entry](const awaited_release &release) {
        const bool isOwnWait = release.entry == entry;
        if (isOwnWait) {
            m_outbox.send(entry, handover_released{{release.number}});
        }
        return isOwnWait;
    });
    if (found->second.empty()) {
        m_releases.erase(found);
    }
}

std::optional<steady_time> handover_receiver::aliveAt(const std::string &origin) const
{
    const auto entry = m_entriesByOrigin.find(origin);
    return entry == m_entriesByOrigin.end() ? std::nullopt : std::optional(m_origins.at(entry->second).aliveAt);
}

std::size_t handover_receiver::activeJobs() const
{
    return m_requests.size();
}

const handover_receiver_counters &handover_receiver::counters() const
{
    return m_counters;
}

std::string handover_receiver::originName(const std::string &entry, const origin_state &state)
{
    return entry + '#' + std::to_string(state.incarnation) + '#' + std::to_string(state.epoch);
}

void handover_receiver::recordSign(const std::string &entry, origin_state &state, std::uint64_t epoch, std::int64_t ownMicroseconds)
{
    if (epoch > state.epoch) {
        endEpoch(entry, state, "the origin has begun a later epoch", true);
        state.epoch = epoch;
        state.hasEnded = false;
        state.aliveAt = {};
        m_entriesByOrigin[originName(entry, state)] = entry;
    }
    if (epoch == state.epoch && !state.hasEnded) {
        state.aliveAt = std::max(state.aliveAt, std::min(steady_time(microseconds(ownMicroseconds)), m_time.steadyNow()));
    }
}

std::string handover_receiver::obstacle(const std::string &entry, const origin_state &state, const job_handover &handover) const
{
    if (handover.epoch != state.epoch || state.hasEnded) {
        return "its epoch has ended";
    }
    if (m_time.steadyNow() - state.aliveAt >= HANDOVER_SILENCE) {
        return "the origin's sign of life is too old";
    }
    if (m_routes.version() == 0 || handover.routingVersion != m_routes.version()) {
        return "another routing configuration is in force";
    }
    if (originName(entry, state).size() > MAX_NAME_BYTES || (state.jobs.empty() && originsWithJobs() >= MAX_ORIGINS)) {
        return "there are too many origins";
    }
    return {};
}

void handover_receiver::take(const std::string &entry, origin_state &state, const job_handover &handover)
{
    std::optional<job_spec> spec = decodeHandedJob(handover);
    std::optional<route> handedRoute = decodeHandedRoute(handover);
    if (!spec || !handedRoute) {
        refuse(entry, handover, "the job is unreadable");
        return;
    }
    handedRoute->version = handover.routingVersion;
    const steady_time now = m_time.steadyNow();
    const std::uint64_t request = m_nextRequest++;
    state.jobs[handover.number] = request;
    m_requests[request] = {entry, handover.number, handover.job};
    m_dispatcher.submitHandedOver(request,
                                  std::move(*spec),
                                  *handedRoute,
                                  now - microseconds(handover.elapsedMicroseconds),
                                  now + microseconds(handover.remainingMicroseconds),
                                  originName(entry, state));
    const bool isTaken = m_requests.contains(request);
    ++(isTaken ? m_counters.taken : m_counters.refused);
    if (isTaken) {
        m_journal.note("handover_taken",
                       {{"job", handover.job},
                        {"entry", entry},
                        {"epoch", std::to_string(handover.epoch)},
                        {"elapsed_us", std::to_string(handover.elapsedMicroseconds)},
                        {"sign_age_us", std::to_string((now - state.aliveAt).count())}});
    }
}

void handover_receiver::refuse(const std::string &entry, const job_handover &handover, const std::string &reason)
{
    ++m_counters.refused;
    const job_answer answer{answer_kind::refused_unavailable, reason, m_time.steadyNow() + NEWS_DELAY};
    const taken_request refused{entry, handover.number, printableText(handover.job)};
    noteEnd(refused, answer);
    sendAnswer(refused, answer);
}

void handover_receiver::endEpoch(const std::string &entry, origin_state &state, const std::string &reason, bool isTold)
{
    m_entriesByOrigin.erase(originName(entry, state));
    state.hasEnded = true;
    const job_answer outcome{answer_kind::expired, reason, {}};
    for (const auto &[number, request] : std::exchange(state.jobs, {})) {
        ++m_counters.ended;
        const taken_request ended = std::move(m_requests.at(request));
        m_requests.erase(request);
        noteEnd(ended, outcome);
        m_dispatcher.abandonRequest(request);
        if (isTold) {
            sendAnswer(ended, outcome);
        }
    }
}

void handover_receiver::sendAnswer(const taken_request &request, const job_answer &answer)
{
    const bool mayRun = m_dispatcher.mayRun(request.job, request.entry);
    if (mayRun) {
        m_releases[request.job].push_back({request.entry, request.number});
    }
    m_outbox.send(request.entry, encodeHandoverAnswer(request.number, answer, m_time.steadyNow(), mayRun));
}

bool handover_receiver::isReleaseAwaited(const awaited_release &release) const
{
    return std::ranges::any_of(m_releases,
                               [&release](const auto &each) { return std::ranges::find(each.second, release) != each.second.end(); });
}

void handover_receiver::noteEnd(const taken_request &request, const job_answer &answer)
{
    m_journal.note("handover_ended",
                   {{"job", request.job},
                    {"entry", request.entry},
                    {"side", "receiver"},
                    {"answer", std::string(answerKindName(answer.kind))},
                    {"reason", answer.reason}});
}

std::size_t handover_receiver::originsWithJobs() const
{
    return std::count_if(m_origins.begin(), m_origins.end(), [](const auto &element) { return !element.second.jobs.empty(); });
}

}
