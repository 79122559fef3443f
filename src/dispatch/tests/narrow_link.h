#ifndef AZUREMOOR_DISPATCH_TESTS_NARROW_LINK_H
#define AZUREMOOR_DISPATCH_TESTS_NARROW_LINK_H

#include <cstdint>
#include <map>
#include <string>

#include "dispatch/job_dispatcher.h"
#include "dispatch/metered_outbox.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// What became of a load over a narrow link, counted over its jobs.
struct narrow_link_result {
    std::size_t jobs = 0;
    /// Jobs whose answer reached the caller by the latency objective, counted from when it was sent.
    std::size_t servedInTime = 0;
    std::size_t servedLate = 0;
    std::size_t refused = 0;
    /// Refusals that did not reach the caller at once after the job was sent.
    std::size_t lateRefusals = 0;
    /// Jobs that got another answer: out of time, failed.
    std::size_t failed = 0;
    /// Jobs without an answer until the caller's deadline.
    std::size_t unanswered = 0;
    /// Refusals that name a time to come back.
    std::size_t refusedWithTime = 0;
    std::uint64_t orders = 0;
    /// Orders that were placed to share payloads.
    std::uint64_t payloadSharingOrders = 0;
    /// Bytes on the entry's link by direction, packet headers included: all of them, and those of orders.
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t orderBytes = 0;
    /// What the budget counted for orders.
    std::uint64_t countedOrderBytes = 0;
    /// Longest time from the sending of an agent's heartbeat to the arrival of the answer.
    microseconds slowestHeartbeat{0};
    /// Longest time that something waited for the outgoing direction.
    microseconds longestQueue{0};
    refusal_counters refusals;
};

/// The load of an entry with a narrow link.
struct narrow_link_load {
    double bitsPerSecond = 2'000'000;
    double jobsPerSecond = 60;
    std::size_t agents = 10;
    std::size_t payloadBytes = 1000;
    /// Tasks of the first step, and of a second one that depends on it.
    std::uint32_t firstTasks = 4;
    std::uint32_t secondTasks = 1;
    /// Whether the entry knows the rate of its link.
    bool isRateKnown = true;
};

/**
 * An entry whose link takes time for each byte, in virtual time. Both directions have the same rate.
 *
 * Requests, results, free capacity and heartbeats come in over the link; orders, answers to callers and to heartbeats go out over it, each
 * in the order in which it was sent. The entry's decisions are those of the product, and the workers have capacity for all jobs.
 */
class narrow_link : public peer_outbox, public answer_sink
{
public:
    explicit narrow_link(const narrow_link_load &load);

    /// Sends jobs at an even rate for the duration and returns what became of them.
    narrow_link_result run(microseconds duration);

    void send(const std::string &peer, message value) override;
    void answerRequest(std::uint64_t request, const job_answer &answer) override;

private:
    void addAgent(const std::string &name);
    void sendJobs(steady_time end);
    void submit(std::uint64_t request);
    void sendHeartbeats();
    void tick();
    void startRuns(const std::string &agent, const start_runs &orders);
    void endRun(const std::string &agent, std::uint64_t sequence);
    void recordAnswer(std::uint64_t request, const job_answer &answer);
    microseconds objective() const;
    /// Sends bytes out and calls the function when they have passed the link.
    void passOut(std::size_t bytes, std::function<void()> arrive);
    /// The same for bytes that come in.
    void passIn(std::size_t bytes, std::function<void()> arrive);
    /// Sends a heartbeat of an agent over the link.
    void receiveHeartbeat(const std::string &agent);
    microseconds timeFor(std::size_t bytes) const;

    virtual_time m_time;
    narrow_link_load m_load;
    decision_journal m_journal;
    link_budget m_link;
    metered_outbox m_outbox;
    worker_pool m_pool;
    earliest_completion_placement m_placement;
    fair_share_admission m_admission;
    progress_straggler_policy m_stragglers;
    local_load m_localLoad;
    job_dispatcher m_dispatcher;
    route m_route;
    steady_time m_outBusyUntil{};
    steady_time m_inBusyUntil{};
    std::map<std::uint64_t, steady_time> m_sentAt;
    std::map<std::string, std::uint64_t> m_resultNumbers;
    int m_heartbeatRound = 0;
    narrow_link_result m_result;
};

}

#endif
