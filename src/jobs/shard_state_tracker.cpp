#include "jobs/shard_state_tracker.h"

#include <algorithm>

namespace azuremoor
{

shard_state_tracker::shard_state_tracker(const time_source &time,
                                         shard_recovery_settings settings,
                                         const control_stream_replica &stream,
                                         const heartbeat_monitor &heartbeats,
                                         const ownership_manager &keeper)
    : m_time(time)
    , m_settings(settings)
    , m_stream(stream)
    , m_heartbeats(heartbeats)
    , m_keeper(keeper)
{
}

std::vector<std::uint32_t> shard_state_tracker::tick()
{
    std::vector<std::uint32_t> changed;
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (updateShard(shard, m_shards[shard])) {
            changed.push_back(shard);
        }
    }
    return changed;
}

shard_state shard_state_tracker::state(std::uint32_t shard) const
{
    return m_shards.at(shard).state;
}

std::uint64_t shard_state_tracker::epoch(std::uint32_t shard) const
{
    return m_shards.at(shard).epoch;
}

std::vector<shard_epoch> shard_state_tracker::ownedShards() const
{
    std::vector<shard_epoch> owned;
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (m_shards[shard].state != shard_state::not_owned) {
            owned.push_back({shard, m_shards[shard].epoch});
        }
    }
    return owned;
}

void shard_state_tracker::recordLedger(std::uint32_t shard, std::uint64_t epoch, const std::string &agent, std::uint64_t incarnation)
{
    shard_view &view = m_shards.at(shard);
    if (view.state != shard_state::not_owned && view.epoch == epoch) {
        view.ledgersReceivedFrom.emplace(agent, incarnation);
    }
}

bool shard_state_tracker::hasLedger(std::uint32_t shard, const std::string &agent, std::uint64_t incarnation) const
{
    return m_shards.at(shard).ledgersReceivedFrom.contains({agent, incarnation});
}

std::optional<unix_time> shard_state_tracker::evidenceLostBefore(std::uint32_t shard) const
{
    const shard_view &view = m_shards.at(shard);
    if (!view.takenOver) {
        return view.inheritedEvidenceLostBefore;
    }
    const unix_time fenced = previousOwnerStoppedBy(view);
    std::optional<unix_time> lostBefore;
    for (const lost_ledger &lost : m_stream.state().lostLedgers()) {
        lostBefore = std::max(lostBefore.value_or(unix_time::min()), std::min(lost.lostAt, fenced) + m_settings.clockSkew);
    }
    if (view.expectedAgents.empty() || !hasAllLedgers(view)) {
        lostBefore = std::max(lostBefore.value_or(unix_time::min()), fenced + m_settings.clockSkew);
    }
    return lostBefore;
}

void shard_state_tracker::beginHandover(std::uint32_t shard)
{
    m_shards.at(shard).state = shard_state::handing_over;
}

void shard_state_tracker::cancelHandover(std::uint32_t shard)
{
    if (m_shards.at(shard).state == shard_state::handing_over) {
        m_shards.at(shard).state = shard_state::serving;
    }
}

void shard_state_tracker::inheritEvidenceLostBefore(std::uint32_t shard, std::optional<unix_time> lostBefore)
{
    m_shards.at(shard).inheritedEvidenceLostBefore = lostBefore;
}

void shard_state_tracker::recordTable(std::uint32_t shard, std::uint64_t previousEpoch)
{
    m_shards.at(shard).tableEpoch = previousEpoch;
}

bool shard_state_tracker::updateShard(std::uint32_t shard, shard_view &view)
{
    const shard_ownership &ownership = m_stream.state().ownership(shard);
    if (!m_keeper.owns(shard)) {
        const bool lost = view.state != shard_state::not_owned;
        const std::uint64_t tableEpoch = view.tableEpoch;
        const std::optional<unix_time> inheritedEvidenceLostBefore = view.inheritedEvidenceLostBefore;
        if (lost) {
            view = shard_view{};
        } else {
            // These fields are kept, because a table may arrive before the log record that makes this entry the owner.
            view.tableEpoch = tableEpoch;
            view.inheritedEvidenceLostBefore = inheritedEvidenceLostBefore;
        }
        return lost;
    }
    if (view.state == shard_state::not_owned || view.epoch != ownership.epoch) {
        startOwnership(shard, view);
        return true;
    }
    if (view.state == shard_state::recovering && updateRecovery(view)) {
        view.state = shard_state::serving;
        return true;
    }
    return false;
}

void shard_state_tracker::startOwnership(std::uint32_t shard, shard_view &view)
{
    const shard_ownership &ownership = m_stream.state().ownership(shard);
    const bool tableAtHand = ownership.handedOver && view.tableEpoch == ownership.previousEpoch;
    const std::optional<unix_time> inheritedEvidenceLostBefore = tableAtHand ? view.inheritedEvidenceLostBefore : std::nullopt;
    view = shard_view{};
    view.epoch = ownership.epoch;
    view.inheritedEvidenceLostBefore = inheritedEvidenceLostBefore;
    view.takenOver = ownership.previousEpoch != 0 && !tableAtHand;
    view.state = view.takenOver ? shard_state::recovering : shard_state::serving;
    for (const std::string &agent : m_stream.state().memberNames(member_role::agent)) {
        view.expectedAgents[agent] = m_stream.state().member(agent)->incarnation;
    }
}

bool shard_state_tracker::updateRecovery(shard_view &view) const
{
    const std::size_t entries = m_stream.state().memberNames(member_role::entry).size();
    if (!view.quorumReachedSteady) {
        // The epoch is the log offset of the record that makes this entry the owner.
        if (m_heartbeats.countEntriesAtOffset(view.epoch) < claimQuorum(entries)) {
            return false;
        }
        view.quorumReachedSteady = m_time.steadyNow();
        view.quorumReachedUnix = m_time.unixNow();
    }
    return hasAllLedgers(view) || m_time.steadyNow() >= *view.quorumReachedSteady + m_settings.ledgerTimeout;
}

unix_time shard_state_tracker::previousOwnerStoppedBy(const shard_view &view) const
{
    if (!view.quorumReachedSteady) {
        return m_time.unixNow();
    }
    return view.quorumReachedUnix + (m_settings.rules.coverIsolation ? m_settings.isolationBound : microseconds(0));
}

bool shard_state_tracker::hasAllLedgers(const shard_view &view) const
{
    return std::all_of(view.expectedAgents.begin(), view.expectedAgents.end(), [&view](const auto &agent) {
        return view.ledgersReceivedFrom.contains({agent.first, agent.second});
    });
}

}
