#ifndef AZUREMOOR_FLEET_OWNERSHIP_MANAGER_H
#define AZUREMOOR_FLEET_OWNERSHIP_MANAGER_H

#include <array>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/submission_id.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/record_publisher.h"

namespace azuremoor
{

/// A shard of this entry that should be handed over to `target`, another entry.
struct planned_handover {
    std::uint32_t shard = 0;
    std::string target;
};

/**
 * Decides, on an entry, which shards to claim and which to hand over.
 *
 * Every entry ranks the live entries for each shard by rendezvous hashing. Entries that know the same live entries therefore
 * agree on the preferred owner without communicating. The preferred owner claims a shard that has no owner, or whose owner is
 * dead or has restarted with a new incarnation. If several entries claim the same shard, the first claim on the log wins. An
 * entry that owns a shard for which another entry is preferred offers to hand it over.
 */
class ownership_manager
{
public:
    /// `self` and `incarnation` identify this entry. The references must outlive this object.
    ownership_manager(const time_source &time,
                      std::string self,
                      std::uint64_t incarnation,
                      const control_stream_replica &stream,
                      const freshness_tracker &freshness,
                      const heartbeat_monitor &heartbeats,
                      record_publisher &publisher,
                      std::mt19937_64 &random);

    /// Claims shards when the set of live entries is stable, no earlier claim is pending, this process is fresh and enough entries
    /// know it. Called periodically.
    void tick();

    /// Publishes that the shard belongs to `target`. Must be called only after `target` has confirmed the receipt of the job table.
    /// `epoch` is the epoch that is given up. Does nothing if `target` is not a member.
    void publishHandover(std::uint32_t shard, std::uint64_t epoch, const std::string &target);

    /// Returns the shards of this entry for which another live entry is preferred; none while the set of live entries is not
    /// stable.
    std::vector<planned_handover> plannedHandovers() const;

    /// Returns whether this process owns the shard. A shard owned by an earlier incarnation of this entry does not count.
    bool owns(std::uint32_t shard) const;

    /// Returns the live entry that ranks first for the shard, or nothing if no entry is live.
    std::optional<std::string> preferredOwner(std::uint32_t shard) const;

private:
    void updateLiveEntries();
    /// Returns whether the shard has no owner, or its owner has restarted, left or is confirmed dead.
    bool isClaimable(std::uint32_t shard) const;
    /// Returns whether this incarnation is a member and enough other entries have applied its join record for it to take part in
    /// quorums. With fewer than two other entries, being a member is enough.
    bool isKnownToQuorum() const;
    /// Publishes the claim and returns the identifier of its record.
    std::string publishClaim(ownership_claim claim);

    const time_source &m_time;
    std::string m_self;
    std::uint64_t m_incarnation;
    const control_stream_replica &m_stream;
    const freshness_tracker &m_freshness;
    const heartbeat_monitor &m_heartbeats;
    record_publisher &m_publisher;
    std::mt19937_64 &m_random;
    /// Identifier of the latest claim record; empty if there is none.
    std::string m_latestClaimId;
    /// Live entries as of the last tick, sorted.
    std::vector<std::string> m_liveEntries;
    /// When m_liveEntries last changed.
    steady_time m_liveEntriesSince;
    /// Index in m_liveEntries of the preferred owner of each shard.
    std::array<std::size_t, SHARD_COUNT> m_preferredOwners{};
};

}

#endif
