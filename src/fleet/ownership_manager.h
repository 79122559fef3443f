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

/// A shard that should move from this entry to another one.
struct planned_move {
    std::uint32_t shard = 0;
    std::string target;
};

/**
 * Decides, at an entry, which shards to claim and which to hand over.
 *
 * Every entry ranks the live entries for each shard by the same hash, so that without any agreement at most one of them wants a
 * shard. It claims shards that have no owner, or whose owner is dead or returned with a new incarnation; the log decides
 * between rivals. An entry that owns a shard that another one ranks first for offers to hand it over.
 */
class ownership_manager
{
public:
    /// Takes the clock, this entry's name and incarnation, and the objects that it asks and tells.
    ownership_manager(const time_source &time,
                      std::string self,
                      std::uint64_t incarnation,
                      const control_stream_replica &stream,
                      const freshness_tracker &freshness,
                      const heartbeat_monitor &heartbeats,
                      record_publisher &publisher,
                      std::mt19937_64 &random);

    /// Claims what is due.
    void tick();

    /// Publishes that the shard, whose table the target confirmed, now belongs to the target.
    void publishTransfer(std::uint32_t shard, std::uint64_t epoch, const std::string &target);

    /// Returns the shards of this entry that rank another live entry first.
    std::vector<planned_move> plannedMoves() const;

    /// Returns whether this entry owns the shard.
    bool owns(std::uint32_t shard) const;

    /// Returns the live entry that ranks first for the shard, or nothing when there is none.
    std::optional<std::string> preferredOwner(std::uint32_t shard) const;

private:
    void updateLiveEntries();
    bool isClaimable(std::uint32_t shard) const;
    bool isKnownToQuorum() const;
    std::string publishClaim(ownership_claim claim);

    const time_source &m_time;
    std::string m_self;
    std::uint64_t m_incarnation;
    const control_stream_replica &m_stream;
    const freshness_tracker &m_freshness;
    const heartbeat_monitor &m_heartbeats;
    record_publisher &m_publisher;
    std::mt19937_64 &m_random;
    std::string m_pendingClaim;
    /// Live entries as of the last tick.
    std::vector<std::string> m_liveEntries;
    steady_time m_liveEntriesSince;
    /// Position in m_liveEntries of the entry that ranks first for each shard.
    std::array<std::size_t, SHARD_COUNT> m_preferredOwners{};
};

}

#endif
