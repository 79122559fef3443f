#ifndef AZUREMOOR_JOBS_TABLE_TRANSFER_H
#define AZUREMOOR_JOBS_TABLE_TRANSFER_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "fleet/peer_outbox.h"
#include "messages/messages.h"

namespace azuremoor
{

/// The state of a shard that an owner sends to the next owner.
struct shard_table {
    std::uint32_t shard = 0;
    /// Epoch under which the sender owns the shard.
    std::uint64_t epoch = 0;
    std::optional<unix_time> evidenceLostBefore;
    std::vector<transferred_job> jobs;
    std::vector<ledger_entry> evidence;
};

/**
 * Transfers the tables of shards between owners at planned handovers. Splits each table into messages of limited size and reassembles
 * it.
 *
 * Ownership is decided elsewhere: the sender stops serving the shard before the transfer, and the receiver serves it only when the log
 * names it as owner.
 */
class table_transfer
{
public:
    table_transfer(const time_source &time, peer_outbox &outbox);

    /// Sends the table to the target entry and starts waiting for its confirmation.
    void send(shard_table table, const std::string &target);

    /// Handles one part of a table. Sends a confirmation to the sender when the table is complete.
    void handle(const std::string &peer, const table_handover &part);

    /// Handles a confirmation. Returns the target, which is the peer, at the first confirmation of the outgoing table, else nothing.
    std::optional<std::string> handle(const std::string &peer, const handover_received &confirmation);

    /// Returns the epoch of the complete table received for the shard, or 0 if there is none.
    std::uint64_t completeEpoch(std::uint32_t shard) const;

    /// Removes and returns the complete table received for the shard under the epoch, if there is one.
    std::optional<shard_table> take(std::uint32_t shard, std::uint64_t epoch);

    /// Returns whether a table of the shard was sent and has neither expired nor been forgotten.
    bool isOutgoing(std::uint32_t shard) const;

    /// Removes the outgoing tables that were not confirmed in time and returns their shards.
    std::vector<std::uint32_t> takeExpired();

    /// Removes the outgoing table of the shard, if there is one. Received tables are kept.
    void forget(std::uint32_t shard);

    std::size_t outgoingCount() const;

private:
    struct outgoing_table {
        std::string target;
        std::uint64_t epoch = 0;
        std::uint64_t transferId = 0;
        bool confirmed = false;
        steady_time confirmationDeadline;
    };

    struct incoming_table {
        std::string sender;
        std::uint64_t transferId = 0;
        std::uint32_t nextPartIndex = 0;
        bool complete = false;
        shard_table table;
    };

    const time_source &m_time;
    peer_outbox &m_outbox;
    std::uint64_t m_nextTransferId = 1;
    std::map<std::uint32_t, outgoing_table> m_outgoing;
    std::map<std::uint32_t, incoming_table> m_incoming;
};

}

#endif
