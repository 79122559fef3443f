#ifndef AZUREMOOR_DISPATCH_WORKER_POOL_H
#define AZUREMOOR_DISPATCH_WORKER_POOL_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "base/time_source.h"
#include "dispatch/announced_demand.h"
#include "dispatch/former_sessions.h"
#include "dispatch/origin_lease_source.h"
#include "dispatch/outstanding_run.h"
#include "dispatch/pooled_worker.h"
#include "fleet/evacuation_table.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Is notified when runs end.
class run_listener
{
public:
    virtual ~run_listener() = default;

    /// Called when the task's run has ended or never began. The run is certainly not active any more.
    virtual void handleRunEnd(const task_reference &task, run_outcome outcome, const std::string &agent) = 0;
};

/// Medians over the usable workers of a pool; see `worker_performance`.
struct pool_medians {
    double slowness = 1;
    double failureRate = 0;
};

/// A worker whose slowness is at least this multiple of the median is quarantined, and its runs may be moved to other workers.
constexpr double SLOW_WORKER_RATIO = 2.5;

/// Limits on the time since an entry last renewed its lease at an agent, by the answer to a heartbeat or by an order.
struct agent_timeouts {
    /// Time after which none of the entry's runs can be active at the agent. Must not be shorter than `lease_timing::maxOrphanedRunTime()`.
    microseconds runsEndedAfter = milliseconds(1250);
    /// Time after which the agent gets no new runs.
    microseconds suspectedAfter = milliseconds(350);
    /// Time since the last heartbeat after which an agent without runs of the entry gets none.
    microseconds idleSuspectedAfter = milliseconds(650);
};

/**
 * The workers that an entry can use, and the runs that it has ordered from them.
 *
 * The available capacity is the free capacity that an agent reports, less the orders that its report does not include yet. The agent
 * itself decides whether to accept an order.
 */
class worker_pool
{
public:
    /// Without a table of evacuations, no data centre is evacuated.
    worker_pool(const time_source &time,
                agent_timeouts timeouts,
                peer_outbox &outbox,
                decision_journal &journal,
                const evacuation_table *evacuations = nullptr);

    /// Returns how long a run may go on after the last sign of life of the entry that ordered it, or of the origin of its job.
    microseconds maxOrphanedRunTime() const;

    /// Sets the listener for the ends of runs. It must be set before the first order, and outlive the pool.
    void setListener(run_listener &listener);

    /// Adds the estimates of run times to orders, so that agents forecast free capacity and say which capacity is reserved.
    void useForecasts();

    /// Sets what knows when the origins of handed-over jobs were alive. It must outlive the pool, and is not needed without such jobs.
    void setOrigins(const origin_lease_source &origins);

    /// Returns the ages, at a time on the own clock, of the last signs of life of the origins that have runs at the agent.
    std::vector<origin_age> originAges(const std::string &agent, steady_time at) const;

    /// Handles an agent's introduction on a new connection.
    void connectAgent(const hello &agent);

    /// Handles the loss of the connection to the agent. Its runs may continue.
    void disconnectAgent(const std::string &agent);

    /// Records that the heartbeat of the agent is being answered, and acknowledges new results.
    void recordHeartbeat(const std::string &agent, const ping &heartbeat);

    /// Handles an agent's status of its worker. The first status on a connection settles which orders the agent received.
    void updateStatus(const std::string &agent, const worker_status &status);

    /// Handles an agent's update of the free capacity. Ignored before the first status on the connection.
    void updateFreeCapacity(const std::string &agent, const room_update &update);

    /// Sets the capacity that waiting tasks need, and tells the connected agents when `announced_demand` requires it.
    void setDemand(const room_wish &capacityDemand);

    /// Handles results of runs. A result whose number was received before is ignored.
    void receiveResults(const std::string &agent, const run_results &results);

    /// Orders a run from the worker's agent. The order is sent with the next flush.
    void orderRun(pooled_worker &worker, const task_reference &task, run_order order, microseconds estimate);

    /// Returns the orders to the agent that the next flush sends, or null when there are none.
    const start_runs *collectedOrders(const std::string &agent) const;
    /// Returns whether the latest order to the worker is one of the job and has not been sent. The payload of a further order of that job
    /// is then sent together with it.
    bool hasUnsentOrderOf(const pooled_worker &worker, std::uint64_t job) const;

    /// Requests that all runs of the job are stopped, with the next flush. Their results still arrive.
    void stopRuns(std::uint64_t job);

    /// Requests that one run is stopped, with the next flush. The run must be outstanding; its result still arrives.
    void stopRun(pooled_worker &worker, std::uint64_t sequence);

    /// Returns whether the order with the sequence waits for the next flush.
    bool isOrderUnsent(const pooled_worker &worker, std::uint64_t sequence) const;

    /// Sends the collected orders and stop requests.
    void flush();

    /// Returns the largest capacity that a worker had when its status or free capacity was received or a run ended there, since the last
    /// call; nothing if none of these happened. A waiting task that fitted nowhere may fit now only if it fits into that.
    std::optional<task_shape> consumeChangedCapacity();

    /// Ends the runs of agents whose heartbeats are missing for too long, and removes workers that are gone. Must be called about
    /// every 20 ms.
    void tick();

    /// Takes changed evacuations into account. tick() does so too, for the gradual return of load.
    void updateAvailability();

    /// Returns whether at least one data centre is evacuated.
    bool isAnyEvacuated() const;

    /// Returns the evacuated data centres with the age of what is known of them, for the journal.
    std::string describeEvacuations() const;

    /// Returns whether the worker may get new runs: it is connected, ready and not draining, its heartbeats arrive, and its data centre is
    /// not evacuated.
    bool isUsable(const pooled_worker &worker) const;

    /// The same with the current time, which callers that look at many workers read once.
    bool isUsable(const pooled_worker &worker, steady_time now) const;

    /// Returns the same without regard to evacuations and drains: whether the state of the worker's runs is known.
    bool isResponsive(const pooled_worker &worker, steady_time now) const;

    /// Returns the largest available amount of each resource among the usable workers. A task that does not fit into it fits nowhere.
    task_shape largestAvailableCapacity() const;

    /// Returns all workers, by agent.
    std::map<std::string, pooled_worker> &workers();
    const std::map<std::string, pooled_worker> &workers() const;

private:
    void updateAvailability(pooled_worker &worker, steady_time now);
    void updateProgress(pooled_worker &worker, const std::vector<run_progress> &progress);
    void recordRunProgress(pooled_worker &worker, const run_progress &progress);
    /// Reports the ends of the runs of a session with a former process of the agent.
    void endFormerSession(const former_session &session, const std::string &agent, const std::string &reason);
    void endRunsOfSilentAgent(pooled_worker &worker);
    void recordCapacityChange(const pooled_worker &worker);
    void endRun(pooled_worker &worker, std::uint64_t sequence, run_outcome outcome);
    void resendStops(pooled_worker &worker);
    void endUnreceivedOrders(pooled_worker &worker, std::uint64_t appliedOrder);

    const time_source &m_time;
    agent_timeouts m_timeouts;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    const evacuation_table *m_evacuations;
    run_listener *m_listener = nullptr;
    bool m_usesForecasts = false;
    const origin_lease_source *m_origins = nullptr;
    std::map<std::string, pooled_worker> m_workers;
    std::map<std::string, start_runs> m_orders;
    std::map<std::string, stop_runs> m_stops;
    std::optional<task_shape> m_changedCapacity;
    announced_demand m_demand;
};

/// Returns the medians over the usable workers of the pool: a slowness of 1 and a failure rate of 0 when there is none.
pool_medians poolMedians(const worker_pool &pool, steady_time now);

}

#endif
