#include "jobs/shard_custody.h"

#include <algorithm>

namespace azuremoor
{

shard_custody::shard_custody(const time_source &time,
                             custody_settings settings,
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

std::vector<std::uint32_t> shard_custody::tick()
{
    std::vector<std::uint32_t> changed;
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (updateShard(shard, m_shards[shard])) {
            changed.push_back(shard);
        }
    }
    return changed;
}

custody_state shard_custody::state(std::uint32_t shard) const
{
    return m_shards.at(shard).state;
}

std::uint64_t shard_custody::epoch(std::uint32_t shard) const
{
    return m_shards.at(shard).epoch;
}

std::vector<shard_epoch> shard_custody::ownedShards() const
{
    std::vector<shard_epoch> owned;
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (m_shards[shard].state != custody_state::not_owned) {
            owned.push_back({shard, m_shards[shard].epoch});
        }
    }
    return owned;
}

void shard_custody::noteLedger(std::uint32_t shard, std::uint64_t epoch, const std::string &agent, std::uint64_t incarnation)
{
    shard_view &view = m_shards.at(shard);
    if (view.state != custody_state::not_owned && view.epoch == epoch) {
        view.answered.emplace(agent, incarnation);
    }
}

bool shard_custody::hasLedger(std::uint32_t shard, const std::string &agent, std::uint64_t incarnation) const
{
    return m_shards.at(shard).answered.contains({agent, incarnation});
}

std::optional<unix_time> shard_custody::evidenceLostBefore(std::uint32_t shard) const
{
    const shard_view &view = m_shards.at(shard);
    if (!view.takenOver) {
        return view.inherited;
    }
    const unix_time fenced = fencedFrom(view);
    std::optional<unix_time> horizon;
    for (const lost_ledger &lost : m_stream.state().lostLedgers()) {
        horizon = std::max(horizon.value_or(unix_time::min()), std::min(lost.lostAt, fenced) + m_settings.clockSkew);
    }
    if (view.expected.empty() || !allAnswered(view)) {
        horizon = std::max(horizon.value_or(unix_time::min()), fenced + m_settings.clockSkew);
    }
    return horizon;
}

void shard_custody::beginHandover(std::uint32_t shard)
{
    m_shards.at(shard).state = custody_state::handing_over;
}

void shard_custody::cancelHandover(std::uint32_t shard)
{
    if (m_shards.at(shard).state == custody_state::handing_over) {
        m_shards.at(shard).state = custody_state::serving;
    }
}

void shard_custody::inheritHorizon(std::uint32_t shard, std::optional<unix_time> horizon)
{
    m_shards.at(shard).inherited = horizon;
}

void shard_custody::noteTable(std::uint32_t shard, std::uint64_t previousEpoch)
{
    m_shards.at(shard).tableOf = previousEpoch;
}

bool shard_custody::updateShard(std::uint32_t shard, shard_view &view)
{
    const shard_ownership &ownership = m_stream.state().ownership(shard);
    if (!m_keeper.owns(shard)) {
        const bool lost = view.state != custody_state::not_owned;
        const std::uint64_t tableOf = view.tableOf;
        const std::optional<unix_time> inherited = view.inherited;
        if (lost) {
            view = shard_view{};
        } else {
            // A table may arrive before the record that makes this entry the owner.
            view.tableOf = tableOf;
            view.inherited = inherited;
        }
        return lost;
    }
    if (view.state == custody_state::not_owned || view.epoch != ownership.epoch) {
        enter(shard, view);
        return true;
    }
    if (view.state == custody_state::recovering && isRecovered(view)) {
        view.state = custody_state::serving;
        return true;
    }
    return false;
}

void shard_custody::enter(std::uint32_t shard, shard_view &view)
{
    const shard_ownership &ownership = m_stream.state().ownership(shard);
    const bool tableAtHand = ownership.handedOver && view.tableOf == ownership.previousEpoch;
    const std::optional<unix_time> inherited = tableAtHand ? view.inherited : std::nullopt;
    view = shard_view{};
    view.epoch = ownership.epoch;
    view.inherited = inherited;
    view.takenOver = ownership.previousEpoch != 0 && !tableAtHand;
    view.state = view.takenOver ? custody_state::recovering : custody_state::serving;
    for (const std::string &agent : m_stream.state().memberNames(member_role::agent)) {
        view.expected[agent] = m_stream.state().member(agent)->incarnation;
    }
}

bool shard_custody::isRecovered(shard_view &view) const
{
    const std::size_t entries = m_stream.state().memberNames(member_role::entry).size();
    if (!view.acknowledgedAt) {
        if (m_heartbeats.countEntriesAtOffset(view.epoch) < claimQuorum(entries)) {
            return false;
        }
        view.acknowledgedAt = m_time.steadyNow();
        view.acknowledgedUnix = m_time.unixNow();
    }
    return allAnswered(view) || m_time.steadyNow() >= *view.acknowledgedAt + m_settings.answerGrace;
}

unix_time shard_custody::fencedFrom(const shard_view &view) const
{
    if (!view.acknowledgedAt) {
        return m_time.unixNow();
    }
    return view.acknowledgedUnix + (m_settings.rules.coverIsolation ? m_settings.isolationBound : microseconds(0));
}

bool shard_custody::allAnswered(const shard_view &view) const
{
    return std::all_of(view.expected.begin(), view.expected.end(), [&view](const auto &agent) {
        return view.answered.contains({agent.first, agent.second});
    });
}

}
