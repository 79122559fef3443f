#ifndef AZUREMOOR_FLEET_RECORD_PUBLISHER_H
#define AZUREMOOR_FLEET_RECORD_PUBLISHER_H

#include <map>
#include <string>

#include "fleet/fleet_record.h"
#include "fleet/fleet_state.h"

namespace azuremoor
{

/// Carries records to the log. The daemon wires it to HTTP, tests to a fake log.
class log_outbox
{
public:
    virtual ~log_outbox() = default;

    /// Appends the record. The outcome is reported by record_publisher::handleAppendResult, if it ever becomes known.
    virtual void append(const std::string &recordId, const std::string &body) = 0;
};

/**
 * Brings records onto the log, each exactly once, through outages and lost acknowledgements.
 *
 * A record counts as published only when it was read back. A writer that does not know whether its record reached the log waits
 * for a complete read of the log that began after the doubt arose, and appends again only if the record was not there.
 */
class record_publisher
{
public:
    /// Takes the clock, the agreed state in which own records show up, and the way to the log.
    record_publisher(const time_source &time, const fleet_state &fleet, log_outbox &log);

    /// Takes a record to publish.
    void publish(const fleet_record &record);

    /// Notes what became of an append: acknowledged, or failed in a way that leaves it in doubt.
    void handleAppendResult(const std::string &recordId, bool acknowledged);

    /// Notes a complete read of the log that began at the given moment and has been applied.
    void handleLogRead(steady_time readStart);

    /// Gives up records that were read back, and sends what is due.
    void tick();

    /// Returns whether the record is still on its way.
    bool isPending(const std::string &recordId) const;

    /// Returns the number of records on their way.
    std::size_t pendingCount() const;

    /// Returns the number of appends that were sent.
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
        append_stage state = append_stage::unsent;
        /// When the present stage ends by itself.
        steady_time deadline;
        steady_time inDoubtSince;
    };

    void send(const std::string &recordId, pending_record &record);
    void markInDoubt(pending_record &record);

    const time_source &m_time;
    const fleet_state &m_fleet;
    log_outbox &m_log;
    std::map<std::string, pending_record> m_pending;
    std::uint64_t m_appends = 0;
};

}

#endif
