#include "fleet/ownership_manager.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time for which the set of live entries must be unchanged before shards are claimed or handed over.
constexpr milliseconds LIVE_ENTRIES_STABLE_TIME{300};

std::uint64_t rendezvousWeight(std::uint32_t shard, const std::string &entry)
{
    return stableHash(std::to_string(shard) + '@' + entry);
}

}

ownership_manager::ownership_manager(const time_source &time,
                                     std::string self,
                                     std::uint64_t incarnation,
                                     const control_stream_replica &stream,
                                     const freshness_tracker &freshness,
                                     const heartbeat_monitor &heartbeats,
                                     record_publisher &publisher,
                                     std::mt19937_64 &random)
    : m_time(time)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_stream(stream)
    , m_freshness(freshness)
    , m_heartbeats(heartbeats)
    , m_publisher(publisher)
    , m_random(random)
{
}

void ownership_manager::tick()
{
    updateLiveEntries();
    if (m_time.steadyNow() < m_liveEntriesSince + LIVE_ENTRIES_STABLE_TIME || m_publisher.isPending(m_latestClaimId)) {
        return;
    }
    if (!m_freshness.isFresh() || !isKnownToQuorum()) {
        return;
    }
    ownership_claim claim{m_self, m_incarnation, {}, false, m_time.unixNow()};
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        if (preferredOwner(shard) == m_self && isClaimable(shard)) {
            claim.shards.push_back({shard, m_stream.state().ownership(shard).epoch});
        }
    }
    if (!claim.shards.empty()) {
        m_latestClaimId = publishClaim(std::move(claim));
    }
}

void ownership_manager::publishHandover(std::uint32_t shard, std::uint64_t epoch, const std::string &target)
{
    const fleet_member *member = m_stream.state().member(target);
    if (member == nullptr) {
        return;
    }
    publishClaim({target, member->incarnation, {{shard, epoch}}, true, m_time.unixNow()});
}

std::vector<planned_handover> ownership_manager::plannedHandovers() const
{
    std::vector<planned_handover> handovers;
    if (m_time.steadyNow() < m_liveEntriesSince + LIVE_ENTRIES_STABLE_TIME) {
        return handovers;
    }
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        const auto target = preferredOwner(shard);
        if (owns(shard) && target && *target != m_self) {
            handovers.push_back({shard, *target});
        }
    }
    return handovers;
}

bool ownership_manager::owns(std::uint32_t shard) const
{
    const shard_ownership &ownership = m_stream.state().ownership(shard);
    return ownership.owner == m_self && ownership.incarnation == m_incarnation;
}

std::optional<std::string> ownership_manager::preferredOwner(std::uint32_t shard) const
{
    return m_liveEntries.empty() ? std::nullopt : std::optional(m_liveEntries[m_preferredOwners.at(shard)]);
}

void ownership_manager::updateLiveEntries()
{
    std::vector<std::string> live = m_heartbeats.liveEntries();
    if (live == m_liveEntries) {
        return;
    }
    m_liveEntries = std::move(live);
    m_liveEntriesSince = m_time.steadyNow();
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        const auto best
            = std::max_element(m_liveEntries.begin(), m_liveEntries.end(), [shard](const std::string &left, const std::string &right) {
                  return rendezvousWeight(shard, left) < rendezvousWeight(shard, right);
              });
        m_preferredOwners[shard] = static_cast<std::size_t>(best - m_liveEntries.begin());
    }
}

bool ownership_manager::isClaimable(std::uint32_t shard) const
{
    const shard_ownership &ownership = m_stream.state().ownership(shard);
    if (ownership.epoch == 0) {
        return true;
    }
    const fleet_member *owner = m_stream.state().member(ownership.owner);
    if (owner == nullptr || owner->incarnation != ownership.incarnation) {
        return true;
    }
    return ownership.owner != m_self && m_heartbeats.isConfirmedDead(ownership.owner);
}

bool ownership_manager::isKnownToQuorum() const
{
    const fleet_member *self = m_stream.state().member(m_self);
    if (self == nullptr || self->incarnation != m_incarnation) {
        return false;
    }
    const std::size_t others = m_stream.state().memberNames(member_role::entry).size() - 1;
    // A process that has not applied the join record counts fewer than two entries, so it relies on log confirmations alone and on
    // no heartbeat quorum that would have to overlap.
    if (others < 2) {
        return true;
    }
    // Entries that have not applied the join record compute quorums without this entry. Enough entries must have applied it for
    // quorums computed with and without this entry to overlap. The count includes this entry.
    return m_heartbeats.countEntriesAtOffset(m_stream.state().joinOffset(m_self)) > claimQuorum(others);
}

std::string ownership_manager::publishClaim(ownership_claim claim)
{
    fleet_record record{makeSubmissionId(m_time.unixNow(), m_random), std::move(claim)};
    m_publisher.publish(record);
    return record.id;
}

}
