#include "jobs/task_tracker.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace azuremoor
{

task_tracker::task_tracker(const task_tracker_environment &environment, const std::string &dataCentre)
    : m_time(environment.time)
    , m_shardStates(environment.shardStates)
    , m_jobs(environment.jobs)
    , m_outbox(environment.outbox)
    , m_observer(environment.observer)
    , m_counters(environment.counters)
    , m_placer(m_time, dataCentre, environment.fleet, *this, m_outbox)
{
}

task_placer &task_tracker::placer()
{
    return m_placer;
}

const task_placer &task_tracker::placer() const
{
    return m_placer;
}

const runtime_estimator &task_tracker::runtimes() const
{
    return m_runtimes;
}

submission_key task_tracker::keyOf(const owned_job &job) const
{
    return {job.request.id, job.request.attempt, m_shardStates.epoch(job.shard)};
}

void task_tracker::assignClasses(owned_job &job)
{
    const auto allowed = selector::parse(job.request.selector);
    std::vector<label> labels = job.request.labels;
    // Selectors look at the first label of a key. A caller must not evade the rules of its team with a label of its own.
    std::erase_if(labels, [](const label &each) { return each.key == "team"; });
    labels.push_back({"team", job.request.team});
    std::sort(labels.begin(), labels.end());
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        job.tasks[index].taskClass = m_placer.acquireClass(allowed.value_or(selector()), labels, job.request.tasks[index].shape);
    }
}

void task_tracker::enqueueWaiting(owned_job &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        if (job.tasks[index].stage == task_stage::waiting) {
            enqueue(job, index);
        }
    }
}

void task_tracker::dequeueWaiting(const owned_job &job)
{
    for (const owned_task &task : job.tasks) {
        if (task.stage == task_stage::waiting) {
            m_placer.dequeue(task.taskClass, job.request.team, task.queueEntry);
        }
    }
}

void task_tracker::requeue(owned_job &job, std::uint32_t index)
{
    ++m_counters.requeued;
    removePlacement(job, index);
    enqueue(job, index);
}

void task_tracker::end(owned_job &job, std::uint32_t index, task_outcome outcome)
{
    owned_task &task = job.tasks[index];
    if (task.stage == task_stage::ended) {
        return;
    }
    microseconds ran(0);
    if (task.stage == task_stage::placed) {
        ran = m_time.steadyNow() - task.placedAt;
        removePlacement(job, index);
    } else {
        m_placer.dequeue(task.taskClass, job.request.team, task.queueEntry);
    }
    job.longestRun = std::max(job.longestRun, ran);
    if (outcome.isAnswered() && ran > microseconds(0)) {
        m_runtimes.record(task.taskClass, ran);
    }
    const microseconds waited = ran > microseconds(0) ? task.placedAt - job.admittedAt : m_time.steadyNow() - job.admittedAt;
    m_observer.taskEnded(outcome.outcome, waited, ran);
    m_placer.releaseClass(task.taskClass);
    task.stage = task_stage::ended;
    task.outcome = std::move(outcome);
    --job.unfinishedTasks;
}

void task_tracker::adoptRunning(owned_job &job, std::uint32_t index, const ledger_entry &entry)
{
    const worker_view *worker = m_placer.directory().find(entry.agent);
    if (worker == nullptr || worker->incarnation != entry.agentIncarnation) {
        end(job, index, {verdict::may_have_run, {}, "its agent was lost"});
        return;
    }
    owned_task &task = job.tasks[index];
    task.stage = task_stage::placed;
    task.agent = entry.agent;
    task.agentIncarnation = entry.agentIncarnation;
    task.confirmedRunning = true;
    task.placedAt = m_time.steadyNow();
    m_placements.add(entry.agent, {job.request.id, index});
    m_placer.addPlacedTask(job.request.team);
}

void task_tracker::install(owned_job &job, std::uint32_t index, transferred_task from)
{
    owned_task &task = job.tasks[index];
    task.agent = from.agent;
    task.agentIncarnation = from.agentIncarnation;
    task.placementNumber = from.number;
    if (from.ended) {
        m_placer.releaseClass(task.taskClass);
        task.stage = task_stage::ended;
        task.outcome = std::move(from.outcome);
        --job.unfinishedTasks;
    } else if (from.placed) {
        task.stage = task_stage::placed;
        // The previous owner placed the task before this owner queries the agent. The earlier time makes ledger_recovery revoke the task
        // if it is missing from the ledger.
        task.placedAt = m_time.steadyNow() - milliseconds(1);
        m_placements.add(task.agent, {job.request.id, index});
        m_placer.addPlacedTask(job.request.team);
    } else {
        enqueue(job, index);
    }
}

void task_tracker::revokeUnconfirmed(const owned_job &job)
{
    std::map<std::pair<std::string, std::uint64_t>, std::vector<task_placement>> placements;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const owned_task &task = job.tasks[index];
        if (task.stage == task_stage::placed && !task.confirmedRunning) {
            placements[{task.agent, task.agentIncarnation}].push_back({index, task.placementNumber});
        }
    }
    for (auto &[agent, list] : placements) {
        m_counters.revocations += list.size();
        m_outbox.send(agent.first, revoke_tasks{keyOf(job), agent.second, std::move(list)});
    }
}

void task_tracker::release(const owned_job &job)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const owned_task &task = job.tasks[index];
        if (task.stage == task_stage::waiting) {
            m_placer.dequeue(task.taskClass, job.request.team, task.queueEntry);
        } else if (task.stage == task_stage::placed) {
            removePlacement(job, index);
        }
        if (task.stage != task_stage::ended) {
            m_placer.releaseClass(task.taskClass);
        }
    }
}

const std::set<placed_task> &task_tracker::placementsAt(const std::string &agent) const
{
    return m_placements.at(agent);
}

std::set<placed_task> task_tracker::takePlacements(const std::string &agent)
{
    return m_placements.take(agent);
}

prepared_start task_tracker::prepareStart(const waiting_task &waiting, const worker_view &worker)
{
    owned_job &job = *m_jobs.find(waiting.jobId);
    owned_task &task = job.tasks[waiting.taskIndex];
    task.stage = task_stage::placed;
    task.agent = worker.name;
    task.agentIncarnation = worker.incarnation;
    task.confirmedRunning = false;
    task.placedAt = m_time.steadyNow();
    ++task.placementNumber;
    m_placements.add(worker.name, {job.request.id, waiting.taskIndex});
    m_placer.addPlacedTask(job.request.team);
    return {keyOf(job), job.request.deadlineMilliseconds, {waiting.taskIndex, task.placementNumber, job.request.tasks[waiting.taskIndex]}};
}

void task_tracker::enqueue(owned_job &job, std::uint32_t index)
{
    owned_task &task = job.tasks[index];
    task.stage = task_stage::waiting;
    task.queueEntry = {job.deadline, m_nextQueueSequence++, job.request.id, index, m_time.steadyNow()};
    m_placer.enqueue(task.taskClass, job.request.team, task.queueEntry);
}

void task_tracker::removePlacement(const owned_job &job, std::uint32_t index)
{
    m_placements.remove(job.tasks[index].agent, {job.request.id, index});
    m_placer.removePlacedTask(job.request.team);
}

}
