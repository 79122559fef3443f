#ifndef AZUREMOOR_MESSAGES_MESSAGES_H
#define AZUREMOOR_MESSAGES_MESSAGES_H

#include <variant>

#include "messages/crash_messages.h"
#include "messages/entry_messages.h"
#include "messages/evacuation_messages.h"
#include "messages/handover_messages.h"
#include "messages/job_request.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/// Role of a process in the fleet.
enum class member_role : std::uint8_t {
    entry = 0,
    agent = 1,
};

/// First message in both directions on every connection. It identifies the sender.
struct hello {
    std::string name;
    member_role role = member_role::entry;
    /// Identifier of this process start; different after every restart.
    std::uint64_t incarnation = 0;
    std::string dataCentre;
    std::string rack;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, name);
        archiveEnumeration(archive, role, member_role::agent);
        archive(incarnation);
        archiveText(archive, dataCentre);
        archiveText(archive, rack);
    }
};

/// Heartbeat from an agent or entry to an entry.
struct ping {
    /// Steady clock of the sender in microseconds. The pong returns it unchanged.
    std::int64_t sentMicroseconds = 0;
    /// Offset of the last control stream record that the sender has applied.
    std::uint64_t controlOffset = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sentMicroseconds, controlOffset);
    }
};

/// Reply of an entry to a heartbeat, with its position in the control stream.
struct pong {
    /// `sentMicroseconds` of the ping.
    std::int64_t echoedMicroseconds = 0;
    /// Offset of the last control stream record that the sender has applied.
    std::uint64_t controlOffset = 0;
    /// Time since the start of the sender's latest complete read of the control stream from the log, in microseconds; negative if there was
    /// none.
    std::int64_t logAgeMicroseconds = -1;
    /// Known entries from which the sender has received nothing within the suspicion timeout.
    std::vector<std::string> suspects;
    /// True once the sender has started a planned stop.
    bool leaving = false;
    /// Entries whose handed-over jobs have runs at the agent. The ages count back from `echoedMicroseconds`.
    std::vector<origin_age> origins{};

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(echoedMicroseconds, controlOffset, logAgeMicroseconds);
        archiveNames(archive, suspects);
        archiveBool(archive, leaving);
        archiveList<MAX_ORIGINS>(archive, origins);
    }
};

/// Asks an entry for the control stream records starting at an offset.
struct control_fetch {
    std::uint64_t fromOffset = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(fromOffset);
    }
};

/// A control stream record in a message between processes.
struct control_record {
    std::uint64_t offset = 0;
    std::string body;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset);
        archiveText<8 * 1024 * 1024>(archive, body);
    }
};

/// Consecutive records of the control stream.
struct control_records {
    /// `records` contains every record after this offset, without gaps, up to its last element.
    std::uint64_t afterOffset = 0;
    std::vector<control_record> records;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(afterOffset);
        archiveList(archive, records);
    }
};

/// Fleet state at an offset of the control stream, as JSON. It is sent to a reader that needs older records than the sender still has.
struct control_state {
    std::uint64_t offset = 0;
    std::string state;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset);
        archiveText<8 * 1024 * 1024>(archive, state);
    }
};

/// State of the upstream that an agent serves. The agent sends it to entries whenever it changes.
struct upstream_status {
    std::uint64_t agentIncarnation = 0;
    /// False if no upstream has announced itself to the agent within the announcement timeout.
    bool present = false;
    /// True once the upstream or its agent has started to leave.
    bool leaving = false;
    std::string name;
    std::vector<label> labels;
    /// Number of tasks that the upstream can run at the same time.
    std::uint32_t slots = 0;
    task_shape capacity;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation);
        archiveBool(archive, present);
        archiveBool(archive, leaving);
        archiveText(archive, name);
        archiveList(archive, labels);
        archive(slots, capacity);
    }
};

/// A number of tasks or credits with the same shape.
struct shape_count {
    task_shape shape;
    std::uint32_t count = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shape, count);
    }
};

/// Standing demand of an entry for credits of an agent. It replaces the previous demand of this entry.
struct demand {
    std::vector<shape_count> wanted;
    /// Time that the oldest waiting task has spent waiting so far, in microseconds.
    std::int64_t oldestWaitMicroseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList<64>(archive, wanted);
        archive(oldestWaitMicroseconds);
    }
};

/// Grants credits of an agent to an entry. Each credit reserves a slot for starting one task, so that the start is not refused for lack
/// of a slot.
struct grant {
    std::uint64_t agentIncarnation = 0;
    shape_count credits;
    /// Number of slots that are neither in use nor reserved by credits.
    std::uint32_t freeSlots = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation, credits, freeSlots);
    }
};

/// Returns credits that an entry no longer needs.
struct credit_return {
    std::uint64_t agentIncarnation = 0;
    shape_count credits;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation, credits);
    }
};

/// A task to start, with the number of its placement.
struct task_start {
    /// Position of the task in its job, from 0.
    std::uint32_t index = 0;
    /// Number of this placement. Increases with every placement of the task within the current epoch.
    std::uint32_t number = 0;
    task_request task;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, number, task);
    }
};

/// Identifies a submission and the shard ownership epoch in which a message about it was sent.
struct submission_key {
    std::string jobId;
    std::uint32_t attempt = 1;
    std::uint64_t epoch = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, jobId);
        archive(attempt, epoch);
    }
};

/// Starts tasks of a job at an agent. Each task consumes one credit for its shape.
struct start_tasks {
    submission_key key;
    std::uint64_t agentIncarnation = 0;
    std::int64_t deadlineMilliseconds = 0;
    std::vector<task_start> tasks;
    /// New standing demand of the sender, included here to save a separate message.
    demand standing;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation, deadlineMilliseconds);
        archiveList<MAX_TASKS_PER_JOB>(archive, tasks);
        archive(standing);
    }
};

/// Outcome of a placement of a task.
struct task_result {
    /// Position of the task in its job, from 0.
    std::uint32_t index = 0;
    /// Number of the placement.
    std::uint32_t number = 0;
    task_outcome outcome;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, number, outcome);
    }
};

/// Task outcomes that an agent reports to the owner of the job.
struct task_results {
    submission_key key;
    std::uint64_t agentIncarnation = 0;
    std::vector<task_result> results;
    /// Number of slots that are neither in use nor reserved by credits.
    std::uint32_t freeSlots = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation);
        archiveList<MAX_TASKS_PER_JOB>(archive, results);
        archive(freeSlots);
    }
};

/// Tells an agent that the answers of these submissions were delivered and no longer need to be stored.
struct results_delivered {
    std::vector<submission_key> submissions;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList(archive, submissions);
    }
};

/// Identifies a placement of a task.
struct task_placement {
    /// Position of the task in its job, from 0.
    std::uint32_t index = 0;
    /// Number of the placement.
    std::uint32_t number = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, number);
    }
};

/// Revokes placements. The agent answers with revoke_results and refuses their starts if these arrive later.
struct revoke_tasks {
    submission_key key;
    std::uint64_t agentIncarnation = 0;
    std::vector<task_placement> placements;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation);
        archiveList<MAX_TASKS_PER_JOB>(archive, placements);
    }
};

/// State of a placement at the agent when it was revoked.
enum class revoke_state : std::uint8_t {
    /// This placement has not started the task and will not start it.
    blocked = 0,
    running = 1,
    ended = 2,
};

/// Result of revoking one placement.
struct revoke_result {
    task_placement placement;
    revoke_state state = revoke_state::blocked;
    /// Not set if the task is running.
    task_outcome outcome;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(placement);
        archiveEnumeration(archive, state, revoke_state::ended);
        archive(outcome);
    }
};

/// Answer of an agent to revoke_tasks.
struct revoke_results {
    submission_key key;
    std::uint64_t agentIncarnation = 0;
    std::vector<revoke_result> results;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation);
        archiveList<MAX_TASKS_PER_JOB>(archive, results);
    }
};

/// Closes a submission at an agent: the agent records in its ledger that none of its tasks may start any more.
struct close_submission {
    submission_key key;
    std::int64_t deadlineMilliseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, deadlineMilliseconds);
    }
};

/// Confirms that the agent has recorded the closed submission in its ledger.
struct submission_closed {
    submission_key key;
    std::uint64_t agentIncarnation = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation);
    }
};

/// A shard and its ownership epoch.
struct shard_epoch {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shard, epoch);
    }
};

/// Asks an agent for its ledger entries of shards after a change of ownership. The agent also raises the fencing epoch of these shards and
/// from then on refuses messages with a lower epoch.
struct recovery_query {
    /// Maximum number of shards in a query.
    static constexpr std::size_t SHARD_LIST_LIMIT = 1024;

    std::uint64_t agentIncarnation = 0;
    std::vector<shard_epoch> shards;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation);
        archiveList<SHARD_LIST_LIMIT>(archive, shards);
    }
};

/// State of a ledger entry, which concerns one task or a whole submission.
enum class ledger_state : std::uint8_t {
    /// The task was started and, as far as the agent knows, has not ended.
    running = 0,
    /// The task has ended; its outcome is recorded.
    ended = 1,
    /// The whole submission is closed; none of its tasks may start any more.
    closed = 2,
};

/// Entry of an agent's ledger in a message. The ledger is the agent's record of the tasks that it has started, of refused and revoked
/// starts, and of closed submissions. Refused and revoked starts have no ledger_state, because the agent does not send them.
struct ledger_entry {
    std::string jobId;
    std::uint32_t attempt = 1;
    /// Position of the task in its job, from 0; unused if the state is closed.
    std::uint32_t index = 0;
    ledger_state state = ledger_state::running;
    /// Valid only if the state is `ended`.
    task_outcome outcome;
    std::int64_t deadlineMilliseconds = 0;
    /// Agent that recorded the entry. Agents leave it empty; an owner fills it in before it forwards the entry.
    std::string agent;
    /// Incarnation of that agent; 0 as long as the name is empty.
    std::uint64_t agentIncarnation = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, jobId);
        archive(attempt, index);
        archiveEnumeration(archive, state, ledger_state::closed);
        archive(outcome, deadlineMilliseconds);
        archiveText(archive, agent);
        archive(agentIncarnation);
    }
};

/// Part of the answer to a recovery_query. Large ledgers are split into several parts.
struct ledger_chunk {
    std::uint64_t agentIncarnation = 0;
    std::vector<shard_epoch> shards;
    /// Position of this part in the answer, from 0.
    std::uint32_t sequence = 0;
    bool last = false;
    std::vector<ledger_entry> entries;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation);
        archiveList<recovery_query::SHARD_LIST_LIMIT>(archive, shards);
        archive(sequence);
        archiveBool(archive, last);
        archiveList(archive, entries);
    }
};

/// Part of the ledger of a leaving agent. An entry forwards it to another agent, which takes it over.
struct ledger_handover {
    /// Name of the leaving agent.
    std::string origin{};
    /// Position of this part in the ledger, from 0.
    std::uint32_t sequence = 0;
    bool last = false;
    std::vector<ledger_entry> entries;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, origin);
        archive(sequence);
        archiveBool(archive, last);
        archiveList(archive, entries);
    }
};

/// Answer to a ledger_handover.
struct ledger_received {
    /// Name of the leaving agent.
    std::string origin{};
    /// Position of this part in the ledger, from 0.
    std::uint32_t sequence = 0;
    /// False if no agent could take over the part.
    bool accepted = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, origin);
        archive(sequence);
        archiveBool(archive, accepted);
    }
};

/// Submission that an entry received from a caller and forwards to the owner of the job.
struct forwarded_submission {
    /// Chosen by the forwarding entry and returned in the reply.
    std::uint64_t requestId = 0;
    job_request job;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, job);
    }
};

/// Status query or cancellation of a job that an entry forwards to the owner.
struct forwarded_query {
    /// Chosen by the forwarding entry and returned in the reply.
    std::uint64_t requestId = 0;
    std::string jobId;
    /// True to cancel the job, false to query its status.
    bool cancel = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId);
        archiveText(archive, jobId);
        archiveBool(archive, cancel);
    }
};

/// Kind of a job_reply: the state of the submission.
enum class reply_kind : std::uint8_t {
    /// Ended, and every task has an answer.
    complete = 0,
    /// Ended, and at least one task has no answer.
    failed = 1,
    /// Not admitted.
    refused = 2,
    /// Admitted but not ended.
    pending = 3,
    /// Not known to the owner.
    unknown = 4,
};

/// Reply of the owner about a submission, sent to an entry at which a caller waits.
struct job_reply {
    std::uint64_t requestId = 0;
    std::string jobId;
    std::uint32_t attempt = 1;
    reply_kind kind = reply_kind::unknown;
    /// Whether the tasks of a refused submission may have run.
    verdict refusal = verdict::may_have_run;
    /// HTTP status code of a refusal.
    std::uint32_t status = 0;
    /// Time after which a refused caller may retry, in milliseconds; 0 if retrying is pointless.
    std::uint32_t retryAfterMilliseconds = 0;
    /// Reason for a refusal or a failure.
    std::string reason;
    /// Names of the tasks, in their order in the job.
    std::vector<std::string> taskNames;
    std::vector<task_outcome> tasks;
    /// Number of tasks that have ended so far if the job is pending.
    std::uint32_t endedTasks = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId);
        archiveText(archive, jobId);
        archive(attempt);
        archiveEnumeration(archive, kind, reply_kind::unknown);
        archiveEnumeration(archive, refusal, verdict::may_have_run);
        archive(status, retryAfterMilliseconds);
        archiveText<4096>(archive, reason);
        archiveNames(archive, taskNames);
        archiveList<MAX_TASKS_PER_JOB>(archive, tasks);
        archive(endedTasks);
    }
};

/// A request that waits at an entry for the end of a job.
struct waiting_request {
    std::string entry;
    std::uint64_t requestId = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, entry);
        archive(requestId);
    }
};

/// A task of a transferred_job.
struct transferred_task {
    /// True if the task was sent to an agent and has not ended.
    bool placed = false;
    bool ended = false;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
    /// Number of the placement.
    std::uint32_t number = 0;
    task_outcome outcome;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveBool(archive, placed);
        archiveBool(archive, ended);
        archiveText(archive, agent);
        archive(agentIncarnation, number, outcome);
    }
};

/// A job whose ownership moves to another entry during a planned stop.
struct transferred_job {
    job_request job;
    /// Hash of the whole submission. It tells a resubmission from a different job with the same identifier.
    std::uint64_t digest = 0;
    bool ended = false;
    /// Reply to callers if the job has ended.
    job_reply reply;
    std::vector<transferred_task> tasks;
    std::vector<waiting_request> waiting;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(job, digest);
        archiveBool(archive, ended);
        archive(reply);
        archiveList<MAX_TASKS_PER_JOB>(archive, tasks);
        archiveList(archive, waiting);
    }
};

/// Part of the job table of a shard that the current owner transfers to its successor.
struct table_handover {
    std::uint32_t shard = 0;
    /// Epoch in which the sender owned the shard.
    std::uint64_t epoch = 0;
    /// Increases with every table that the sender transfers, so that parts of an abandoned transfer are not mistaken for parts of a later
    /// one.
    std::uint64_t transferId = 0;
    /// Position of this part in the table, from 0.
    std::uint32_t sequence = 0;
    bool last = false;
    /// Submissions that were issued before this time and are not in the table may have run, because ledger entries about them may be
    /// missing. Milliseconds since the Unix epoch.
    std::int64_t evidenceLostBeforeMilliseconds = 0;
    std::vector<transferred_job> jobs;
    /// Ledger entries collected from agents for submissions that have not been resubmitted since.
    std::vector<ledger_entry> evidence;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shard, epoch, transferId, sequence);
        archiveBool(archive, last);
        archive(evidenceLostBeforeMilliseconds);
        archiveList<256>(archive, jobs);
        archiveList(archive, evidence);
    }
};

/// Confirms that all parts of a table handover have arrived.
struct handover_received {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t transferId = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shard, epoch, transferId);
    }
};

/// All messages between entries and agents. The position in this list is the message type on the wire.
using message = std::variant<hello,
                             ping,
                             pong,
                             control_fetch,
                             control_records,
                             control_state,
                             upstream_status,
                             demand,
                             grant,
                             credit_return,
                             start_tasks,
                             task_results,
                             results_delivered,
                             revoke_tasks,
                             revoke_results,
                             close_submission,
                             submission_closed,
                             recovery_query,
                             ledger_chunk,
                             ledger_handover,
                             ledger_received,
                             forwarded_submission,
                             forwarded_query,
                             job_reply,
                             table_handover,
                             handover_received,
                             start_runs,
                             stop_runs,
                             run_results,
                             run_results_received,
                             worker_status,
                             room_update,
                             room_wish,
                             known_entries,
                             routing_request,
                             routing_piece,
                             entry_heartbeat,
                             evacuation_state,
                             evacuation_request,
                             reserve_room,
                             job_handover,
                             handover_answer,
                             handover_cancel,
                             handover_lease,
                             handover_released,
                             crash_report>;

/// Returns the name of the message type as it appears in metrics and logs.
std::string_view messageName(const message &value);

/// Returns the name of the message type at the position in `message`.
std::string_view messageName(std::size_t type);

}

#endif
