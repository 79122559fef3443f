#ifndef AZUREMOOR_FLEET_CONTROL_STREAM_REPLICA_H
#define AZUREMOOR_FLEET_CONTROL_STREAM_REPLICA_H

#include <deque>

#include "fleet/fleet_state.h"
#include "fleet/freshness_tracker.h"

namespace azuremoor
{

/**
 * Local replica of the control stream: the state produced by all applied records, and the latest records for peers that are
 * behind.
 *
 * All records pass through this class, whether they were read from the log or received from a peer, so that the freshness
 * tracker always has the current offset and the current list of entries.
 */
class control_stream_replica
{
public:
    /// `freshness` is updated after every change and must outlive this object. `entryName` is the name of this process if it is
    /// an entry, and empty if it is an agent.
    control_stream_replica(freshness_tracker &freshness, std::string entryName);

    /// Applies consecutive records that follow `afterOffset` without a gap. Ignores the whole call if `afterOffset` is greater
    /// than the current offset, because the records in between would be missing. Skips records that were already applied.
    void apply(std::uint64_t afterOffset, std::span<const log_record> records);

    /// Replaces the state by an encoded state of a higher offset. Returns false, and changes nothing, if the text is invalid or
    /// not newer. Otherwise, also drops the retained records.
    bool restoreIfNewer(std::string_view encodedState);

    const fleet_state &state() const;

    /// Returns the message that brings a peer up to date that still needs the records from `fromOffset` on: the retained
    /// records, or the whole state if some of these records are no longer retained.
    message makeUpdate(std::uint64_t fromOffset) const;

    /// Returns the number of applied records that could not be decoded or had invalid content.
    std::uint64_t invalidRecordCount() const;

private:
    /// Maximum number of records that are kept for peers. The oldest records are dropped first.
    static constexpr std::size_t MAX_RETAINED_RECORDS = 512;
    /// Maximum total size of the records that are kept for peers. The oldest records are dropped first.
    static constexpr std::size_t MAX_RETAINED_BYTES = 4 * 1024 * 1024;

    void updateFreshness();
    void retain(const log_record &record);

    freshness_tracker &m_freshness;
    std::string m_entryName;
    fleet_state m_state;
    std::deque<log_record> m_retainedRecords;
    std::size_t m_retainedBytes = 0;
    /// Offset before the first retained record. The retained records follow it without a gap.
    std::uint64_t m_retainedAfter = 0;
    std::uint64_t m_invalidRecordCount = 0;
};

}

#endif
