#ifndef AZUREMOOR_JOBS_TASK_TRACKER_H
#define AZUREMOOR_JOBS_TASK_TRACKER_H

#include <cstdint>
#include <set>
#include <string>

#include "fleet/peer_outbox.h"
#include "jobs/job_observer.h"
#include "jobs/job_table.h"
#include "jobs/owner_counters.h"
#include "jobs/runtime_estimator.h"
#include "jobs/shard_state_tracker.h"
#include "jobs/task_placements.h"
#include "jobs/task_placer.h"

namespace azuremoor
{

/// Objects of the owner that a task tracker uses. All must outlive it.
struct task_tracker_environment {
    const time_source &time;
    const fleet_state &fleet;
    const shard_state_tracker &shardStates;
    job_table &jobs;
    peer_outbox &outbox;
    job_observer &observer;
    owner_counters &counters;
};

/**
 * Moves the tasks of jobs between their stages: waiting in the queue of the placer, placed on an agent, and ended.
 *
 * Keeps the queue, the placements by agent, the usage of the teams and the run times of the classes consistent with the stages.
 */
class task_tracker : private start_provider
{
public:
    /// Workers in dataCentre, the data centre of this entry, are preferred.
    task_tracker(const task_tracker_environment &environment, const std::string &dataCentre);

    /// Returns the placer, which chooses the workers of waiting tasks.
    task_placer &placer();
    const task_placer &placer() const;

    /// Returns how long the tasks of each class run.
    const runtime_estimator &runtimes() const;

    /// Returns the key of the submission under the current epoch of its shard.
    submission_key keyOf(const owned_job &job) const;

    /// Assigns each task of a new job to its class.
    void assignClasses(owned_job &job);

    /// Queues the waiting tasks of the job. The job owner has to place tasks afterwards.
    void enqueueWaiting(owned_job &job);

    /// Removes the waiting tasks of the job from the queue. They stay in the stage waiting.
    void dequeueWaiting(const owned_job &job);

    /// Queues a placed task again that was not run. The job owner has to place tasks afterwards.
    void requeue(owned_job &job, std::uint32_t index);

    /// Ends the task with the outcome. Does nothing if it has ended.
    void end(owned_job &job, std::uint32_t index, task_outcome outcome);

    /// Marks a task that is not queued as running on an agent, as the ledger entry of the agent says. Ends it as may_have_run if the agent
    /// was lost.
    void adoptRunning(owned_job &job, std::uint32_t index, const ledger_entry &entry);

    /// Sets the state of a task of a new job from the table of the previous owner.
    void install(owned_job &job, std::uint32_t index, transferred_task from);

    /// Asks the agents to revoke the placed tasks of the job that are not confirmed to run.
    void revokeUnconfirmed(const owned_job &job);

    /// Releases the queue entries, placements and classes of the job, which is no longer owned.
    void release(const owned_job &job);

    /// Returns the tasks that are placed on the agent.
    const std::set<placed_task> &placementsAt(const std::string &agent) const;

    /// Removes and returns the tasks that are placed on the agent. Their stage is still placed.
    std::set<placed_task> takePlacements(const std::string &agent);

private:
    prepared_start prepareStart(const waiting_task &waiting, const worker_view &worker) override;
    void enqueue(owned_job &job, std::uint32_t index);
    void removePlacement(const owned_job &job, std::uint32_t index);

    const time_source &m_time;
    const shard_state_tracker &m_shardStates;
    job_table &m_jobs;
    peer_outbox &m_outbox;
    job_observer &m_observer;
    owner_counters &m_counters;
    task_placer m_placer;
    runtime_estimator m_runtimes;
    task_placements m_placements;
    std::uint64_t m_nextQueueSequence = 0;
};

}

#endif
