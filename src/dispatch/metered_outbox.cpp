#include "dispatch/metered_outbox.h"

#include <numeric>
#include <span>
#include <utility>

namespace azuremoor
{

namespace
{

/// Bytes of a message without long parts, framing included.
constexpr std::size_t SMALL_MESSAGE_BYTES = 50;

/// Bytes of the HTTP headers of an answer.
constexpr std::size_t ANSWER_HEADER_BYTES = 150;

constexpr std::size_t LENGTH_BYTES = 4;

std::size_t textBytes(std::span<const std::string> texts)
{
    return std::accumulate(texts.begin(), texts.end(), std::size_t(0), [](std::size_t sum, const std::string &text) {
        return sum + LENGTH_BYTES + text.size();
    });
}

std::size_t longPartBytes(const message &value)
{
    if (const auto *piece = std::get_if<routing_piece>(&value)) {
        return piece->bytes.size();
    }
    if (const auto *handover = std::get_if<job_handover>(&value)) {
        return handover->payload.size();
    }
    if (const auto *known = std::get_if<known_entries>(&value)) {
        return textBytes(known->addresses);
    }
    if (const auto *stops = std::get_if<stop_runs>(&value)) {
        return stops->sequences.size() * sizeof(std::uint64_t);
    }
    if (const auto *heartbeat = std::get_if<entry_heartbeat>(&value)) {
        return heartbeat->load.waiting.size() * sizeof(priority_load);
    }
    return 0;
}

}

metered_outbox::metered_outbox(peer_outbox &outbox, link_budget &link)
    : m_outbox(outbox)
    , m_link(link)
{
}

void metered_outbox::send(const std::string &peer, message value)
{
    if (m_link.isLimited() && !std::holds_alternative<start_runs>(value)) {
        m_link.recordOther(approximateBytes(value));
    }
    m_outbox.send(peer, std::move(value));
}

std::size_t approximateBytes(const message &value)
{
    return SMALL_MESSAGE_BYTES + PACKET_BYTES + longPartBytes(value);
}

std::size_t approximateAnswerBytes(std::size_t bodyBytes)
{
    return ANSWER_HEADER_BYTES + bodyBytes + 2 * PACKET_BYTES;
}

}
