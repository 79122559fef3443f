#ifndef AZUREMOOR_DISPATCH_RESERVATION_PLANNER_H
#define AZUREMOOR_DISPATCH_RESERVATION_PLANNER_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/decision_journal.h"
#include "dispatch/active_job.h"
#include "dispatch/worker_pool.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Maximum number of reservations that an entry has at the same time.
constexpr std::size_t MAX_ENTRY_RESERVATIONS = 4;

/// Counters since the start of the process.
struct planner_counters {
    std::uint64_t requested = 0;
    std::uint64_t withdrawn = 0;
};

/**
 * Chooses the waiting tasks of this entry that get a reservation, and the workers at which it is requested.
 *
 * A task is large if it needs more than the capacity that is usually found free on some worker and more than twice as much as the usual
 * task, and if it has waited for a while in which other tasks were ordered. The reservation is requested where its capacity is expected
 * first, by the agents' forecasts.
 */
class reservation_planner
{
public:
    /// The objects must outlive the planner.
    reservation_planner(const time_source &time, const worker_pool &pool, peer_outbox &outbox, decision_journal &journal);

    /// Begins a pass over the waiting jobs, with the largest amount of each resource that is free on some worker.
    void beginPass(const task_shape &largestAvailable);

    /// Records that no worker was found for the waiting task in this pass.
    void recordUnplaced(const active_job &job, std::uint32_t task);

    /// Records that the task was ordered from the agent. Withdraws its reservation at another agent.
    void recordOrder(const active_job &job, std::uint32_t task, const std::string &agent);

    /// Withdraws the reservations of a job that has ended.
    void endJob(std::uint64_t job);

    /// Requests reservations for the large tasks of this pass that can still be done in time.
    void endPass();

    const planner_counters &counters() const;

private:
    using task_key = std::pair<std::uint64_t, std::uint32_t>;
    struct waiting_task {
        task_key key;
        const step_spec *step = nullptr;
        std::string service;
        std::uint32_t priority = 0;
        steady_time objective;
    };
    struct planned_reservation {
        std::string agent;
        /// When the agent ends the reservation at the latest.
        steady_time until;
    };
    struct expected_room {
        const pooled_worker *worker = nullptr;
        microseconds wait{0};
        /// Time until the task is expected to be done.
        microseconds completion{0};
    };

    bool isLarge(const waiting_task &task) const;
    /// Returns where the task is expected to be done first, if that is not a worker with a reservation; no worker if there is none.
    expected_room findRoom(const waiting_task &task) const;
    void reserve(const waiting_task &task, const expected_room &room);
    void withdraw(const planned_reservation &reservation);
    void forgetExpired(steady_time now);
    bool isReserved(const pooled_worker &worker) const;

    const time_source &m_time;
    const worker_pool &m_pool;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    /// Moving mean of the thousandths of a core that were free on the worker with most of them.
    std::optional<double> m_usualMilliCores;
    /// Moving mean of the thousandths of a core that ordered tasks need.
    std::optional<double> m_meanTaskMilliCores;
    /// Number of orders since the start.
    std::uint64_t m_orders = 0;
    /// Tasks that found no worker, with the time and the number of orders when they first did not.
    std::map<task_key, std::pair<steady_time, std::uint64_t>> m_waitingSince;
    /// Tasks that found no worker in this pass.
    std::vector<waiting_task> m_unplaced;
    std::map<task_key, planned_reservation> m_reservations;
    planner_counters m_counters;
};

}

#endif
