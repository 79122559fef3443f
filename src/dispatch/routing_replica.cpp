#include "dispatch/routing_replica.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Bytes of one piece. A link of 2 Mbit/s takes 33 ms for it, a third of the interval of heartbeats.
constexpr std::size_t PIECE_BYTES = 8 * 1024;

/// Shortest and longest time that the store has to deliver a version that another entry has in force.
constexpr milliseconds MIN_STORE_DELAY{250};
constexpr milliseconds MAX_STORE_DELAY{750};

/// Time without a piece after which a fetch is given up.
constexpr milliseconds PIECE_TIMEOUT{500};

}

routing_replica::routing_replica(const time_source &time,
                                 route_table &routes,
                                 const routing_reader &reader,
                                 peer_outbox &outbox,
                                 decision_journal &journal,
                                 std::uint64_t seed)
    : m_time(time)
    , m_routes(routes)
    , m_reader(reader)
    , m_outbox(outbox)
    , m_journal(journal)
    , m_random(seed)
{
}

void routing_replica::applyDocument(const std::string &document, const std::string &source)
{
    if (document == m_document) {
        return;
    }
    std::optional<routing> parsed = m_reader.read(document);
    if (!parsed) {
        m_journal.note("routing_unreadable", {{"source", source}, {"bytes", std::to_string(document.size())}});
        return;
    }
    const std::uint64_t previousVersion = m_routes.version();
    if (!m_routes.replace(std::move(*parsed))) {
        return;
    }
    m_document = document;
    m_fetchAt.reset();
    m_fetch.reset();
    m_journal.note("routing_in_force",
                   {{"version", std::to_string(m_routes.version())},
                    {"before", std::to_string(previousVersion)},
                    {"source", source},
                    {"routes", std::to_string(m_routes.size())},
                    {"bytes", std::to_string(document.size())}});
}

void routing_replica::recordPeerVersion(const std::string &entry, std::uint64_t version)
{
    if (version <= m_routes.version()) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    if (!m_fetchAt) {
        m_fetchAt
            = now + milliseconds(std::uniform_int_distribution<std::int64_t>(MIN_STORE_DELAY.count(), MAX_STORE_DELAY.count())(m_random));
    }
    const bool isFetching = m_fetch && now < m_fetch->expiresAt;
    // Before the first configuration no request can be served, so there is nothing to wait for.
    if (isFetching || (now < *m_fetchAt && m_routes.version() > 0)) {
        return;
    }
    m_fetch = fetch{entry, version, {}, {}};
    m_journal.note("routing_fetch_began", {{"entry", entry}, {"version", std::to_string(version)}});
    requestNextPiece();
}

void routing_replica::disconnectEntry(const std::string &entry)
{
    if (m_fetch && m_fetch->entry == entry) {
        m_fetch.reset();
    }
}

void routing_replica::handleRequest(const std::string &entry, const routing_request &request)
{
    if (request.version > m_routes.version() || m_document.empty()) {
        return;
    }
    // The version may have changed since the request: then the document is sent from its beginning.
    const bool isSameVersion = request.version == m_routes.version();
    const std::size_t offset = isSameVersion ? std::min<std::size_t>(request.offset, m_document.size()) : 0;
    m_outbox.send(entry, routing_piece{m_routes.version(), m_document.size(), offset, m_document.substr(offset, PIECE_BYTES)});
}

void routing_replica::handlePiece(const std::string &entry, const routing_piece &piece)
{
    if (!m_fetch || m_fetch->entry != entry || piece.bytes.empty() || piece.version < m_fetch->version) {
        return;
    }
    if (piece.version > m_fetch->version) {
        m_fetch->version = piece.version;
        m_fetch->received.clear();
    }
    if (piece.offset != m_fetch->received.size()) {
        return;
    }
    m_fetch->received += piece.bytes;
    if (m_fetch->received.size() < piece.documentBytes) {
        requestNextPiece();
        return;
    }
    const std::string document = std::move(m_fetch->received);
    m_fetch.reset();
    applyDocument(document, entry);
}

std::uint64_t routing_replica::version() const
{
    return m_routes.version();
}

void routing_replica::requestNextPiece()
{
    m_fetch->expiresAt = m_time.steadyNow() + PIECE_TIMEOUT;
    m_outbox.send(m_fetch->entry, routing_request{m_fetch->version, m_fetch->received.size()});
}

}
