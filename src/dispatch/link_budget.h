#ifndef AZUREMOOR_DISPATCH_LINK_BUDGET_H
#define AZUREMOOR_DISPATCH_LINK_BUDGET_H

#include <cstddef>
#include <cstdint>

#include "base/time_source.h"
#include "dispatch/decaying_rate.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/// Bytes of the headers of a packet: Ethernet, IP and TCP with time stamps.
constexpr std::size_t PACKET_BYTES = 66;

/// Time in which the link carries what the bucket of a budget holds: the longest that other messages wait behind orders.
constexpr microseconds LINK_BURST = milliseconds(20);

/// Bytes that an order adds to what an entry sends.
struct order_bytes {
    std::size_t bytes = 0;
    /// The payload is written again, because the preceding order in the message has another one.
    bool hasPayload = true;
};

/// Returns the bytes that the order adds behind the given orders to the same agent, framing and packet headers included. Null stands for
/// no orders yet.
order_bytes bytesOfOrder(const start_runs *batch, const run_order &order);

/**
 * The outgoing direction of an entry's link as a token bucket in bytes.
 *
 * Orders are sent only as far as the bucket reaches. It is filled at a rate below that of the link, and holds what the link carries in
 * LINK_BURST, so that heartbeats, answers and stops never wait behind payloads for longer. These are sent at once; they take their bytes
 * from the bucket too, and so delay payloads instead.
 */
class link_budget
{
public:
    /// The rate is in bits per second; 0 stands for a link without limit.
    link_budget(const time_source &time, double bitsPerSecond);

    /// Returns whether the link has a limit. Without one, everything may be sent and nothing is delayed.
    bool isLimited() const;

    /// Returns whether the orders of a job with the given bytes in all may be begun now. More than half of the bucket may be begun when
    /// that is half full.
    bool canBegin(double bytes) const;

    /// Returns whether an order of the given size may follow others of the same job. The bucket may be overdrawn by half of what it holds,
    /// since orders that are sent together share their payload.
    bool canFollow(std::size_t bytes) const;

    /// Returns whether the bucket holds the given number of orders of one job, each with its own copy of a payload of the given size.
    bool holdsCopies(std::size_t payloadBytes, std::size_t orders) const;

    /// Records the sending of an order.
    void recordOrder(const order_bytes &order);

    /// Records that another message or an answer is sent.
    void recordOther(std::size_t bytes);

    /// Returns the expected time until the given bytes of orders have been sent, if no others are sent before.
    microseconds delayOf(double bytes) const;

    /// Returns how long the link needs for the given bytes when nothing else uses it.
    microseconds transferTime(double bytes) const;

    /// Returns the expected bytes of the given number of orders of one job with a payload of the given size. How often a payload is written
    /// for each order is learned.
    double expectedBytes(std::size_t payloadBytes, std::size_t orders) const;

    /// Returns the bytes of all orders since the start.
    std::uint64_t orderedBytes() const;

private:
    /// Returns the bytes of the orders with the given number of payloads.
    static double bytesOfOrders(std::size_t payloadBytes, std::size_t orders, double payloads);
    /// Returns the bytes in the bucket; negative when more has been sent.
    double tokens() const;
    void take(std::size_t bytes);

    const time_source &m_time;
    /// Bytes per microsecond that the link carries, and that enter the bucket.
    double m_linkRate;
    double m_rate;
    /// Bytes that the bucket holds.
    double m_depth;
    double m_tokens;
    steady_time m_updatedAt;
    /// Bytes of other messages, and of answers.
    decaying_rate m_otherRate;
    /// Written payloads for each order.
    double m_payloadsPerOrder = 1;
    std::uint64_t m_orderedBytes = 0;
};

}

#endif
