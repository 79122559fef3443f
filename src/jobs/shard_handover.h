#ifndef AZUREMOOR_JOBS_SHARD_HANDOVER_H
#define AZUREMOOR_JOBS_SHARD_HANDOVER_H

#include <cstdint>
#include <string>

#include "fleet/freshness_tracker.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/ownership_manager.h"
#include "fleet/peer_outbox.h"
#include "jobs/job_finalizer.h"
#include "jobs/job_table.h"
#include "jobs/ledger_collector.h"
#include "jobs/owner_counters.h"
#include "jobs/shard_state_tracker.h"
#include "jobs/submission_admission.h"
#include "jobs/table_transfer.h"
#include "jobs/task_tracker.h"

namespace azuremoor
{

/// Objects of the owner that a shard handover uses. All must outlive it.
struct shard_handover_environment {
    const time_source &time;
    const freshness_tracker &freshness;
    const heartbeat_monitor &heartbeats;
    ownership_manager &ownership;
    shard_state_tracker &shardStates;
    job_table &jobs;
    task_tracker &tasks;
    job_finalizer &finalizer;
    submission_admission &admission;
    ledger_collector &ledgers;
    peer_outbox &outbox;
    owner_counters &counters;
};

/// Moves the jobs of shards between owners: sends the tables of shards that are handed over, and installs those that are received.
class shard_handover
{
public:
    explicit shard_handover(const shard_handover_environment &environment);

    /// Handles one part of the table of a shard that another owner hands over to this entry.
    void handle(const std::string &peer, const table_handover &part);

    /// Handles the confirmation of a table that this entry sent. Publishes the change of the owner.
    void handle(const std::string &peer, const handover_received &confirmation);

    /// Drops the jobs of the shard after a change of its ownership. If this entry is the owner after a handover, installs the table that
    /// the previous owner sent.
    void changeOwnership(std::uint32_t shard, const shard_ownership &ownership);

    /// Resumes shards whose tables were not confirmed in time, and starts handovers that are planned.
    void tick();

private:
    void dropShard(std::uint32_t shard);
    void installTable(shard_table table);
    void installJob(transferred_job transferred);
    void sendTable(std::uint32_t shard, const std::string &target);
    transferred_job toTransferredJob(const owned_job &job) const;
    /// Serves the shard again after its table was not confirmed in time.
    void resumeShard(std::uint32_t shard);

    const freshness_tracker &m_freshness;
    const heartbeat_monitor &m_heartbeats;
    ownership_manager &m_ownership;
    shard_state_tracker &m_shardStates;
    job_table &m_jobs;
    task_tracker &m_tasks;
    job_finalizer &m_finalizer;
    submission_admission &m_admission;
    ledger_collector &m_ledgers;
    owner_counters &m_counters;
    table_transfer m_transfers;
};

}

#endif
