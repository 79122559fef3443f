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

/// A waiting task as it goes to an agent.
struct prepared_start {
    submission_key key;
    std::int64_t deadlineMilliseconds = 0;
    task_start start;
};

/// Is asked for the content of a task at the moment when a credit for it is at hand.
class start_provider
{
public:
    virtual ~start_provider() = default;

    /// Marks the waiting task as placed on the worker and returns what to send there.
    virtual prepared_start prepareStart(const waiting_task &task, const worker_view &worker) = 0;
};

/// What a placer has counted.
struct placer_counters {
    std::uint64_t starts = 0;
    std::uint64_t startMessages = 0;
    std::uint64_t demandsSent = 0;
    std::uint64_t demandsWithdrawn = 0;
    std::uint64_t creditsReceived = 0;
    std::uint64_t creditsReturned = 0;
};

/**
 * Brings waiting tasks and free slots together.
 *
 * Tasks are kept by class: same upstreams allowed, same resources. The placer asks agents for credits where it believes slots to be
 * free; when none are, it leaves a standing wish with every agent that could run the tasks, so that the next slot to come free
 * anywhere takes the next task. A start is sent only against a credit. Tasks of one job for one agent travel in one message.
 */
class task_placer : private team_shares
{
public:
    /// Takes the clock, this entry's data centre, the agreed state, the start source and the outbox.
    task_placer(const time_source &time, std::string dataCentre, const fleet_state &fleet, start_provider &source, peer_outbox &outbox);

    /// Returns what is known of the workers.
    worker_directory &directory();
    const worker_directory &directory() const;

    /// Returns the number of the class for tasks with this selector, these labels of the work, and this resources. It stays the same until
    /// the class has been released as often as it was asked for; after that, the number may go to another class.
    std::uint32_t classFor(const selector &allowed, const std::vector<label> &labels, const task_shape &resources);

    /// Notes that a task of the class ended.
    void releaseClass(std::uint32_t taskClass);

    /// Adds a waiting task.
    void enqueue(std::uint32_t taskClass, const std::string &team, const waiting_task &task);

    /// Removes a waiting task.
    void dequeue(std::uint32_t taskClass, const std::string &team, const waiting_task &task);

    /// Notes that a placed task of the team ended or was taken back.
    void removeRunningTask(const std::string &team);

    /// Notes that a task of the team that another owner had placed runs.
    void addRunningTask(const std::string &team);

    /// Notes credits from an agent.
    void addCredits(const std::string &agent, const grant &value);

    /// Notes how many slots an agent says are free.
    void setFreeSlots(const std::string &agent, std::uint32_t freeSlots);

    /// Starts what can be started, and sends and withdraws wishes for credits.
    void place();

    /// Sets by how many owners the quotas of the teams are shared.
    void setOwners(std::size_t owners);

    /// Returns the names of the workers that could run the class, whether or not they accept work now.
    const std::vector<std::string> &eligibleWorkers(std::uint32_t taskClass);

    /// Returns the number of waiting tasks, in all or of a class.
    std::size_t waiting() const;
    std::size_t waiting(std::uint32_t taskClass) const;

    /// Returns the number of running tasks of the team that this entry placed.
    std::uint32_t running(const std::string &team) const;

    /// Returns the counters.
    const placer_counters &counters() const;

private:
    struct class_view {
        std::string key;
        task_class tasks;
        /// Tasks that have not ended.
        std::size_t activeTasks = 0;
        waiting_queue queue;
        std::vector<std::string> workers;
        std::uint64_t generation = UINT64_MAX;
    };

    std::optional<double> usedShare(const std::string &team) const override;
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
    demand standingDemand(const worker_view &worker) const;
    std::size_t waitingFor(const worker_view &worker, const task_shape &resources);
    bool isEligibleWorker(std::uint32_t taskClass, const std::string &worker);

    const time_source &m_time;
    std::string m_dataCentre;
    const fleet_state &m_fleet;
    start_provider &m_source;
    peer_outbox &m_outbox;
    worker_directory m_directory;
    std::vector<std::unique_ptr<class_view>> m_classes;
    std::map<std::string, std::uint32_t> m_classByKey;
    /// Where the search for an unused class goes on.
    std::size_t m_nextUnused = 0;
    std::map<std::string, std::uint32_t> m_running;
    std::map<std::pair<std::string, std::string>, start_tasks> m_starts;
    steady_time m_nextDemandResend;
    std::size_t m_owners = 1;
    std::size_t m_waiting = 0;
    placer_counters m_counters;
};

}

#endif
