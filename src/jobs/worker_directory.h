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

/// What an entry knows of one agent and the upstream beside it.
struct worker_view {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    bool connected = false;
    /// When a disconnected agent is given up.
    steady_time reconnectDeadline;
    upstream_status status;
    /// Announced labels with those of the operators over them.
    std::vector<label> labels;
    bool drained = false;
    /// Slots that are believed to be free, as of the agent's last message and what was asked for since.
    std::uint32_t estimatedFreeSlots = 0;
    std::map<task_shape, std::uint32_t> credits;
    std::map<task_shape, std::uint32_t> demandedCredits;
    bool demandChanged = false;

    /// Returns whether new work may be sent to the upstream.
    bool acceptsWork() const
    {
        return connected && status.present && !status.leaving && !drained;
    }
};

/// Tasks that may run on the same upstreams and occupy the same there.
struct task_class {
    selector allowed;
    std::vector<label> labels;
    task_shape resources;
};

/**
 * Keeps what an entry knows of the workers, and answers which of them fit a class of tasks.
 *
 * A generation number rises whenever an answer may have changed, so that callers can keep answers until then.
 */
class worker_directory
{
public:
    /// Notes a connection. An agent that returns with another incarnation starts with a clean view.
    worker_view &connect(const hello &agent);

    /// Notes that the connection is gone; the view is kept until the deadline.
    void disconnect(const std::string &agent, steady_time reconnectDeadline);

    /// Forgets the agent.
    void forget(const std::string &agent);

    /// Notes what an agent says of its upstream.
    void updateStatus(const std::string &agent, const upstream_status &status, const configuration &current);

    /// Applies a new configuration to all views.
    void applyConfiguration(const configuration &current);

    /// Returns the view of the agent, or null.
    worker_view *find(const std::string &agent);

    /// Returns all views by name.
    std::map<std::string, worker_view> &workers();
    const std::map<std::string, worker_view> &workers() const;

    /// Returns a number that rises whenever matching may have changed.
    std::uint64_t generation() const;

    /// Returns whether tasks of the class may run on the worker, whether or not it accepts work now.
    static bool isEligible(const task_class &tasks, const worker_view &worker, const configuration &current);

private:
    static void refreshLabels(worker_view &worker, const configuration &current);

    std::map<std::string, worker_view> m_workers;
    std::uint64_t m_generation = 0;
};

}

#endif
