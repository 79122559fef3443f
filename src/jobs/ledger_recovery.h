#ifndef AZUREMOOR_JOBS_LEDGER_RECOVERY_H
#define AZUREMOOR_JOBS_LEDGER_RECOVERY_H

#include <cstdint>
#include <set>

#include "base/protocol_rules.h"
#include "fleet/peer_outbox.h"
#include "jobs/job_finalizer.h"
#include "jobs/job_table.h"
#include "jobs/ledger_collector.h"
#include "jobs/owner_counters.h"
#include "jobs/shard_state_tracker.h"
#include "jobs/task_tracker.h"

namespace azuremoor
{

/// Objects of the owner that a ledger recovery uses. All must outlive it.
struct ledger_recovery_environment {
    const time_source &time;
    const shard_state_tracker &shardStates;
    job_table &jobs;
    task_tracker &tasks;
    job_finalizer &finalizer;
    ledger_collector &ledgers;
    peer_outbox &outbox;
    owner_counters &counters;
};

/// Sets the states of jobs from the ledgers of agents, so that no task is started again that a previous owner may have started.
class ledger_recovery
{
public:
    /// An unknown submission without an issue time is assumed to be one deduplication window old.
    ledger_recovery(const ledger_recovery_environment &environment, const protocol_rules &rules, microseconds deduplicationWindow);

    /// Sets the states of the tasks of a new job from the evidence of earlier starts, and discards the evidence.
    void applyEvidence(owned_job &job);

    /// Applies a complete ledger: stores the entries of unknown submissions as evidence, and updates the tasks of known jobs.
    void applyLedger(const collected_ledger &ledger);

private:
    /// Returns whether the job may have run under a previous owner without evidence of it.
    bool mayHaveRunBefore(const owned_job &job) const;
    /// Returns the evidence of the submission, or nullptr. If an attempt has started tasks, the job takes over its attempt number.
    const submission_evidence *adoptAttempt(owned_job &job);
    void applyLedgerEntry(owned_job &job, const ledger_entry &entry);
    /// Revokes tasks that were placed before the query and are missing from the ledger, since the agent may not have received them.
    void revokeMissingPlacements(const collected_ledger &ledger, const std::set<placed_task> &seen);

    const time_source &m_time;
    const shard_state_tracker &m_shardStates;
    job_table &m_jobs;
    task_tracker &m_tasks;
    job_finalizer &m_finalizer;
    ledger_collector &m_ledgers;
    peer_outbox &m_outbox;
    owner_counters &m_counters;
    protocol_rules m_rules;
    microseconds m_deduplicationWindow;
};

}

#endif
