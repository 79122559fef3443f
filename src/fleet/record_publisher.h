#ifndef AZUREMOOR_FLEET_RECORD_PUBLISHER_H
#define AZUREMOOR_FLEET_RECORD_PUBLISHER_H

#include <map>
#include <string>

#include "fleet/fleet_record.h"
#include "fleet/fleet_state.h"

namespace azuremoor
{

/// Interface for appending records to the control stream on the log. The daemon implements it over HTTP, tests with a fake log.
class log_outbox
{
public:
    virtual ~log_outbox() = default;

    /// Starts to append the record. The result is reported through record_publisher::handleAppendResult; it may never be
    /// reported.
    virtual void append(const std::string &recordId, const std::string &body) = 0;
};

/**
 * Appends records to the control stream until they are read back, despite outages of the log and lost acknowledgements.
 *
 * A record is complete only when it has been read back from the log. If the result of an append is unknown, the record is in
 * doubt: the publisher waits for a complete read of the log that started after the record became in doubt, and repeats the append
 * only if the record was not found. A record may still be on the log several times, for example if the first append arrives after
 * that read. fleet_state applies it once, as long as it remembers the identifier.
 */
class record_publisher
{
public:
    /// `state` is the local state to which records that were read back have been applied. The references must outlive this
    /// object.
    record_publisher(const time_source &time, const fleet_state &state, log_outbox &log);

    /// Starts to publish the record. Does nothing if a record with the same identifier is already pending.
    void publish(const fleet_record &record);

    /// Handles the result of an append. Without an acknowledgement the record is in doubt, since it may have been written.
    void handleAppendResult(const std::string &recordId, bool acknowledged);

    /// Handles a complete read of the log that started at `readStart` on the local steady clock and whose records have been
    /// applied. Repeats the appends of records in doubt that were not found.
    void handleLogRead(steady_time readStart);

    /// Removes records that were read back, and marks records in doubt whose deadline has passed. Called periodically.
    void tick();

    /// Returns whether the record was passed to publish() and has not been read back yet.
    bool isPending(const std::string &recordId) const;

    /// Returns the number of records that are waiting to be read back, including those read back since the last tick().
    std::size_t pendingCount() const;

    /// Returns the number of appends sent so far, repeated ones included.
    std::uint64_t appendCount() const;

private:
    enum class append_stage {
        unsent,
        sent,
        acknowledged,
        in_doubt,
    };

    struct pending_record {
        std::string body;
        append_stage stage = append_stage::unsent;
        /// When the record becomes in doubt if the append is not acknowledged, or an acknowledged record is not read back.
        steady_time deadline;
        /// When the record became in doubt. Only a log read that started after this shows whether it was written.
        steady_time inDoubtSince;
    };

    void send(const std::string &recordId, pending_record &record);
    void markInDoubt(pending_record &record);

    const time_source &m_time;
    const fleet_state &m_state;
    log_outbox &m_log;
    std::map<std::string, pending_record> m_pending;
    std::uint64_t m_appends = 0;
};

}

#endif
