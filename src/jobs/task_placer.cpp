#include "jobs/task_placer.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Interval at which demands that are not fulfilled are sent again, in case an agent has lost one.
constexpr seconds DEMAND_RESEND_INTERVAL{1};

/// Identifiers of unused classes are reused only from this number of classes on, so that runtime_estimator keeps their estimates.
constexpr std::size_t RETAINED_CLASSES = 1024;

/// Maximum number of agents with a standing demand for one class.
constexpr std::size_t MAX_STANDING_DEMANDS = 32;

std::string classKey(const selector &allowed, const std::vector<label> &labels, const task_shape &resources)
{
    std::string key = allowed.text() + '\n';
    for (const label &entry : labels) {
        key += entry.key + '=' + entry.value + '\n';
    }
    return key + std::to_string(resources.milliCores) + ' ' + std::to_string(resources.memoryMegabytes) + ' '
        + std::to_string(resources.accelerators);
}

std::uint32_t countOf(const std::map<task_shape, std::uint32_t> &counts, const task_shape &resources)
{
    const auto found = counts.find(resources);
    return found == counts.end() ? 0 : found->second;
}

}

task_placer::task_placer(
    const time_source &time, std::string dataCentre, const fleet_state &fleet, start_provider &provider, peer_outbox &outbox)
    : m_time(time)
    , m_dataCentre(std::move(dataCentre))
    , m_fleet(fleet)
    , m_startProvider(provider)
    , m_outbox(outbox)
{
}

worker_directory &task_placer::directory()
{
    return m_directory;
}

const worker_directory &task_placer::directory() const
{
    return m_directory;
}

std::uint32_t task_placer::acquireClass(const selector &allowed, const std::vector<label> &labels, const task_shape &resources)
{
    const std::string key = classKey(allowed, labels, resources);
    const auto known = m_classByKey.find(key);
    const std::uint32_t taskClass = known == m_classByKey.end() ? addClass(key) : known->second;
    class_view &view = *m_classes[taskClass];
    view.description = {allowed, labels, resources};
    ++view.activeTasks;
    return taskClass;
}

void task_placer::releaseClass(std::uint32_t taskClass)
{
    --m_classes.at(taskClass)->activeTasks;
}

std::uint32_t task_placer::addClass(const std::string &key)
{
    std::size_t position = m_classes.size();
    for (std::size_t tried = 0; tried < m_classes.size() && m_classes.size() >= RETAINED_CLASSES; ++tried) {
        m_searchPosition = (m_searchPosition + 1) % m_classes.size();
        if (m_classes[m_searchPosition]->activeTasks == 0) {
            position = m_searchPosition;
            m_classByKey.erase(m_classes[position]->key);
            break;
        }
    }
    if (position == m_classes.size()) {
        m_classes.push_back(nullptr);
    }
    m_classes[position] = std::make_unique<class_view>();
    m_classes[position]->key = key;
    m_classByKey[key] = static_cast<std::uint32_t>(position);
    return static_cast<std::uint32_t>(position);
}

void task_placer::enqueue(std::uint32_t taskClass, const std::string &team, const waiting_task &task)
{
    m_classes.at(taskClass)->queue.add(team, task);
    ++m_waiting;
}

void task_placer::dequeue(std::uint32_t taskClass, const std::string &team, const waiting_task &task)
{
    waiting_queue &queue = m_classes.at(taskClass)->queue;
    const std::size_t before = queue.size();
    queue.remove(team, task);
    m_waiting -= before - queue.size();
}

void task_placer::removePlacedTask(const std::string &team)
{
    std::uint32_t &placed = m_placedTasks[team];
    placed -= placed > 0 ? 1 : 0;
}

void task_placer::addPlacedTask(const std::string &team)
{
    ++m_placedTasks[team];
}

void task_placer::addCredits(const std::string &agent, const grant &value)
{
    worker_view *worker = m_directory.find(agent);
    if (worker == nullptr || worker->incarnation != value.agentIncarnation) {
        return;
    }
    worker->credits[value.credits.shape] += value.credits.count;
    std::uint32_t &demandedCredits = worker->demandedCredits[value.credits.shape];
    demandedCredits -= std::min(demandedCredits, value.credits.count);
    worker->estimatedFreeSlots = value.freeSlots;
    m_counters.creditsReceived += value.credits.count;
}

void task_placer::setFreeSlots(const std::string &agent, std::uint32_t freeSlots)
{
    worker_view *worker = m_directory.find(agent);
    if (worker != nullptr) {
        worker->estimatedFreeSlots = freeSlots;
    }
}

void task_placer::place()
{
    for (auto &[name, worker] : m_directory.workers()) {
        if (!worker.credits.empty()) {
            spendCredits(worker);
        }
    }
    for (std::uint32_t index = 0; index < m_classes.size(); ++index) {
        if (m_classes[index]->queue.size() > 0) {
            requestCredits(*m_classes[index], index);
        }
    }
    withdrawDemands();
    resendDemands();
    flushStarts();
    flushDemands();
}

void task_placer::setOwners(std::size_t owners)
{
    m_owners = std::max<std::size_t>(owners, 1);
}

const std::vector<std::string> &task_placer::eligibleWorkers(std::uint32_t taskClass)
{
    class_view &view = *m_classes.at(taskClass);
    if (view.generation == m_directory.generation()) {
        return view.workers;
    }
    view.generation = m_directory.generation();
    view.workers.clear();
    for (const auto &[name, worker] : m_directory.workers()) {
        if (worker_directory::isEligible(view.description, worker, m_fleet.currentConfiguration())) {
            view.workers.push_back(name);
        }
    }
    return view.workers;
}

std::size_t task_placer::waiting() const
{
    return m_waiting;
}

std::size_t task_placer::waiting(std::uint32_t taskClass) const
{
    return m_classes.at(taskClass)->queue.size();
}

std::uint32_t task_placer::placedTasks(const std::string &team) const
{
    const auto found = m_placedTasks.find(team);
    return found == m_placedTasks.end() ? 0 : found->second;
}

const placer_counters &task_placer::counters() const
{
    return m_counters;
}

std::optional<double> task_placer::weightedUsage(const std::string &team) const
{
    const team_settings *settings = m_fleet.currentConfiguration().team(team);
    const double weight = settings == nullptr ? 1.0 : settings->weight;
    const std::uint32_t quota = settings == nullptr ? 0 : settings->maxRunningTasks;
    const std::uint32_t used = placedTasks(team);
    if (quota > 0 && used >= (quota + m_owners - 1) / m_owners) {
        return std::nullopt;
    }
    return used / weight;
}

void task_placer::spendCredits(worker_view &worker)
{
    std::vector<task_shape> resourceAmounts;
    for (const auto &[resources, count] : worker.credits) {
        resourceAmounts.push_back(resources);
    }
    for (const task_shape &resources : resourceAmounts) {
        while (countOf(worker.credits, resources) > 0 && spendCredit(worker, resources)) { }
    }
    returnUnusedCredits(worker);
}

bool task_placer::spendCredit(worker_view &worker, const task_shape &resources)
{
    if (!worker.acceptsWork()) {
        return false;
    }
    for (std::uint32_t index = 0; index < m_classes.size(); ++index) {
        class_view &view = *m_classes[index];
        if (view.description.resources != resources || view.queue.size() == 0 || !isEligibleWorker(index, worker.name)) {
            continue;
        }
        const std::optional<waiting_task> task = view.queue.takeNext(*this);
        if (!task) {
            continue;
        }
        --m_waiting;
        --worker.credits[resources];
        startOn(worker, *task);
        return true;
    }
    return false;
}

void task_placer::startOn(worker_view &worker, const waiting_task &task)
{
    prepared_start prepared = m_startProvider.prepareStart(task, worker);
    start_tasks &batch = m_starts[{worker.name, task.jobId}];
    batch.key = prepared.key;
    batch.agentIncarnation = worker.incarnation;
    batch.deadlineMilliseconds = prepared.deadlineMilliseconds;
    batch.tasks.push_back(std::move(prepared.start));
    ++m_counters.starts;
}

void task_placer::requestCredits(class_view &view, std::uint32_t taskClass)
{
    const std::vector<std::string> &workers = eligibleWorkers(taskClass);
    std::uint32_t demanded = 0;
    std::vector<worker_view *> workersWithFreeSlots;
    for (const std::string &name : workers) {
        worker_view &worker = *m_directory.find(name);
        if (!worker.acceptsWork()) {
            continue;
        }
        demanded += countOf(worker.demandedCredits, view.description.resources);
        if (worker.estimatedFreeSlots > 0) {
            workersWithFreeSlots.push_back(&worker);
        }
    }
    const auto waiting = static_cast<std::uint32_t>(view.queue.size());
    if (demanded >= waiting) {
        return;
    }
    std::uint32_t missing = waiting - demanded;
    std::stable_sort(workersWithFreeSlots.begin(), workersWithFreeSlots.end(), [this](const worker_view *left, const worker_view *right) {
        const bool leftIsLocal = left->dataCentre == m_dataCentre;
        const bool rightIsLocal = right->dataCentre == m_dataCentre;
        return std::pair(!leftIsLocal, right->estimatedFreeSlots) < std::pair(!rightIsLocal, left->estimatedFreeSlots);
    });
    for (worker_view *worker : workersWithFreeSlots) {
        missing -= requestCreditsFrom(*worker, view.description.resources, missing);
    }
    if (missing > 0) {
        addStandingDemands(view, taskClass);
    }
}

std::uint32_t task_placer::requestCreditsFrom(worker_view &worker, const task_shape &resources, std::uint32_t wanted)
{
    const std::uint32_t count = std::min(wanted, worker.estimatedFreeSlots);
    if (count == 0) {
        return 0;
    }
    worker.estimatedFreeSlots -= count;
    worker.demandedCredits[resources] += count;
    worker.demandChanged = true;
    return count;
}

void task_placer::addStandingDemands(class_view &view, std::uint32_t taskClass)
{
    const auto waiting = static_cast<std::uint32_t>(view.queue.size());
    std::size_t demandCount = 0;
    for (const std::string &name : eligibleWorkers(taskClass)) {
        worker_view &worker = *m_directory.find(name);
        if (!worker.acceptsWork() || demandCount >= MAX_STANDING_DEMANDS) {
            continue;
        }
        ++demandCount;
        std::uint32_t &demandedCredits = worker.demandedCredits[view.description.resources];
        // A demand is renewed only when about half of it is used up, so that a long queue does not cost one message per slot.
        if (demandedCredits < std::min(waiting, worker.status.slots / 2 + 1)) {
            demandedCredits = std::min(waiting, worker.status.slots);
            worker.demandChanged = true;
        }
    }
}

void task_placer::withdrawDemands()
{
    for (auto &[name, worker] : m_directory.workers()) {
        for (auto &[resources, count] : worker.demandedCredits) {
            if (count > 0 && waitingFor(worker, resources) == 0) {
                count = 0;
                worker.demandChanged = true;
                ++m_counters.demandsWithdrawn;
            }
        }
    }
}

void task_placer::resendDemands()
{
    if (m_time.steadyNow() < m_nextDemandResend) {
        return;
    }
    m_nextDemandResend = m_time.steadyNow() + DEMAND_RESEND_INTERVAL;
    for (auto &[name, worker] : m_directory.workers()) {
        const bool hasDemand
            = std::any_of(worker.demandedCredits.begin(), worker.demandedCredits.end(), [](const auto &entry) { return entry.second > 0; });
        worker.demandChanged = worker.demandChanged || hasDemand;
    }
}

void task_placer::returnUnusedCredits(worker_view &worker)
{
    for (const auto &[resources, count] : worker.credits) {
        if (count > 0) {
            m_counters.creditsReturned += count;
            m_outbox.send(worker.name, credit_return{worker.incarnation, {resources, count}});
        }
    }
    worker.credits.clear();
}

void task_placer::flushStarts()
{
    for (auto &[key, batch] : m_starts) {
        worker_view *worker = m_directory.find(key.first);
        if (worker != nullptr) {
            batch.standing = demandOf(*worker);
            worker->demandChanged = false;
        }
        ++m_counters.startMessages;
        m_outbox.send(key.first, std::move(batch));
    }
    m_starts.clear();
}

void task_placer::flushDemands()
{
    for (auto &[name, worker] : m_directory.workers()) {
        if (!worker.demandChanged) {
            continue;
        }
        worker.demandChanged = false;
        ++m_counters.demandsSent;
        m_outbox.send(name, demandOf(worker));
    }
}

demand task_placer::demandOf(const worker_view &worker) const
{
    demand result;
    steady_time oldest = m_time.steadyNow();
    for (const auto &[resources, count] : worker.demandedCredits) {
        if (count == 0) {
            continue;
        }
        result.wanted.push_back({resources, count});
        for (const auto &view : m_classes) {
            if (view->description.resources == resources) {
                oldest = std::min(oldest, view->queue.oldestWaitStart().value_or(oldest));
            }
        }
    }
    result.oldestWaitMicroseconds = (m_time.steadyNow() - oldest).count();
    return result;
}

std::size_t task_placer::waitingFor(const worker_view &worker, const task_shape &resources)
{
    std::size_t waiting = 0;
    for (std::uint32_t index = 0; index < m_classes.size(); ++index) {
        const class_view &view = *m_classes[index];
        if (view.description.resources == resources && view.queue.size() > 0 && isEligibleWorker(index, worker.name)) {
            waiting += view.queue.size();
        }
    }
    return waiting;
}

bool task_placer::isEligibleWorker(std::uint32_t taskClass, const std::string &worker)
{
    const std::vector<std::string> &workers = eligibleWorkers(taskClass);
    return std::binary_search(workers.begin(), workers.end(), worker);
}

}
