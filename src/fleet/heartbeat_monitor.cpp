#include "fleet/heartbeat_monitor.h"

#include <algorithm>

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Minimum time between two control_fetch requests, so that the same update is not fetched from several entries.
constexpr milliseconds FETCH_INTERVAL{100};

/// Number of preferred entries, which an agent pings at the full rate.
constexpr std::size_t PREFERRED_ENTRY_COUNT = 2;

}

heartbeat_monitor::heartbeat_monitor(const time_source &time,
                                     std::string self,
                                     member_role role,
                                     heartbeat_settings settings,
                                     control_stream_replica &stream,
                                     freshness_tracker &freshness,
                                     peer_outbox &outbox)
    : m_time(time)
    , m_self(std::move(self))
    , m_role(role)
    , m_settings(settings)
    , m_stream(stream)
    , m_freshness(freshness)
    , m_outbox(outbox)
{
}

void heartbeat_monitor::connectEntry(const std::string &entry)
{
    m_connectedEntries.insert(entry);
}

void heartbeat_monitor::disconnectEntry(const std::string &entry)
{
    m_connectedEntries.erase(entry);
}

void heartbeat_monitor::handle(const std::string &peer, const message &value)
{
    std::visit([this, &peer](const auto &body) { handleMessage(peer, body); }, value);
}

void heartbeat_monitor::handleLogRead(steady_time readStart)
{
    m_latestLogReadStart = std::max(m_latestLogReadStart, readStart);
    m_freshness.handleLogRead(readStart);
}

void heartbeat_monitor::beginLeaving()
{
    m_leaving = true;
}

void heartbeat_monitor::tick()
{
    if (m_time.steadyNow() < m_nextPing) {
        return;
    }
    m_nextPing = m_time.steadyNow() + m_settings.interval;
    refreshMembers();
    for (const std::string &name : selectPingTargets()) {
        m_outbox.send(name, ping{m_time.steadyNow().time_since_epoch().count(), m_stream.state().offset()});
    }
}

std::vector<std::string> heartbeat_monitor::liveEntries() const
{
    std::vector<std::string> live;
    for (const auto &[name, status] : m_entries) {
        if (isReachable(name) && !status.leaving) {
            live.push_back(name);
        }
    }
    if (isEntry() && !m_leaving) {
        live.insert(std::lower_bound(live.begin(), live.end(), m_self), m_self);
    }
    return live;
}

bool heartbeat_monitor::isReachable(const std::string &entry) const
{
    const auto found = m_entries.find(entry);
    return found != m_entries.end() && found->second.lastAnsweredPing != steady_time::min()
        && found->second.lastAnsweredPing + m_settings.suspicionTimeout > m_time.steadyNow();
}

bool heartbeat_monitor::isConfirmedDead(const std::string &entry) const
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end() || isReachable(entry)) {
        return false;
    }
    if (found->second.firstSeen + m_settings.suspicionTimeout > m_time.steadyNow()) {
        return false;
    }
    return std::none_of(m_entries.begin(), m_entries.end(), [this, &entry](const auto &other) {
        const std::vector<std::string> &suspects = other.second.suspects;
        return other.first != entry && isReachable(other.first) && std::find(suspects.begin(), suspects.end(), entry) == suspects.end();
    });
}

bool heartbeat_monitor::hasRecentLogRead() const
{
    return m_latestLogReadStart != steady_time::min() && m_latestLogReadStart + m_settings.suspicionTimeout > m_time.steadyNow();
}

std::size_t heartbeat_monitor::countEntriesAtOffset(std::uint64_t offset) const
{
    const auto reached
        = std::count_if(m_entries.begin(), m_entries.end(), [offset](const auto &entry) { return entry.second.offset >= offset; });
    const bool selfReached = isEntry() && m_stream.state().offset() >= offset;
    return static_cast<std::size_t>(reached) + (selfReached ? 1 : 0);
}

const std::map<std::string, member_report> &heartbeat_monitor::memberReports() const
{
    return m_memberReports;
}

void heartbeat_monitor::handleMessage(const std::string &peer, const ping &value)
{
    m_memberReports[peer] = {value.controlOffset, m_time.steadyNow()};
    // An entry that is not fresh may lack records that were acted on, so its answer must not count as a confirmation.
    if (!isEntry() || !m_freshness.isFresh()) {
        return;
    }
    pong answer;
    answer.echoedMicroseconds = value.sentMicroseconds;
    answer.controlOffset = m_stream.state().offset();
    answer.leaving = m_leaving;
    if (m_latestLogReadStart != steady_time::min()) {
        answer.logAgeMicroseconds = (m_time.steadyNow() - m_latestLogReadStart).count();
    }
    for (const auto &[name, status] : m_entries) {
        if (!isReachable(name)) {
            answer.suspects.push_back(name);
        }
    }
    m_outbox.send(peer, std::move(answer));
}

void heartbeat_monitor::handleMessage(const std::string &peer, const pong &value)
{
    refreshMembers();
    const auto found = m_entries.find(peer);
    if (found == m_entries.end()) {
        fetchIfBehind(peer, value.controlOffset);
        return;
    }
    const steady_time sent{microseconds(value.echoedMicroseconds)};
    if (sent > m_time.steadyNow() || sent < found->second.lastAnsweredPing) {
        return;
    }
    found->second.lastAnsweredPing = sent;
    found->second.offset = std::max(found->second.offset, value.controlOffset);
    found->second.suspects = value.suspects;
    found->second.leaving = value.leaving;
    m_freshness.handlePong(peer, value);
    fetchIfBehind(peer, value.controlOffset);
}

void heartbeat_monitor::handleMessage(const std::string &peer, const control_fetch &value)
{
    if (value.fromOffset <= m_stream.state().offset()) {
        m_outbox.send(peer, m_stream.makeUpdate(value.fromOffset));
    }
}

void heartbeat_monitor::handleMessage(const std::string &, const control_records &value)
{
    std::vector<log_record> records;
    for (const control_record &record : value.records) {
        records.push_back({record.offset, record.body});
    }
    m_stream.apply(value.afterOffset, records);
}

void heartbeat_monitor::handleMessage(const std::string &, const control_state &value)
{
    m_stream.restoreIfNewer(value.state);
}

void heartbeat_monitor::fetchIfBehind(const std::string &peer, std::uint64_t offset)
{
    if (offset <= m_stream.state().offset() || m_time.steadyNow() < m_nextFetch) {
        return;
    }
    m_nextFetch = m_time.steadyNow() + FETCH_INTERVAL;
    m_outbox.send(peer, control_fetch{m_stream.state().offset() + 1});
}

void heartbeat_monitor::refreshMembers()
{
    const std::vector<std::string> names = m_stream.state().memberNames(member_role::entry);
    std::erase_if(m_memberReports, [this](const auto &report) { return m_stream.state().member(report.first) == nullptr; });
    std::erase_if(m_entries, [&names](const auto &entry) { return std::find(names.begin(), names.end(), entry.first) == names.end(); });
    for (const std::string &name : names) {
        if (name != m_self) {
            m_entries.try_emplace(name, entry_status{m_time.steadyNow(), steady_time::min(), 0, {}, false});
        }
    }
}

std::set<std::string> heartbeat_monitor::selectPingTargets()
{
    const bool hasRecentLogConfirmation = m_freshness.latestLogConfirmation() + m_settings.suspicionTimeout / 2 > m_time.steadyNow();
    if (!isEntry() && hasRecentLogConfirmation && m_time.steadyNow() < m_nextSlowPing) {
        const std::vector<std::string> preferred = preferredEntries();
        return {preferred.begin(), preferred.end()};
    }
    m_nextSlowPing = m_time.steadyNow() + m_settings.slowInterval;
    std::set<std::string> targets = m_connectedEntries;
    for (const auto &[name, status] : m_entries) {
        targets.insert(name);
    }
    return targets;
}

std::vector<std::string> heartbeat_monitor::preferredEntries() const
{
    std::vector<std::string> names(m_connectedEntries.begin(), m_connectedEntries.end());
    const std::size_t wanted = std::min(names.size(), PREFERRED_ENTRY_COUNT);
    std::partial_sort(
        names.begin(), names.begin() + static_cast<std::ptrdiff_t>(wanted), names.end(), [this](const auto &left, const auto &right) {
            return stableHash(m_self + '@' + left) < stableHash(m_self + '@' + right);
        });
    names.resize(wanted);
    return names;
}

bool heartbeat_monitor::isEntry() const
{
    return m_role == member_role::entry;
}

}
