#ifndef AZUREMOOR_JOBS_WORKER_DIRECTORY_H
#define AZUREMOOR_JOBS_WORKER_DIRECTORY_H

#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "configuration/configuration.h"
#include "messages/messages.h"

namespace azuremoor
{

/// State of a worker, which is an agent and its upstream, as known to an entry. A worker has the name of its agent.
struct worker_view {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    bool connected = false;
    /// Time by which a disconnected agent must reconnect before it counts as lost.
    steady_time reconnectDeadline;
    upstream_status status;
    /// Labels that the agent announced, overridden by those that operators configured.
    std::vector<label> labels;
    bool drained = false;
    /// Estimated number of free slots: the last reported number minus the credits that were requested since, except by standing demands.
    /// Set to all slots by a status that arrives while the worker does not accept work, and to 0 when the agent is disconnected.
    std::uint32_t estimatedFreeSlots = 0;
    std::map<task_shape, std::uint32_t> credits;
    std::map<task_shape, std::uint32_t> demandedCredits;
    bool demandChanged = false;

    bool acceptsWork() const
    {
        return connected && status.present && !status.leaving && !drained;
    }
};

/// A class of tasks that may run on the same upstreams and need the same resources.
struct task_class {
    selector allowed;
    std::vector<label> labels;
    task_shape resources;
};

/**
 * Stores the state of the workers as known to an entry, and decides which of them can run a class of tasks.
 *
 * The generation number increases whenever the eligibility of a worker may have changed, so that callers can cache results.
 */
class worker_directory
{
public:
    /// Adds or reconnects an agent. The state of an agent with a new incarnation is reset.
    worker_view &connect(const hello &agent);

    /// Marks the agent as disconnected. Its state is kept until forget is called, and credits and demands are dropped.
    void disconnect(const std::string &agent, steady_time reconnectDeadline);

    void forget(const std::string &agent);

    /// Stores the status that the agent reported for its upstream. Ignored for an unknown agent or another incarnation.
    void updateStatus(const std::string &agent, const upstream_status &status, const configuration &current);

    /// Applies a new configuration to all workers.
    void applyConfiguration(const configuration &current);

    /// Returns the state of the agent, or nullptr if it is unknown.
    worker_view *find(const std::string &agent);

    /// Returns the state of all workers by agent name.
    std::map<std::string, worker_view> &workers();
    const std::map<std::string, worker_view> &workers() const;

    std::uint64_t generation() const;

    /// Returns whether the worker can run tasks of the class. Whether it accepts work at present is not considered.
    static bool isEligible(const task_class &taskClass, const worker_view &worker, const configuration &current);

private:
    static void refreshLabels(worker_view &worker, const configuration &current);

    std::map<std::string, worker_view> m_workers;
    std::uint64_t m_generation = 0;
};

}

#endif
