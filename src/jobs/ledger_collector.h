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

/// The whole answer of an agent to a recovery query.
struct collected_ledger {
    std::string agent;
    std::uint64_t incarnation = 0;
    /// When the question was sent. A task placed later may be missing from the answer.
    steady_time queriedAt;
    std::vector<shard_epoch> shards;
    std::vector<ledger_entry> entries;
};

/**
 * Asks agents for their ledgers, puts the parts of their answers together, and keeps what they say of submissions that have not
 * come again.
 *
 * Every connected agent is asked until it has answered for every owned shard under its present epoch. The question also raises
 * the agent's fence, and tells it where results are to go.
 */
class ledger_collector
{
public:
    ledger_collector(const time_source &time, shard_state_tracker &custody, peer_outbox &outbox);

    /// Notes a connection to an agent, which is then asked for all owned shards.
    void connectAgent(const std::string &agent, std::uint64_t incarnation);

    /// Notes that the connection is gone.
    void disconnectAgent(const std::string &agent);

    /// Has every agent asked at once for shards that it has not answered for.
    void queryNow();

    /// Sends the questions that are due.
    void tick();

    /// Takes a part of an answer. Returns the answer once it is whole.
    std::optional<collected_ledger> handle(const std::string &agent, const ledger_chunk &chunk);

    /// Keeps what the ledger says of a submission.
    void recordEntry(const ledger_entry &entry);

    /// Notes the end of a task of a submission that has not come again. Does nothing when nothing is known of the submission.
    void recordResults(const std::string &agent, const task_results &results);

    /// Returns what is known of the attempts of a submission, or null.
    const std::map<std::uint32_t, submission_evidence> *find(const std::string &jobId) const;

    /// Returns all that is known of submissions of the shard.
    std::vector<ledger_entry> entriesOfShard(std::uint32_t shard) const;

    /// Forgets a submission that came again, or all those of a shard.
    void forget(const std::string &jobId);
    void forgetShard(std::uint32_t shard);

    /// Forgets submissions whose deadline lies before the given moment.
    void expire(unix_time before);

private:
    struct agent_view {
        std::uint64_t incarnation = 0;
        steady_time nextQuery;
        steady_time queriedAt;
        bool queryAllShards = true;
        std::optional<collected_ledger> partial;
        std::uint32_t nextSequence = 0;
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
