#include "jobs/shard_handover.h"

#include <optional>
#include <utility>

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Maximum number of concurrent table transfers.
constexpr std::size_t MAX_OUTGOING_TABLES = 16;

}

shard_handover::shard_handover(const shard_handover_environment &environment)
    : m_freshness(environment.freshness)
    , m_heartbeats(environment.heartbeats)
    , m_ownership(environment.ownership)
    , m_shardStates(environment.shardStates)
    , m_jobs(environment.jobs)
    , m_tasks(environment.tasks)
    , m_finalizer(environment.finalizer)
    , m_admission(environment.admission)
    , m_ledgers(environment.ledgers)
    , m_counters(environment.counters)
    , m_transfers(environment.time, environment.outbox)
{
}

void shard_handover::handle(const std::string &peer, const table_handover &part)
{
    if (part.shard >= SHARD_COUNT) {
        return;
    }
    m_transfers.handle(peer, part);
    m_shardStates.recordTable(part.shard, m_transfers.completeEpoch(part.shard));
    const std::int64_t lostBefore = part.evidenceLostBeforeMilliseconds;
    m_shardStates.inheritEvidenceLostBefore(part.shard, lostBefore == 0 ? std::nullopt : std::optional(fromUnixMilliseconds(lostBefore)));
}

void shard_handover::handle(const std::string &peer, const handover_received &confirmation)
{
    const std::optional<std::string> target = m_transfers.handle(peer, confirmation);
    if (target && m_shardStates.state(confirmation.shard) == shard_state::handing_over) {
        m_ownership.publishHandover(confirmation.shard, confirmation.epoch, *target);
    }
}

void shard_handover::changeOwnership(std::uint32_t shard, const shard_ownership &ownership)
{
    dropShard(shard);
    std::optional<shard_table> table = m_transfers.take(shard, ownership.previousEpoch);
    // After a takeover the table is outdated: its sender may have resumed serving the shard after sending it.
    if (m_shardStates.epoch(shard) != 0 && table && ownership.handedOver) {
        installTable(std::move(*table));
    }
}

void shard_handover::tick()
{
    for (std::uint32_t shard : m_transfers.takeExpired()) {
        resumeShard(shard);
    }
    if (!m_heartbeats.hasRecentLogRead() || !m_freshness.isFresh()) {
        return;
    }
    for (const planned_handover &move : m_ownership.plannedHandovers()) {
        if (m_transfers.outgoingCount() >= MAX_OUTGOING_TABLES) {
            return;
        }
        if (m_shardStates.state(move.shard) == shard_state::serving && !m_transfers.isOutgoing(move.shard)) {
            sendTable(move.shard, move.target);
        }
    }
}

void shard_handover::dropShard(std::uint32_t shard)
{
    for (owned_job *job : m_jobs.jobsOfShard(shard)) {
        m_tasks.release(*job);
        m_jobs.erase(std::string(job->request.id));
    }
    m_ledgers.forgetShard(shard);
    m_transfers.forget(shard);
}

void shard_handover::installTable(shard_table table)
{
    for (transferred_job &transferred : table.jobs) {
        installJob(std::move(transferred));
    }
    for (const ledger_entry &entry : table.evidence) {
        m_ledgers.recordEntry(entry);
    }
}

void shard_handover::installJob(transferred_job transferred)
{
    owned_job &job = m_jobs.add(transferred.job);
    job.digest = transferred.digest;
    job.waiting = std::move(transferred.waiting);
    m_tasks.assignClasses(job);
    for (std::uint32_t index = 0; index < job.tasks.size() && index < transferred.tasks.size(); ++index) {
        m_tasks.install(job, index, std::move(transferred.tasks[index]));
    }
    if (transferred.ended) {
        m_jobs.close(job);
        job.reply = std::move(transferred.reply);
        return;
    }
    m_finalizer.advance(job);
}

void shard_handover::sendTable(std::uint32_t shard, const std::string &target)
{
    m_shardStates.beginHandover(shard);
    shard_table table;
    table.shard = shard;
    table.epoch = m_shardStates.epoch(shard);
    table.evidenceLostBefore = m_shardStates.evidenceLostBefore(shard);
    for (const owned_job *job : m_jobs.jobsOfShard(shard)) {
        m_tasks.dequeueWaiting(*job);
        table.jobs.push_back(toTransferredJob(*job));
    }
    table.evidence = m_ledgers.entriesOfShard(shard);
    m_counters.handedOver += table.jobs.size();
    m_transfers.send(std::move(table), target);
}

transferred_job shard_handover::toTransferredJob(const owned_job &job) const
{
    transferred_job transferred;
    transferred.job = job.request;
    transferred.digest = job.digest;
    transferred.ended = job.stage == job_stage::closed;
    transferred.reply = job.reply;
    transferred.waiting = job.waiting;
    for (const owned_task &task : job.tasks) {
        const bool ended = task.stage == task_stage::ended;
        transferred.tasks.push_back(
            {task.stage == task_stage::placed, ended, task.agent, task.agentIncarnation, task.placementNumber, task.outcome});
    }
    return transferred;
}

void shard_handover::resumeShard(std::uint32_t shard)
{
    m_shardStates.cancelHandover(shard);
    for (owned_job *job : m_jobs.jobsOfShard(shard)) {
        m_tasks.enqueueWaiting(*job);
        m_jobs.schedule(*job, job->finalizeAt);
        m_jobs.schedule(*job, job->replyDeadline);
    }
    m_admission.admitDeferred(shard);
}

}
