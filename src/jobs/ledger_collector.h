#ifndef AZUREMOOR_JOBS_LEDGER_COLLECTOR_H
#define AZUREMOOR_JOBS_LEDGER_COLLECTOR_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/peer_outbox.h"
#include "jobs/shard_state_tracker.h"

namespace azuremoor
{

/// The complete ledger that an agent sent in reply to a recovery query.
struct collected_ledger {
    std::string agent;
    std::uint64_t incarnation = 0;
    /// When the query was sent. Tasks that were placed later may be missing from the ledger.
    steady_time queriedAt;
    std::vector<shard_epoch> shards;
    std::vector<ledger_entry> entries;
};

/**
 * Requests the ledgers of agents, reassembles them from their parts, and stores the entries of submissions that this owner has not
 * received.
 *
 * The stored entries are called evidence: they show which tasks a previous owner started. Each connected agent is queried until it has
 * answered for every owned shard under its current epoch. A query also raises the agent's fence, which rejects owners with lower
 * epochs, and tells the agent where to send results.
 */
class ledger_collector
{
public:
    ledger_collector(const time_source &time, shard_state_tracker &shardStates, peer_outbox &outbox);

    /// Handles a new connection to an agent. The agent is queried for all owned shards.
    void connectAgent(const std::string &agent, std::uint64_t incarnation);

    /// Handles the loss of the connection to an agent and discards a partly received ledger.
    void disconnectAgent(const std::string &agent);

    /// Makes the next tick query every agent, for the shards that it has not answered for.
    void scheduleQueries();

    /// Sends the queries that are due.
    void tick();

    /// Handles one part of a ledger. Returns the ledger when it is complete. A part out of order discards the ledger, which is then
    /// requested again.
    std::optional<collected_ledger> handle(const std::string &agent, const ledger_chunk &chunk);

    /// Stores a ledger entry. For the same task, an entry that has ended replaces one without an answer.
    void recordEntry(const ledger_entry &entry);

    /// Updates stored entries of running tasks with their outcomes. An entry whose task was not run is removed. Does nothing if no entry of
    /// the submission is stored.
    void recordResults(const std::string &agent, const task_results &results);

    /// Returns the evidence of a submission by attempt number, or nullptr if there is none.
    const std::map<std::uint32_t, submission_evidence> *find(const std::string &jobId) const;

    /// Returns the stored ledger entries of the shard.
    std::vector<ledger_entry> entriesOfShard(std::uint32_t shard) const;

    /// Discards the evidence of a submission, for example once its job is created from it, or of all submissions of a shard.
    void forget(const std::string &jobId);
    void forgetShard(std::uint32_t shard);

    /// Discards the evidence of submissions whose deadline is before the given time.
    void expire(unix_time before);

private:
    struct agent_view {
        std::uint64_t incarnation = 0;
        steady_time nextQuery;
        steady_time queriedAt;
        bool needsFullQuery = true;
        std::optional<collected_ledger> partial;
        std::uint32_t nextPartIndex = 0;
    };

    void query(const std::string &agent, agent_view &view);

    const time_source &m_time;
    shard_state_tracker &m_shardStates;
    peer_outbox &m_outbox;
    std::map<std::string, agent_view> m_agents;
    std::map<std::string, std::map<std::uint32_t, submission_evidence>> m_evidence;
    std::multimap<unix_time, std::string> m_expiry;
};

}

#endif
