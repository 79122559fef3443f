#ifndef AZUREMOOR_JOBS_OWNED_JOB_H
#define AZUREMOOR_JOBS_OWNED_JOB_H

#include <optional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "jobs/waiting_queue.h"
#include "messages/messages.h"

namespace azuremoor
{

/// State of a task, as known to its owner.
enum class task_stage : std::uint8_t {
    waiting,
    /// Sent to an agent; its outcome is not known yet.
    placed,
    ended,
};

/// A task of a job in the table of its owner.
struct owned_task {
    task_stage stage = task_stage::waiting;
    /// Identifier of the class of the task. See task_placer::acquireClass.
    std::uint32_t taskClass = 0;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    std::uint32_t placementNumber = 0;
    /// Whether the agent has confirmed that the task runs. Its placement can then no longer be revoked.
    bool confirmedRunning = false;
    task_outcome outcome;
    waiting_task queueEntry;
    steady_time placedAt;
};

/// State of a job.
enum class job_stage : std::uint8_t {
    open,
    /// No more tasks are started, unconfirmed placements are revoked, and an agent records the tombstone if tasks were not run.
    finalizing,
    /// The reply is final and has been sent to the waiting callers. Unrelated to tombstone_stage.
    closed,
};

/// Progress of recording, in the ledger of an agent, that no task of the submission may start any more.
enum class tombstone_stage : std::uint8_t {
    not_needed,
    required,
    sent,
    confirmed,
};

/// A job in the table of its owner.
struct owned_job {
    job_request request;
    /// Hash of the submission, to detect a different job under the same identifier. See digestOf.
    std::uint64_t digest = 0;
    std::uint32_t shard = 0;
    unix_time deadline;
    steady_time admittedAt;
    std::vector<owned_task> tasks;
    std::uint32_t unfinishedTasks = 0;
    microseconds longestRun{0};
    job_stage stage = job_stage::open;
    tombstone_stage tombstone = tombstone_stage::not_needed;
    /// The agent that was asked last to record the tombstone.
    std::string tombstoneAgent;
    /// When another agent is asked instead.
    steady_time tombstoneDeadline;
    /// Whether the reply waits for tasks that are confirmed to run.
    bool awaitsRunning = false;
    /// When the reply is sent at the latest, with the outcomes known by then.
    unix_time replyDeadline;
    /// When finalizing begins if the job is still open.
    unix_time finalizeAt;
    job_reply reply;
    /// Requests of callers that wait for the final reply.
    std::vector<waiting_request> waiting;
};

}

#endif
