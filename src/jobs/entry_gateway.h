#ifndef AZUREMOOR_JOBS_ENTRY_GATEWAY_H
#define AZUREMOOR_JOBS_ENTRY_GATEWAY_H

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fleet/control_stream_replica.h"
#include "fleet/freshness_tracker.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Delivers replies to callers.
class caller_outbox
{
public:
    virtual ~caller_outbox() = default;

    /// Sends the reply to the caller of the request. Called at most once for each request.
    virtual void answer(std::uint64_t requestId, const job_reply &reply) = 0;
};

/**
 * Forwards the requests of callers at one entry to the owners of their jobs.
 *
 * Each request is sent to the owner of its shard, and sent again when the owner changes or reconnects; owners detect such duplicates.
 * Each request gets exactly one reply, unless it is abandoned. A submission gets it by its deadline; a query, a cancellation, or a
 * submission whose deadline has already passed gets it within a fixed timeout.
 */
class entry_gateway
{
public:
    entry_gateway(const time_source &time,
                  const control_stream_replica &stream,
                  const freshness_tracker &guard,
                  peer_outbox &outbox,
                  caller_outbox &callers);

    /// Forwards a submission. Returns the request identifier that is passed to caller_outbox::answer.
    std::uint64_t submit(const job_request &job);

    /// Forwards a status query or a cancellation of a job. Returns the request identifier that is passed to caller_outbox::answer.
    std::uint64_t query(const std::string &jobId, bool cancel);

    /// Suppresses the reply to a request whose caller has disconnected. A submission is still carried out.
    void abandon(std::uint64_t requestId);

    /// Handles a reply from an owner. Other messages are ignored.
    void handle(const message &value);

    /// Handles a new connection to the entry: requests that were sent to it earlier may have been lost and are sent again.
    void connectEntry(const std::string &entry);

    /// Forwards requests to new owners after ownership changes, and replies to requests that have timed out.
    void tick();

    /// Returns whether the limit on pending requests is reached.
    bool isFull() const;

    /// Returns the number of requests without a reply.
    std::size_t pending() const;

    /// Returns how often a request was forwarded again, to a new or reconnected owner.
    std::uint64_t forwardedAgain() const;

private:
    /// Limit that isFull reports. It is not enforced here.
    static constexpr std::size_t MAX_PENDING = 100'000;

    struct pending_request {
        message forwarded;
        std::string jobId;
        std::uint32_t attempt = 1;
        std::uint32_t shard = 0;
        /// Epoch of the owner that the request was last sent to; 0 if it has to be sent.
        std::uint64_t sentEpoch = 0;
        std::string sentTo;
        unix_time deadline;
        bool abandoned = false;
    };

    std::uint64_t add(pending_request request);
    void forward(pending_request &request);
    void answer(std::uint64_t requestId, const pending_request &request, const job_reply &reply);
    job_reply timeoutReply(const pending_request &request) const;

    const time_source &m_time;
    const control_stream_replica &m_stream;
    const freshness_tracker &m_guard;
    peer_outbox &m_outbox;
    caller_outbox &m_callers;
    std::map<std::uint64_t, pending_request> m_pending;
    std::set<std::pair<unix_time, std::uint64_t>> m_deadlines;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_lastOffset = 0;
    std::uint64_t m_forwardedAgain = 0;
};

}

#endif
