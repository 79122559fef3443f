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

/// All that an owner knows of a shard.
struct shard_table {
    std::uint32_t shard = 0;
    /// Epoch under which the sender owned the shard.
    std::uint64_t epoch = 0;
    std::optional<unix_time> evidenceLostBefore;
    std::vector<transferred_job> jobs;
    std::vector<ledger_entry> evidence;
};

/**
 * Carries the tables of shards between owners at planned moves: cuts them into bounded messages and puts them together again.
 *
 * It decides nothing about ownership. The sender stops serving the shard before, the receiver serves it only once the log says so.
 */
class table_transfer
{
public:
    table_transfer(const time_source &time, peer_outbox &outbox);

    /// Sends the table to the target and remembers that a confirmation is awaited.
    void send(shard_table table, const std::string &target);

    /// Takes part of a table, and confirms to the sender once the table is whole.
    void handle(const std::string &peer, const table_handover &part);

    /// Takes a confirmation. Returns the target of the confirmed table, once.
    std::optional<std::string> handle(const std::string &peer, const handover_received &confirmation);

    /// Returns the epoch of the table that was received whole for the shard, or 0 when there is none.
    std::uint64_t wholeEpoch(std::uint32_t shard) const;

    /// Returns the table that was received whole for the shard under the epoch, and forgets it.
    std::optional<shard_table> take(std::uint32_t shard, std::uint64_t epoch);

    /// Returns whether a table of the shard under this entry's own epoch is out and not given up.
    bool isOut(std::uint32_t shard) const;

    /// Returns the shards whose tables were not confirmed in time, and gives them up.
    std::vector<std::uint32_t> takeExpired();

    /// Forgets an outgoing table.
    void forget(std::uint32_t shard);

    /// Returns the number of outgoing tables.
    std::size_t outgoing() const;

private:
    struct outgoing_table {
        std::string target;
        std::uint64_t epoch = 0;
        std::uint64_t transferId = 0;
        bool confirmed = false;
        steady_time deadline;
    };

    struct incoming_table {
        std::string sender;
        std::uint64_t transferId = 0;
        std::uint32_t nextSequence = 0;
        bool whole = false;
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
