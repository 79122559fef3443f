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

/// How far a task is, as its owner knows.
enum class task_stage : std::uint8_t {
    waiting,
    /// Sent to an agent, with no outcome known.
    placed,
    ended,
};

/// A task in its owner's table.
struct owned_task {
    task_stage stage = task_stage::waiting;
    std::uint32_t taskClass = 0;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    std::uint32_t placementNumber = 0;
    /// True once the agent confirmed that the task runs, so that it cannot be taken back.
    bool confirmedRunning = false;
    task_outcome outcome;
    waiting_task queueEntry;
    steady_time placedAt;
};

/// How far a job is.
enum class job_stage : std::uint8_t {
    open,
    /// No more tasks are started; placed ones are taken back, and what must not run any more is made known to an agent.
    finalizing,
    /// The reply is final.
    closed,
};

/// How far it is with making known that a submission must not run any more.
enum class closure_stage : std::uint8_t {
    not_needed,
    required,
    sent,
    confirmed,
};

/// A job in its owner's table.
struct owned_job {
    job_request request;
    /// Hash of the whole submission, by which a resubmission with another body is told.
    std::uint64_t digest = 0;
    std::uint32_t shard = 0;
    unix_time deadline;
    steady_time admittedAt;
    std::vector<owned_task> tasks;
    std::uint32_t unfinishedTasks = 0;
    microseconds longestRun{0};
    job_stage stage = job_stage::open;
    closure_stage closure = closure_stage::not_needed;
    /// The agent that was asked to remember the closure, and when another one is asked.
    std::string closureAgent;
    steady_time closureDeadline;
    /// Whether the reply waits for tasks that are known to run.
    bool awaitsRunning = false;
    /// When the reply is given with what is then known.
    unix_time replyDeadline;
    /// When the first step towards the reply is taken if the job is still open.
    unix_time finalizeAt;
    job_reply reply;
    std::vector<waiting_request> waiting;
};

}

#endif
