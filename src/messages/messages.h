#ifndef AZUREMOOR_MESSAGES_MESSAGES_H
#define AZUREMOOR_MESSAGES_MESSAGES_H

#include <variant>

#include "messages/job_request.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/// The part that a process plays in the fleet.
enum class member_role : std::uint8_t {
    entry = 0,
    agent = 1,
};

/// First message on every connection, in both directions: who is speaking.
struct hello {
    std::string name;
    member_role role = member_role::entry;
    /// Differs at every start of the process.
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

/// Heartbeat of an agent or entry towards an entry.
struct ping {
    /// The sender's steady clock in microseconds, returned unchanged.
    std::int64_t sentMicroseconds = 0;
    /// Offset up to which the sender has applied the control stream.
    std::uint64_t controlOffset = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sentMicroseconds, controlOffset);
    }
};

/// An entry's answer to a heartbeat, with what it knows of the control stream.
struct pong {
    std::int64_t echoedMicroseconds = 0;
    /// Offset up to which the sender has applied the control stream.
    std::uint64_t controlOffset = 0;
    /// Time since the sender began its latest complete read of the control stream, in microseconds; negative when there was none.
    std::int64_t logAgeMicroseconds = -1;
    /// Entries that the sender knows and has not heard within the suspicion time-out.
    std::vector<std::string> suspects;
    /// True from the moment at which the sender began a planned stop.
    bool leaving = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(echoedMicroseconds, controlOffset, logAgeMicroseconds);
        archiveNames(archive, suspects);
        archiveBool(archive, leaving);
    }
};

/// Asks an entry for the records of the control stream from an offset on.
struct control_fetch {
    std::uint64_t fromOffset = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(fromOffset);
    }
};

/// A record of the control stream, as one process passes it to another.
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
    /// The records are all that follow this offset, up to the last of them.
    std::uint64_t afterOffset = 0;
    std::vector<control_record> records;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(afterOffset);
        archiveList(archive, records);
    }
};

/// A state of the fleet as of an offset, in JSON, for a reader that is behind.
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

/// What an agent tells entries of the upstream beside it, whenever that changes.
struct upstream_status {
    std::uint64_t agentIncarnation = 0;
    bool present = false;
    /// True from the moment at which the upstream or its agent began to leave.
    bool leaving = false;
    std::string name;
    std::vector<label> labels;
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

/// A count of tasks of one shape.
struct shape_count {
    task_shape shape;
    std::uint32_t count = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shape, count);
    }
};

/// An entry's standing wish for credits at an agent. Replaces the earlier wish.
struct demand {
    std::vector<shape_count> wanted;
    /// Time that the oldest waiting task has waited so far, in microseconds.
    std::int64_t oldestWaitMicroseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList<64>(archive, wanted);
        archive(oldestWaitMicroseconds);
    }
};

/// Credits of an agent: each allows one start, which will not be refused for want of a slot.
struct grant {
    std::uint64_t agentIncarnation = 0;
    shape_count credits;
    /// Slots that are neither in use nor granted.
    std::uint32_t freeSlots = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation, credits, freeSlots);
    }
};

/// Credits that an entry no longer needs.
struct credit_return {
    std::uint64_t agentIncarnation = 0;
    shape_count credits;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(agentIncarnation, credits);
    }
};

/// One task to start.
struct task_start {
    std::uint32_t index = 0;
    /// Counts the placements of this task under the present epoch.
    std::uint32_t number = 0;
    task_request task;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, number, task);
    }
};

/// Identifies a submission and the ownership under which a message about it was sent.
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

/// Starts tasks of one job at one agent. Each task uses up one credit of its shape.
struct start_tasks {
    submission_key key;
    std::uint64_t agentIncarnation = 0;
    std::int64_t deadlineMilliseconds = 0;
    std::vector<task_start> tasks;
    /// The sender's wish from now on, so that it needs no message of its own.
    demand standing;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation, deadlineMilliseconds);
        archiveList<MAX_TASKS_PER_JOB>(archive, tasks);
        archive(standing);
    }
};

/// Outcome of one placement of a task.
struct task_result {
    std::uint32_t index = 0;
    std::uint32_t number = 0;
    task_outcome outcome;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, number, outcome);
    }
};

/// Outcomes of tasks, from their agent to the owner.
struct task_results {
    submission_key key;
    std::uint64_t agentIncarnation = 0;
    std::vector<task_result> results;
    /// Slots that are neither in use nor granted.
    std::uint32_t freeSlots = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation);
        archiveList<MAX_TASKS_PER_JOB>(archive, results);
        archive(freeSlots);
    }
};

/// Tells an agent that the answers to these submissions were delivered and need not be kept.
struct results_delivered {
    std::vector<submission_key> submissions;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList(archive, submissions);
    }
};

/// One placement of a task.
struct task_placement {
    std::uint32_t index = 0;
    std::uint32_t number = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(index, number);
    }
};

/// Takes placements back. The agent refuses the starts if they arrive later, and answers with revoke_results.
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

/// What an agent found when it was asked to take a placement back.
enum class revoke_state : std::uint8_t {
    /// The task was not started by this placement and will not be.
    blocked = 0,
    running = 1,
    ended = 2,
};

/// Answer to the revocation of one placement.
struct revoke_result {
    task_placement placement;
    revoke_state state = revoke_state::blocked;
    task_outcome outcome;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(placement);
        archiveEnumeration(archive, state, revoke_state::ended);
        archive(outcome);
    }
};

/// Answers to a revocation.
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

/// Has an agent remember that a submission ended with tasks that must not run any more.
struct close_submission {
    submission_key key;
    std::int64_t deadlineMilliseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, deadlineMilliseconds);
    }
};

/// Confirms that a closed submission is in the agent's ledger.
struct submission_closed {
    submission_key key;
    std::uint64_t agentIncarnation = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, agentIncarnation);
    }
};

/// A shard with the epoch of its ownership.
struct shard_epoch {
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shard, epoch);
    }
};

/// Raises an agent's fence for shards and asks for its ledger entries of them.
struct recovery_query {
    /// Most shards that one query may name.
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

/// What an agent's ledger says of one task, or of a whole submission.
enum class ledger_state : std::uint8_t {
    /// Started, and not ended as far as the agent knows.
    running = 0,
    /// Ended, with its outcome.
    ended = 1,
    /// The whole submission is closed: none of its tasks may start any more.
    closed = 2,
};

/// One line of an agent's ledger.
struct ledger_entry {
    std::string jobId;
    std::uint32_t attempt = 1;
    /// The task; meaningless when the state is closed.
    std::uint32_t index = 0;
    ledger_state state = ledger_state::running;
    task_outcome outcome;
    std::int64_t deadlineMilliseconds = 0;
    /// The agent whose ledger it is. Agents leave it empty; owners that pass the entry on fill it in.
    std::string agent;
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

/// A bounded part of the answer to a recovery query.
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

/// Part of the ledger of an agent that leaves, on its way to another agent through an entry.
struct ledger_handover {
    std::string origin;
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

/// Answer to a part of a handed-over ledger.
struct ledger_received {
    std::string origin;
    std::uint32_t sequence = 0;
    /// False when no agent could take the part.
    bool accepted = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, origin);
        archive(sequence);
        archiveBool(archive, accepted);
    }
};

/// A submission on its way from the entry that received it to the owner.
struct forwarded_submission {
    /// Chosen by the entry; the reply carries it back.
    std::uint64_t requestId = 0;
    job_request job;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId, job);
    }
};

/// A question about a job, or its cancellation, on its way to the owner.
struct forwarded_query {
    /// Chosen by the entry; the reply carries it back.
    std::uint64_t requestId = 0;
    std::string jobId;
    bool cancel = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(requestId);
        archiveText(archive, jobId);
        archiveBool(archive, cancel);
    }
};

/// How a submission stands.
enum class reply_kind : std::uint8_t {
    /// Ended: every task has an answer.
    complete = 0,
    /// Ended: at least one task has none.
    failed = 1,
    /// Not admitted.
    refused = 2,
    /// Admitted and not ended.
    pending = 3,
    /// Not known to the owner.
    unknown = 4,
};

/// What the owner says of a submission, to an entry at which a caller waits.
struct job_reply {
    std::uint64_t requestId = 0;
    std::string jobId;
    std::uint32_t attempt = 1;
    reply_kind kind = reply_kind::unknown;
    /// The verdict on a refused submission.
    verdict refusal = verdict::may_have_run;
    /// HTTP status of a refusal.
    std::uint32_t status = 0;
    /// When a refused caller may try again, in milliseconds from now; 0 when a new try is pointless.
    std::uint32_t retryAfterMilliseconds = 0;
    std::string reason;
    std::vector<std::string> taskNames;
    std::vector<task_outcome> tasks;
    /// Tasks that have ended so far, for a pending job.
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

/// A request at an entry that waits for the end of a job.
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

/// A task of a job that changes owner.
struct transferred_task {
    bool placed = false;
    bool ended = false;
    std::string agent;
    std::uint64_t agentIncarnation = 0;
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

/// A job that changes owner at a planned stop.
struct transferred_job {
    job_request job;
    /// Hash of the whole submission.
    std::uint64_t digest = 0;
    bool ended = false;
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

/// Part of an owner's table, on its way to the successor.
struct table_handover {
    std::uint32_t shard = 0;
    /// Epoch under which the sender owned the shard.
    std::uint64_t epoch = 0;
    /// Rises with every table that the sender sends. A table that was given up is never taken for a later one.
    std::uint64_t transferId = 0;
    std::uint32_t sequence = 0;
    bool last = false;
    /// Unknown submissions issued before this moment may have run; milliseconds since the Unix epoch.
    std::int64_t evidenceLostBeforeMilliseconds = 0;
    std::vector<transferred_job> jobs;
    /// What is known from ledgers of submissions that have not come again.
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

/// Confirms that a whole table has arrived.
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

/// Every message that the system's own processes exchange. The position in this list is the type on the wire.
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
                             routing_update>;

/// Returns the name of the message's type, for counters and logs.
std::string_view messageName(const message &value);

}

#endif
