#ifndef AZUREMOOR_FLEET_CONTROL_STREAM_REPLICA_H
#define AZUREMOOR_FLEET_CONTROL_STREAM_REPLICA_H

#include <deque>

#include "fleet/fleet_state.h"
#include "fleet/freshness_tracker.h"

namespace azuremoor
{

/**
 * A process's copy of the control stream: the state that it adds up to, and the latest records for peers that are behind.
 *
 * Whatever the source of records, the log or a peer, they pass through here, so that the guard always knows how far the state is.
 */
class control_stream_replica
{
public:
    /// Takes the guard to keep informed, and the name of this process if it is an entry, or an empty name.
    control_stream_replica(freshness_tracker &freshness, std::string entryName);

    /// Applies records that are all that follow the given offset. Does nothing when that offset is not yet reached: records in
    /// between would be missing. Records that were applied before are passed over.
    void apply(std::uint64_t afterOffset, std::span<const log_record> records);

    /// Replaces the state by an encoded one if that is newer. Returns whether it was.
    bool restoreIfNewer(std::string_view encodedState);

    /// Returns the agreed state.
    const fleet_state &state() const;

    /// Returns what brings a process that has applied everything below the offset up to date.
    message makeUpdate(std::uint64_t fromOffset) const;

    /// Returns the number of records that could not be read, or did not make sense.
    std::uint64_t invalidRecords() const;

private:
    static constexpr std::size_t MAX_RETAINED_RECORDS = 512;
    static constexpr std::size_t MAX_RETAINED_BYTES = 4 * 1024 * 1024;

    void updateFreshness();
    void retain(const log_record &record);

    freshness_tracker &m_freshness;
    std::string m_entryName;
    fleet_state m_state;
    std::deque<log_record> m_retainedRecords;
    std::size_t m_retainedBytes = 0;
    /// The kept records follow this offset without a gap.
    std::uint64_t m_retainedAfter = 0;
    std::uint64_t m_invalidRecords = 0;
};

}

#endif
