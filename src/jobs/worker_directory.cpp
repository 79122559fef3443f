#include "jobs/worker_directory.h"

namespace azuremoor
{

namespace
{

/// A capacity of 0 means no limit.
bool fitsDimension(std::uint32_t wanted, std::uint32_t capacity)
{
    return capacity == 0 || wanted <= capacity;
}

bool fitsCapacity(const task_shape &resources, const task_shape &capacity)
{
    return fitsDimension(resources.milliCores, capacity.milliCores) && fitsDimension(resources.memoryMegabytes, capacity.memoryMegabytes)
        && fitsDimension(resources.accelerators, capacity.accelerators);
}

}

worker_view &worker_directory::connect(const hello &agent)
{
    worker_view &worker = m_workers[agent.name];
    if (worker.incarnation != agent.incarnation) {
        worker = worker_view{};
    }
    worker.name = agent.name;
    worker.incarnation = agent.incarnation;
    worker.dataCentre = agent.dataCentre;
    worker.connected = true;
    worker.credits.clear();
    worker.demandedCredits.clear();
    ++m_generation;
    return worker;
}

void worker_directory::disconnect(const std::string &agent, steady_time reconnectDeadline)
{
    worker_view *worker = find(agent);
    if (worker == nullptr) {
        return;
    }
    worker->connected = false;
    worker->reconnectDeadline = reconnectDeadline;
    worker->credits.clear();
    worker->demandedCredits.clear();
    worker->estimatedFreeSlots = 0;
    ++m_generation;
}

void worker_directory::forget(const std::string &agent)
{
    m_workers.erase(agent);
    ++m_generation;
}

void worker_directory::updateStatus(const std::string &agent, const upstream_status &status, const configuration &current)
{
    worker_view *worker = find(agent);
    if (worker == nullptr || worker->incarnation != status.agentIncarnation) {
        return;
    }
    const bool wasAccepting = worker->acceptsWork();
    worker->status = status;
    refreshLabels(*worker, current);
    if (!wasAccepting) {
        // Until the agent reports the number of free slots, all slots are assumed to be free.
        worker->estimatedFreeSlots = status.slots;
    }
    ++m_generation;
}

void worker_directory::applyConfiguration(const configuration &current)
{
    for (auto &[name, worker] : m_workers) {
        refreshLabels(worker, current);
    }
    ++m_generation;
}

worker_view *worker_directory::find(const std::string &agent)
{
    const auto found = m_workers.find(agent);
    return found == m_workers.end() ? nullptr : &found->second;
}

std::map<std::string, worker_view> &worker_directory::workers()
{
    return m_workers;
}

const std::map<std::string, worker_view> &worker_directory::workers() const
{
    return m_workers;
}

std::uint64_t worker_directory::generation() const
{
    return m_generation;
}

bool worker_directory::isEligible(const task_class &taskClass, const worker_view &worker, const configuration &current)
{
    return worker.status.slots > 0 && fitsCapacity(taskClass.resources, worker.status.capacity) && taskClass.allowed.matches(worker.labels)
        && current.allows(taskClass.labels, worker.labels);
}

void worker_directory::refreshLabels(worker_view &worker, const configuration &current)
{
    worker.labels = current.effectiveLabels(worker.status.labels);
    worker.drained = current.isDrained(worker.labels);
}

}
