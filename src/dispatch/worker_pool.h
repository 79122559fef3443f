#ifndef AZUREMOOR_DISPATCH_WORKER_POOL_H
#define AZUREMOOR_DISPATCH_WORKER_POOL_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "base/time_source.h"
#include "dispatch/worker_performance.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Names a task among the jobs of this entry.
struct task_reference {
    /// Number of the job at this entry.
    std::uint64_t job = 0;
    /// Position of the task in its job.
    std::uint32_t task = 0;
};

/// Learns how runs ended.
class run_listener
{
public:
    virtual ~run_listener() = default;

    /// The run of a task ended or never began. It is certain that it is not under way any more.
    virtual void handleRunEnd(const task_reference &task, run_outcome outcome, const std::string &agent) = 0;
};

/// One worker as an entry sees it, through the agent beside it.
struct pooled_worker {
    /// A run that was ordered and has no result yet.
    struct outstanding_run {
        task_reference task;
        task_shape resources;
        microseconds estimate{0};
        steady_time orderedAt;
        bool isStopping = false;
        /// Latest progress that the agent reported, in percent.
        std::optional<std::uint8_t> percent;
        /// When the progress last rose.
        steady_time lastProgressAt{};
        /// The progress has been taken as a sample of the worker's speed.
        bool isSampled = false;
    };

    std::string agent;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    bool isConnected = false;
    /// The first status on this connection is still to come; it tells which orders arrived.
    bool isAwaitingStatus = true;
    worker_status status;
    steady_time statusReceivedAt;
    /// When the agent's latest heartbeat was answered. The agent's lease ends a fixed time after it at most.
    steady_time lastHeartbeatAt;
    std::uint64_t lastOrderSequence = 0;
    steady_time lastOrderAt;
    std::uint64_t lastResultNumber = 0;
    /// Latest result that the agent was told has arrived.
    std::uint64_t acknowledgedResultNumber = 0;
    std::map<std::uint64_t, outstanding_run> runs;
    /// Runs that an earlier process of the agent was ordered. They are over once its successor reports ready.
    std::vector<outstanding_run> orphanedRuns;
    steady_time orphanedRunsEndBy;
    worker_performance performance;

    /// Returns the room that is left once all orders that are under way have arrived.
    task_shape availableCapacity() const;
};

/// How the usable workers do on the whole: medians over them.
struct pool_medians {
    double slowness = 1;
    double failureRate = 0;
};

/// How many times slower than usual a worker is when it gets no ordinary work.
constexpr double SLOW_WORKER_RATIO = 2.5;

/// Times after which an entry may draw conclusions from silence.
struct agent_timeouts {
    /// Time from an entry's last answer to an agent until none of its runs can be under way there.
    microseconds runsEndedAfter = milliseconds(1250);
    /// Age of the last heartbeat from which on an agent gets no new runs.
    microseconds suspectedAfter = milliseconds(350);
};

/**
 * The workers that an entry can use, and the runs that it has ordered there.
 *
 * Room is what the agents report, less the orders that their reports do not account for yet. An agent decides for itself whether an
 * order fits.
 */
class worker_pool
{
public:
    worker_pool(const time_source &time, agent_timeouts timeouts, peer_outbox &outbox, decision_journal &journal);

    /// Sets who is told about runs. It must outlive the pool.
    void setListener(run_listener &listener);

    /// An agent introduced itself on a new connection.
    void connectAgent(const hello &agent);

    /// The connection to the agent is gone.
    void disconnectAgent(const std::string &agent);

    /// A heartbeat of the agent is being answered.
    void recordHeartbeat(const std::string &agent);

    /// The agent told about its worker.
    void updateStatus(const std::string &agent, const worker_status &status);

    /// The agent told what room is free on its worker.
    void updateFreeCapacity(const std::string &agent, const room_update &update);

    /// Sets what the waiting tasks need that found no room, so that agents tell of room at once.
    void setDemand(const room_wish &capacityDemand);

    /// The agent told how runs ended.
    void receiveResults(const std::string &agent, const run_results &results);

    /// Orders a run from the agent. The order leaves with the next flush.
    void orderRun(pooled_worker &worker, const task_reference &task, run_order order, microseconds estimate);

    /// Asks for an early end of the runs of a job's tasks. Their results still come.
    void stopRuns(std::uint64_t job);

    /// Asks for an early end of one run that stands still.
    void stopRun(pooled_worker &worker, std::uint64_t sequence);

    /// Sends the orders that have been collected.
    void flush();

    /// Returns whether something has changed since the last call that may make room for a task.
    bool consumeChange();

    /// Draws conclusions from silence; to be called often.
    void tick();

    /// Returns whether the worker may get new runs.
    bool isUsable(const pooled_worker &worker) const;

    /// Returns all workers, by agent.
    std::map<std::string, pooled_worker> &workers();
    const std::map<std::string, pooled_worker> &workers() const;

private:
    void updateProgress(pooled_worker &worker, const std::vector<run_progress> &progress);
    void recordRunProgress(pooled_worker &worker, const run_progress &progress);
    void sendDemand();
    void moveToOrphanedRuns(pooled_worker &worker);
    void endOrphanedRuns(pooled_worker &worker, const std::string &reason);
    void endRunsOfSilentAgent(pooled_worker &worker);
    void endRun(pooled_worker &worker, std::uint64_t sequence, run_outcome outcome);
    void resendStops(pooled_worker &worker);
    void endUnreceivedOrders(pooled_worker &worker, std::uint64_t appliedOrder);

    const time_source &m_time;
    agent_timeouts m_timeouts;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    run_listener *m_listener = nullptr;
    std::map<std::string, pooled_worker> m_workers;
    std::map<std::string, start_runs> m_orders;
    std::map<std::string, stop_runs> m_stops;
    bool m_hasChanged = false;
    room_wish m_demand;
    room_wish m_sentDemand;
    /// When tasks last waited without room.
    steady_time m_lastDemandAt{};
    steady_time m_nextDemandAt{};
};

/// Returns how the usable workers of the pool do.
pool_medians poolMedians(const worker_pool &pool, steady_time now);

}

#endif
