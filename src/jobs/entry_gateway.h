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

/// Where the answers to callers go.
class caller_outbox
{
public:
    virtual ~caller_outbox() = default;

    /// Answers the caller that the request came from. Called at most once for each request.
    virtual void answer(std::uint64_t requestId, const job_reply &reply) = 0;
};

/**
 * Stands between the callers at one entry and the owners of their jobs.
 *
 * It passes each request to the owner of its shard, and passes it again when the owner changes or comes back, which the owner
 * recognises. Each caller is answered once, with the reply to its own request, by the deadline at the latest.
 */
class entry_gateway
{
public:
    entry_gateway(const time_source &time,
                  const control_stream_replica &stream,
                  const freshness_tracker &guard,
                  peer_outbox &peers,
                  caller_outbox &callers);

    /// Takes a submission. Returns the number under which it is answered.
    std::uint64_t submit(const job_request &job);

    /// Takes a question about a job, or its cancellation. Returns the number under which it is answered.
    std::uint64_t query(const std::string &jobId, bool cancel);

    /// Notes that a caller no longer waits. A submission goes on all the same.
    void abandon(std::uint64_t requestId);

    /// Takes a reply of an owner. Other messages are ignored.
    void handle(const message &value);

    /// Notes that a connection to the entry came up, so that what was under way to it may be lost.
    void connectEntry(const std::string &entry);

    /// Passes requests to new owners, and answers those whose time is up.
    void tick();

    /// Returns whether no more requests can be taken.
    bool isFull() const;

    /// Returns the number of requests that are not answered.
    std::size_t pending() const;

    /// Returns how many requests were passed on again, to a new or returned owner.
    std::uint64_t forwardedAgain() const;

private:
    static constexpr std::size_t MAX_PENDING = 100'000;

    struct pending_request {
        message forwarded;
        std::string jobId;
        std::uint32_t attempt = 1;
        std::uint32_t shard = 0;
        /// Epoch of the owner that has the request; 0 while nobody has it.
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
    peer_outbox &m_peers;
    caller_outbox &m_callers;
    std::map<std::uint64_t, pending_request> m_pending;
    std::set<std::pair<unix_time, std::uint64_t>> m_deadlines;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_appliedOffset = 0;
    std::uint64_t m_forwardedAgain = 0;
};

}

#endif
