#ifndef AZUREMOOR_JOBS_TASK_PLACER_H
#define AZUREMOOR_JOBS_TASK_PLACER_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "fleet/fleet_state.h"
#include "fleet/peer_outbox.h"
#include "jobs/waiting_queue.h"
#include "jobs/worker_directory.h"

namespace azuremoor
{

/// One task of a start_tasks message, with the fields that all tasks of the message share.
struct prepared_start {
    submission_key key;
    std::int64_t deadlineMilliseconds = 0;
    task_start start;
};

/// Provides the content of a task when a credit is spent on it.
class start_provider
{
public:
    virtual ~start_provider() = default;

    /// Marks the waiting task as placed on the worker and returns the start to send.
    virtual prepared_start prepareStart(const waiting_task &task, const worker_view &worker) = 0;
};

/// Event counts of a placer, exported as metrics.
struct placer_counters {
    std::uint64_t starts = 0;
    std::uint64_t startMessages = 0;
    std::uint64_t demandsSent = 0;
    std::uint64_t demandsWithdrawn = 0;
    std::uint64_t creditsReceived = 0;
    std::uint64_t creditsReturned = 0;
};

/**
 * Assigns waiting tasks to free slots by credit-based flow control.
 *
 * Tasks are grouped into classes that allow the same upstreams and need the same resources. The placer requests credits from agents
 * that it estimates to have free slots. If those do not suffice, it leaves a standing demand with eligible agents, up to a limit, so
 * that the next slot that becomes free takes the next task. Each start uses one credit. Tasks of one job for one agent are sent in one
 * message.
 */
class task_placer : private team_usage
{
public:
    /// Workers in dataCentre, the data centre of this entry, are preferred. The referenced objects must outlive the placer.
    task_placer(const time_source &time, std::string dataCentre, const fleet_state &fleet, start_provider &provider, peer_outbox &outbox);

    worker_directory &directory();
    const worker_directory &directory() const;

    /// Returns the identifier of the class of tasks with this selector, these job labels, and these resources, and counts one active
    /// task of it. The identifier stays valid until releaseClass has been called for each active task; it may then be assigned to another
    /// class.
    std::uint32_t acquireClass(const selector &allowed, const std::vector<label> &labels, const task_shape &resources);

    /// Subtracts one active task of the class. Called when a task of the class ends, or its job is no longer owned.
    void releaseClass(std::uint32_t taskClass);

    void enqueue(std::uint32_t taskClass, const std::string &team, const waiting_task &task);

    /// Removes a waiting task. Does nothing if it is not queued.
    void dequeue(std::uint32_t taskClass, const std::string &team, const waiting_task &task);

    /// Decreases the number of placed tasks of the team, after one ended, was revoked, or is no longer owned.
    void removePlacedTask(const std::string &team);

    /// Increases the number of placed tasks of the team, for a task placed by this owner or taken over from another one.
    void addPlacedTask(const std::string &team);

    /// Adds credits granted by the agent. Credits for an unknown agent or another incarnation are ignored.
    void addCredits(const std::string &agent, const grant &value);

    /// Sets the number of free slots that the agent reported.
    void setFreeSlots(const std::string &agent, std::uint32_t freeSlots);

    /// Spends the available credits on waiting tasks, and sends, repeats or withdraws demands for credits.
    void place();

    /// Sets the number of owners among which the quota of each team is divided.
    void setOwners(std::size_t owners);

    /// Returns the sorted names of the workers that can run the class, including those that do not accept work at present.
    const std::vector<std::string> &eligibleWorkers(std::uint32_t taskClass);

    /// Returns the number of waiting tasks, in total or of one class.
    std::size_t waiting() const;
    std::size_t waiting(std::uint32_t taskClass) const;

    /// Returns the number of placed tasks of the team, including those that are not confirmed to run.
    std::uint32_t placedTasks(const std::string &team) const;

    const placer_counters &counters() const;

private:
    struct class_view {
        std::string key;
        task_class description;
        /// Number of tasks of the class that have not ended.
        std::size_t activeTasks = 0;
        waiting_queue queue;
        std::vector<std::string> workers;
        /// Generation of the directory for which workers was computed; the initial value stands for none.
        std::uint64_t generation = UINT64_MAX;
    };

    std::optional<double> weightedUsage(const std::string &team) const override;
    void spendCredits(worker_view &worker);
    bool spendCredit(worker_view &worker, const task_shape &resources);
    void startOn(worker_view &worker, const waiting_task &task);
    void requestCredits(class_view &view, std::uint32_t taskClass);
    std::uint32_t requestCreditsFrom(worker_view &worker, const task_shape &resources, std::uint32_t wanted);
    void addStandingDemands(class_view &view, std::uint32_t taskClass);
    std::uint32_t addClass(const std::string &key);
    void withdrawDemands();
    void resendDemands();
    void returnUnusedCredits(worker_view &worker);
    void flushStarts();
    void flushDemands();
    /// Returns all credits that are demanded from the worker.
    demand demandOf(const worker_view &worker) const;
    std::size_t waitingFor(const worker_view &worker, const task_shape &resources);
    bool isEligibleWorker(std::uint32_t taskClass, const std::string &worker);

    const time_source &m_time;
    std::string m_dataCentre;
    const fleet_state &m_fleet;
    start_provider &m_startProvider;
    peer_outbox &m_outbox;
    worker_directory m_directory;
    std::vector<std::unique_ptr<class_view>> m_classes;
    std::map<std::string, std::uint32_t> m_classByKey;
    /// Position that the search for an unused class examined last.
    std::size_t m_searchPosition = 0;
    std::map<std::string, std::uint32_t> m_placedTasks;
    std::map<std::pair<std::string, std::string>, start_tasks> m_starts;
    steady_time m_nextDemandResend;
    std::size_t m_owners = 1;
    std::size_t m_waiting = 0;
    placer_counters m_counters;
};

}

#endif
