#ifndef AZUREMOOR_DISPATCH_ROUTING_REPLICA_H
#define AZUREMOOR_DISPATCH_ROUTING_REPLICA_H

#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/decision_journal.h"
#include "dispatch/route_table.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Parses routing configuration documents. Each platform that the fleet runs on has its own document format.
class routing_reader
{
public:
    virtual ~routing_reader() = default;

    /// Returns the routing configuration, or nothing when the document is malformed.
    virtual std::optional<routing> read(std::string_view document) const = 0;
};

/**
 * An entry's copy of the routing configuration document, which comes from the platform's store or from another entry.
 *
 * Heartbeats of entries carry the version in force. An entry that hears of a newer version gives the store time to deliver it. After that
 * it fetches the document from one entry, piece by piece, and requests a piece only once it has the one before. So a process receives
 * the document once whatever the number of entries, and no more than one piece waits in a connection ahead of heartbeats and orders.
 */
class routing_replica
{
public:
    /// The seed is that of the random part of the delay before a fetch, which keeps entries from all choosing the same source.
    routing_replica(const time_source &time,
                    route_table &routes,
                    const routing_reader &reader,
                    peer_outbox &outbox,
                    decision_journal &journal,
                    std::uint64_t seed);

    /// Puts the document in force if its version is newer than the current one. A malformed document is recorded in the journal and
    /// otherwise ignored. The source, for the journal, is the peer's name, or `store` for the platform's store.
    void applyDocument(const std::string &document, const std::string &source);

    /// Records the version that a connected entry has in force, and begins to fetch it once the store has had time to deliver it.
    void recordPeerVersion(const std::string &entry, std::uint64_t version);

    /// Ends a fetch from the entry, whose connection is lost.
    void disconnectEntry(const std::string &entry);

    /// Answers an entry's request with a piece of the document in force. Requests for a newer version are ignored.
    void handleRequest(const std::string &entry, const routing_request &request);

    /// Adds a piece to the document that is being fetched, then requests the next one or puts the document in force. Pieces that were not
    /// requested are ignored.
    void handlePiece(const std::string &entry, const routing_piece &piece);

    /// Returns the version in force, or 0 before the first configuration.
    std::uint64_t version() const;

private:
    /// The transfer of a document from another entry.
    struct fetch {
        std::string entry;
        std::uint64_t version = 0;
        std::string received;
        /// When another entry may be asked, because this one has sent nothing.
        steady_time expiresAt;
    };

    void requestNextPiece();

    const time_source &m_time;
    route_table &m_routes;
    const routing_reader &m_reader;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    std::mt19937_64 m_random;
    /// Document of the routing configuration in force.
    std::string m_document;
    /// When a newer version than the one in force may be fetched from an entry; nothing as long as none is known.
    std::optional<steady_time> m_fetchAt;
    std::optional<fetch> m_fetch;
};

}

#endif
