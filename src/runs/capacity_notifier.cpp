#include "runs/capacity_notifier.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace azuremoor
{

namespace
{

/// Time that a notified session has to order runs before the next one is notified of the same capacity.
constexpr milliseconds EXCLUSIVE_PERIOD{8};

/// Time for which a session that did not use free capacity comes after the others. Entries report the end of their demand up to 200 ms
/// late, half of that on average, and a highest priority that was served meanwhile would get nine tenths of all turns until then.
constexpr milliseconds UNRESPONSIVE_PERIOD{100};

/// Part of the turns that each priority gets at least while it waits.
constexpr double MIN_TURN_SHARE = 0.1;

/// Sum of parts that counts as one turn, less the rounding of the sum.
constexpr double FULL_TURN = 0.999;

/// Number of priorities whose past turns are kept for a session beside those of which it has demand. Bounds the memory that a faulty
/// session takes.
constexpr std::size_t MAX_KEPT_PRIORITIES = 16;

}

capacity_notifier::capacity_notifier(const time_source &time)
    : m_time(time)
{
}

void capacity_notifier::add(const std::string &session)
{
    session_state added;
    added.name = session;
    added.notifiedRevision = m_revision;
    for (const std::uint32_t priority : demandedPriorities()) {
        added.weightedTurns[priority] = minimumWeightedTurns(priority);
    }
    m_sessions[session] = std::move(added);
}

void capacity_notifier::remove(const std::string &session)
{
    m_sessions.erase(session);
}

void capacity_notifier::recordCapacityChange()
{
    ++m_revision;
}

void capacity_notifier::recordNotified(const std::string &session)
{
    const auto found = m_sessions.find(session);
    if (found != m_sessions.end()) {
        found->second.notifiedRevision = m_revision;
    }
}

void capacity_notifier::setDemand(const std::string &session, const room_wish &cpuDemand)
{
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end()) {
        return;
    }
    session_state &state = found->second;
    std::map<std::uint32_t, std::uint64_t> demand = demandByPriority(cpuDemand);
    if (state.weightedTurns.size() > MAX_KEPT_PRIORITIES) {
        std::erase_if(state.weightedTurns,
                      [&](const auto &each) { return !demand.contains(each.first) && !state.demandByPriority.contains(each.first); });
    }
    for (const auto &[priority, milliCores] : demand) {
        if (!state.demandByPriority.contains(priority)) {
            // A session that had no demand gets no extra turns later for that time.
            double &turns = state.weightedTurns[priority];
            turns = std::max(turns, minimumWeightedTurns(priority));
        }
    }
    state.cpuDemand = cpuDemand;
    state.demandByPriority = std::move(demand);
    state.unusedSince.reset();
    state.demotedUntil = {};
}

void capacity_notifier::recordOrder(const std::string &session)
{
    const auto found = m_sessions.find(session);
    if (found != m_sessions.end()) {
        found->second.unusedSince.reset();
        found->second.demotedUntil = {};
    }
}

bool capacity_notifier::hasDemand() const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [](const auto &each) { return each.second.cpuDemand.milliCores > 0; });
}

bool capacity_notifier::needsUpdate(const std::string &session) const
{
    const auto found = m_sessions.find(session);
    return found != m_sessions.end() && found->second.notifiedRevision != m_revision;
}

std::optional<std::string> capacity_notifier::selectEntryToNotify(std::uint32_t freeMilliCores)
{
    const steady_time now = m_time.steadyNow();
    if (m_exclusiveRevision == m_revision && now < m_exclusiveUntil) {
        return std::nullopt;
    }
    demoteUnresponsiveSessions(now);
    const std::vector<session_state *> sessions = candidates(freeMilliCores, now);
    const std::optional<std::uint32_t> priority = selectPriority(sessions);
    if (!priority) {
        return std::nullopt;
    }
    session_state *next = nullptr;
    for (session_state *each : sessions) {
        const bool hasPriority = each->demandByPriority.contains(*priority);
        if (hasPriority && (next == nullptr || each->weightedTurns[*priority] < next->weightedTurns[*priority])) {
            next = each;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    next->weightedTurns[*priority] += 1.0 / static_cast<double>(next->demandByPriority.at(*priority));
    next->unusedSince = next->unusedSince.value_or(now);
    m_exclusiveRevision = m_revision;
    m_exclusiveUntil = now + EXCLUSIVE_PERIOD;
    return next->name;
}

void capacity_notifier::demoteUnresponsiveSessions(steady_time now)
{
    if (demandedPriorities().size() <= 1) {
        return;
    }
    for (auto &[name, session] : m_sessions) {
        if (session.unusedSince && now >= *session.unusedSince + EXCLUSIVE_PERIOD) {
            session.unusedSince.reset();
            session.demotedUntil = now + UNRESPONSIVE_PERIOD;
        }
    }
}

std::vector<capacity_notifier::session_state *> capacity_notifier::candidates(std::uint32_t freeMilliCores, steady_time now)
{
    std::vector<session_state *> first;
    std::vector<session_state *> last;
    const bool hasSeveralPriorities = demandedPriorities().size() > 1;
    for (auto &[name, session] : m_sessions) {
        if (isEligible(session, freeMilliCores)) {
            (hasSeveralPriorities && now < session.demotedUntil ? last : first).push_back(&session);
        }
    }
    return first.empty() ? last : first;
}

bool capacity_notifier::isEligible(const session_state &session, std::uint32_t freeMilliCores) const
{
    const room_wish &cpuDemand = session.cpuDemand;
    return cpuDemand.milliCores > 0 && cpuDemand.smallestMilliCores <= freeMilliCores && session.notifiedRevision != m_revision;
}

std::optional<std::uint32_t> capacity_notifier::selectPriority(const std::vector<session_state *> &sessions)
{
    std::set<std::uint32_t> waiting;
    for (const session_state *session : sessions) {
        for (const auto &[priority, milliCores] : session->demandByPriority) {
            waiting.insert(priority);
        }
    }
    if (waiting.empty()) {
        return std::nullopt;
    }
    std::uint32_t selected = *waiting.begin();
    // A priority keeps its due turns while its sessions are only notified already or have no task that is small enough.
    const std::set<std::uint32_t> demanded = demandedPriorities();
    std::erase_if(m_dueTurns, [&demanded](const auto &each) { return !demanded.contains(each.first); });
    for (auto lower = std::next(waiting.begin()); lower != waiting.end(); ++lower) {
        double &due = m_dueTurns[*lower];
        due = std::min(due + MIN_TURN_SHARE, 1.0);
        if (due >= FULL_TURN && selected == *waiting.begin()) {
            selected = *lower;
        }
    }
    m_dueTurns[selected] = 0;
    return selected;
}

std::map<std::uint32_t, std::uint64_t> capacity_notifier::demandByPriority(const room_wish &cpuDemand)
{
    std::map<std::uint32_t, std::uint64_t> result;
    if (cpuDemand.milliCores == 0) {
        return result;
    }
    if (cpuDemand.byPriority.empty()) {
        result[0] = cpuDemand.milliCores;
    }
    for (const priority_demand &row : cpuDemand.byPriority) {
        if (row.milliCores > 0) {
            std::uint64_t &sum = result[row.priority];
            sum += std::min(row.milliCores, std::numeric_limits<std::uint64_t>::max() - sum);
        }
    }
    return result;
}

std::set<std::uint32_t> capacity_notifier::demandedPriorities() const
{
    std::set<std::uint32_t> result;
    for (const auto &[name, session] : m_sessions) {
        for (const auto &[priority, milliCores] : session.demandByPriority) {
            result.insert(priority);
        }
    }
    return result;
}

double capacity_notifier::minimumWeightedTurns(std::uint32_t priority) const
{
    double minimum = std::numeric_limits<double>::infinity();
    for (const auto &[name, session] : m_sessions) {
        const auto turns = session.weightedTurns.find(priority);
        if (session.demandByPriority.contains(priority) && turns != session.weightedTurns.end()) {
            minimum = std::min(minimum, turns->second);
        }
    }
    return minimum == std::numeric_limits<double>::infinity() ? 0 : minimum;
}

}
