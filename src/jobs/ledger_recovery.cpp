#include "jobs/ledger_recovery.h"

#include <algorithm>
#include <optional>

#include "base/submission_id.h"

namespace azuremoor
{

ledger_recovery::ledger_recovery(const ledger_recovery_environment &environment,
                                 const protocol_rules &rules,
                                 microseconds deduplicationWindow)
    : m_time(environment.time)
    , m_shardStates(environment.shardStates)
    , m_jobs(environment.jobs)
    , m_tasks(environment.tasks)
    , m_finalizer(environment.finalizer)
    , m_ledgers(environment.ledgers)
    , m_outbox(environment.outbox)
    , m_counters(environment.counters)
    , m_rules(rules)
    , m_deduplicationWindow(deduplicationWindow)
{
}

void ledger_recovery::applyEvidence(owned_job &job)
{
    const submission_evidence *evidence = adoptAttempt(job);
    const bool uncertain = mayHaveRunBefore(job);
    if (evidence == nullptr && !uncertain) {
        return;
    }
    ++m_counters.adopted;
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const ledger_entry *entry = nullptr;
        if (evidence != nullptr && evidence->tasks.contains(index)) {
            entry = &evidence->tasks.at(index);
        }
        if (entry != nullptr && entry->state == ledger_state::running) {
            m_tasks.adoptRunning(job, index, *entry);
        } else if (entry != nullptr) {
            m_tasks.end(job, index, entry->outcome);
        } else if (uncertain) {
            // A tombstone only prevents later starts; the task may have been started before it.
            ++m_counters.uncertain;
            m_tasks.end(
                job,
                index,
                {verdict::may_have_run, {}, "a previous owner may have started the task on a worker whose ledger is not available"});
        } else if (evidence != nullptr && evidence->closed) {
            m_tasks.end(job, index, {verdict::not_run, {}, "the submission was closed before the task started"});
        }
    }
    m_ledgers.forget(job.request.id);
}

void ledger_recovery::applyLedger(const collected_ledger &ledger)
{
    std::set<placed_task> seen;
    for (const ledger_entry &entry : ledger.entries) {
        owned_job *job = m_jobs.find(entry.jobId);
        if (job == nullptr) {
            if (m_rules.collectLedgers) {
                m_ledgers.recordEntry(entry);
            }
            continue;
        }
        const bool known = entry.state != ledger_state::closed && job->request.attempt == entry.attempt && entry.index < job->tasks.size();
        if (known && job->stage != job_stage::closed) {
            seen.insert({entry.jobId, entry.index});
            applyLedgerEntry(*job, entry);
        }
    }
    revokeMissingPlacements(ledger, seen);
}

const submission_evidence *ledger_recovery::adoptAttempt(owned_job &job)
{
    const auto *attempts = m_ledgers.find(job.request.id);
    if (attempts == nullptr) {
        return nullptr;
    }
    for (const auto &[attempt, evidence] : *attempts) {
        // No other attempt may start tasks if one already did, so the job continues that attempt.
        if (!evidence.tasks.empty()) {
            job.request.attempt = attempt;
            return &evidence;
        }
    }
    const auto own = attempts->find(job.request.attempt);
    return own == attempts->end() ? nullptr : &own->second;
}

bool ledger_recovery::mayHaveRunBefore(const owned_job &job) const
{
    const std::optional<unix_time> lostBefore = m_shardStates.evidenceLostBefore(job.shard);
    if (!lostBefore || !m_rules.honourLostEvidence) {
        return false;
    }
    const std::optional<unix_time> issued = issueTime(job.request.id);
    if (issued) {
        return *issued < *lostBefore;
    }
    // Without an issue time, assume the oldest one that is possible: one deduplication window ago.
    return m_time.unixNow() < *lostBefore + m_deduplicationWindow;
}

void ledger_recovery::applyLedgerEntry(owned_job &job, const ledger_entry &entry)
{
    owned_task &task = job.tasks[entry.index];
    if (task.stage == task_stage::ended) {
        return;
    }
    if (entry.state == ledger_state::ended) {
        m_tasks.end(job, entry.index, entry.outcome);
        m_finalizer.advance(job);
        return;
    }
    if (task.stage == task_stage::waiting) {
        m_tasks.placer().dequeue(task.taskClass, job.request.team, task.queueEntry);
        m_tasks.adoptRunning(job, entry.index, entry);
        return;
    }
    task.confirmedRunning = true;
}

void ledger_recovery::revokeMissingPlacements(const collected_ledger &ledger, const std::set<placed_task> &seen)
{
    for (const auto &[jobId, index] : m_tasks.placementsAt(ledger.agent)) {
        const owned_job *job = m_jobs.find(jobId);
        if (job == nullptr) {
            continue;
        }
        const bool asked = std::any_of(
            ledger.shards.begin(), ledger.shards.end(), [job](const shard_epoch &shard) { return shard.shard == job->shard; });
        const owned_task &task = job->tasks[index];
        if (!asked || seen.contains({jobId, index}) || task.placedAt >= ledger.queriedAt || task.agentIncarnation != ledger.incarnation) {
            continue;
        }
        ++m_counters.revocations;
        m_outbox.send(ledger.agent, revoke_tasks{m_tasks.keyOf(*job), ledger.incarnation, {{index, task.placementNumber}}});
    }
}

}
