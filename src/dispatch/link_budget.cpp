#include "dispatch/link_budget.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

constexpr double BITS_PER_BYTE = 8;
constexpr double MICROSECONDS_PER_SECOND = 1'000'000;

/// Part of the link's rate that enters the bucket. The rest drains the queue before the link after other traffic.
constexpr double RATE_SHARE = 0.9;

/// Part of the bucket that has to be filled before the orders of a job are begun that need more than that. The bucket is never quite full,
/// since other messages take from it all the time.
constexpr double BEGIN_SHARE = 0.5;

/// Part of the bucket by which the orders of one job may overdraw it.
constexpr double OVERDRAFT_SHARE = 0.5;

/// Most bytes that other traffic takes in advance, as a multiple of the bucket. A routing configuration that is passed on must not keep
/// jobs waiting for longer than the link needs.
constexpr double MAX_DEBT = 5;

/// Least part of the rate that delays are computed with, however much other traffic there is.
constexpr double MIN_ORDER_SHARE = 0.1;

/// Time constant of the rate of other traffic.
constexpr microseconds OTHER_RATE_TIME_CONSTANT = seconds(1);

/// Weight of an order in the learned number of written payloads for each order.
constexpr double LEARNING_WEIGHT = 0.02;

/// Bytes of payload in a packet.
constexpr std::size_t PACKET_PAYLOAD_BYTES = 1448;

/// Bytes of a message with orders without its worker's name: length, kind, time, and lengths of the name and the list.
constexpr std::size_t BATCH_BYTES = 24;

/// Bytes of an order without its task's name and payload, and those of a payload's length.
constexpr std::size_t ORDER_BYTES = 30;
constexpr std::size_t LENGTH_BYTES = 4;

/// Usual length of a task's name: a job's name of 16 digits and three short numbers.
constexpr std::size_t TASK_NAME_BYTES = 22;

}

order_bytes bytesOfOrder(const start_runs *batch, const run_order &order)
{
    order_bytes result;
    result.bytes = ORDER_BYTES + order.task.size();
    if (batch == nullptr) {
        result.bytes += BATCH_BYTES + PACKET_BYTES;
    }
    const std::string_view previous = batch == nullptr || batch->orders.empty() ? std::string_view() : batch->orders.back().payload;
    result.hasPayload = order.payload != previous;
    if (result.hasPayload) {
        result.bytes += LENGTH_BYTES + order.payload.size() + order.payload.size() / PACKET_PAYLOAD_BYTES * PACKET_BYTES;
    }
    return result;
}

link_budget::link_budget(const time_source &time, double bitsPerSecond)
    : m_time(time)
    , m_linkRate(bitsPerSecond / BITS_PER_BYTE / MICROSECONDS_PER_SECOND)
    , m_rate(m_linkRate * RATE_SHARE)
    , m_depth(m_linkRate * static_cast<double>(LINK_BURST.count()))
    , m_tokens(m_depth)
    , m_updatedAt(time.steadyNow())
    , m_otherRate(OTHER_RATE_TIME_CONSTANT)
{
}

bool link_budget::isLimited() const
{
    return m_rate > 0;
}

bool link_budget::canBegin(double bytes) const
{
    return !isLimited() || tokens() >= std::min(bytes, BEGIN_SHARE * m_depth);
}

bool link_budget::canFollow(std::size_t bytes) const
{
    return !isLimited() || tokens() - static_cast<double>(bytes) >= -OVERDRAFT_SHARE * m_depth;
}

bool link_budget::holdsCopies(std::size_t payloadBytes, std::size_t orders) const
{
    return !isLimited() || tokens() >= bytesOfOrders(payloadBytes, orders, static_cast<double>(orders));
}

void link_budget::recordOrder(const order_bytes &order)
{
    m_orderedBytes += order.bytes;
    m_payloadsPerOrder += LEARNING_WEIGHT * ((order.hasPayload ? 1 : 0) - m_payloadsPerOrder);
    take(order.bytes);
}

void link_budget::recordOther(std::size_t bytes)
{
    if (!isLimited()) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    take(bytes);
    m_tokens = std::max(m_tokens, -MAX_DEBT * m_depth);
    m_otherRate.add(static_cast<double>(bytes), now);
}

microseconds link_budget::delayOf(double bytes) const
{
    const double missing = bytes - tokens();
    if (!isLimited() || missing <= 0) {
        return microseconds(0);
    }
    const double rate = std::max(m_rate - m_otherRate.perMicrosecond(m_time.steadyNow()), MIN_ORDER_SHARE * m_rate);
    return microseconds(static_cast<std::int64_t>(missing / rate));
}

microseconds link_budget::transferTime(double bytes) const
{
    return microseconds(isLimited() ? static_cast<std::int64_t>(bytes / m_linkRate) : 0);
}

double link_budget::expectedBytes(std::size_t payloadBytes, std::size_t orders) const
{
    // The job's first order always carries the payload.
    const double payloads = orders == 0 ? 0 : std::max(1.0, m_payloadsPerOrder * static_cast<double>(orders));
    return bytesOfOrders(payloadBytes, orders, payloads);
}

double link_budget::bytesOfOrders(std::size_t payloadBytes, std::size_t orders, double payloads)
{
    const double batches = payloads;
    return payloads * static_cast<double>(payloadBytes + LENGTH_BYTES) + batches * static_cast<double>(BATCH_BYTES + PACKET_BYTES)
        + static_cast<double>(orders * (ORDER_BYTES + TASK_NAME_BYTES));
}

std::uint64_t link_budget::orderedBytes() const
{
    return m_orderedBytes;
}

double link_budget::tokens() const
{
    const double elapsed = static_cast<double>((m_time.steadyNow() - m_updatedAt).count());
    return std::min(m_tokens + elapsed * m_rate, m_depth);
}

void link_budget::take(std::size_t bytes)
{
    m_tokens = tokens() - static_cast<double>(bytes);
    m_updatedAt = m_time.steadyNow();
}

}
