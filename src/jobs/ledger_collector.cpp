#include "jobs/ledger_collector.h"

#include <algorithm>

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Time after which an unanswered query is repeated.
constexpr milliseconds QUERY_INTERVAL{500};

}

ledger_collector::ledger_collector(const time_source &time, shard_state_tracker &shardStates, peer_outbox &outbox)
    : m_time(time)
    , m_shardStates(shardStates)
    , m_outbox(outbox)
{
}

void ledger_collector::connectAgent(const std::string &agent, std::uint64_t incarnation)
{
    m_agents[agent] = {incarnation, m_time.steadyNow(), {}, true, std::nullopt, 0};
}

void ledger_collector::disconnectAgent(const std::string &agent)
{
    m_agents.erase(agent);
}

void ledger_collector::scheduleQueries()
{
    for (auto &[name, view] : m_agents) {
        view.nextQuery = m_time.steadyNow();
    }
}

void ledger_collector::tick()
{
    for (auto &[name, view] : m_agents) {
        if (m_time.steadyNow() >= view.nextQuery) {
            query(name, view);
        }
    }
}

std::optional<collected_ledger> ledger_collector::handle(const std::string &agent, const ledger_chunk &chunk)
{
    const auto found = m_agents.find(agent);
    if (found == m_agents.end() || found->second.incarnation != chunk.agentIncarnation) {
        return std::nullopt;
    }
    agent_view &view = found->second;
    if (chunk.sequence == 0) {
        view.partial = collected_ledger{agent, chunk.agentIncarnation, view.queriedAt, chunk.shards, {}};
        view.nextPartIndex = 0;
    }
    if (!view.partial || chunk.sequence != view.nextPartIndex) {
        view.partial.reset();
        return std::nullopt;
    }
    ++view.nextPartIndex;
    for (ledger_entry entry : chunk.entries) {
        entry.agent = agent;
        entry.agentIncarnation = chunk.agentIncarnation;
        view.partial->entries.push_back(std::move(entry));
    }
    if (!chunk.last) {
        return std::nullopt;
    }
    collected_ledger ledger = std::move(*view.partial);
    view.partial.reset();
    for (const shard_epoch &shard : ledger.shards) {
        if (shard.shard < SHARD_COUNT) {
            m_shardStates.recordLedger(shard.shard, shard.epoch, agent, chunk.agentIncarnation);
        }
    }
    return ledger;
}

void ledger_collector::recordEntry(const ledger_entry &entry)
{
    const auto [position, inserted] = m_evidence.try_emplace(entry.jobId);
    if (inserted) {
        m_expiry.emplace(fromUnixMilliseconds(entry.deadlineMilliseconds), entry.jobId);
    }
    submission_evidence &evidence = position->second[entry.attempt];
    if (entry.state == ledger_state::closed) {
        evidence.closed = true;
        evidence.deadline = fromUnixMilliseconds(entry.deadlineMilliseconds);
        return;
    }
    const auto task = evidence.tasks.find(entry.index);
    const bool better = task == evidence.tasks.end() || (entry.state == ledger_state::ended && !task->second.outcome.isAnswered());
    if (better) {
        evidence.tasks[entry.index] = entry;
    }
}

void ledger_collector::recordResults(const std::string &agent, const task_results &results)
{
    const auto found = m_evidence.find(results.key.jobId);
    if (found == m_evidence.end() || !found->second.contains(results.key.attempt)) {
        return;
    }
    submission_evidence &evidence = found->second.at(results.key.attempt);
    for (const task_result &result : results.results) {
        const auto task = evidence.tasks.find(result.index);
        const bool same
            = task != evidence.tasks.end() && task->second.agent == agent && task->second.agentIncarnation == results.agentIncarnation;
        if (!same || task->second.state != ledger_state::running) {
            continue;
        }
        if (result.outcome.outcome == verdict::not_run) {
            evidence.tasks.erase(task);
            continue;
        }
        task->second.state = ledger_state::ended;
        task->second.outcome = result.outcome;
    }
}

const std::map<std::uint32_t, submission_evidence> *ledger_collector::find(const std::string &jobId) const
{
    const auto found = m_evidence.find(jobId);
    return found == m_evidence.end() ? nullptr : &found->second;
}

std::vector<ledger_entry> ledger_collector::entriesOfShard(std::uint32_t shard) const
{
    std::vector<ledger_entry> entries;
    for (const auto &[jobId, attempts] : m_evidence) {
        if (shardOf(jobId) != shard) {
            continue;
        }
        for (const auto &[attempt, evidence] : attempts) {
            if (evidence.closed) {
                entries.push_back({jobId, attempt, 0, ledger_state::closed, {}, unixMilliseconds(evidence.deadline), {}, 0});
            }
            for (const auto &[index, entry] : evidence.tasks) {
                entries.push_back(entry);
            }
        }
    }
    return entries;
}

void ledger_collector::forget(const std::string &jobId)
{
    m_evidence.erase(jobId);
}

void ledger_collector::forgetShard(std::uint32_t shard)
{
    std::erase_if(m_evidence, [shard](const auto &entry) { return shardOf(entry.first) == shard; });
}

void ledger_collector::expire(unix_time before)
{
    while (!m_expiry.empty() && m_expiry.begin()->first < before) {
        m_evidence.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
    }
}

void ledger_collector::query(const std::string &agent, agent_view &view)
{
    recovery_query request{view.incarnation, {}};
    for (const shard_epoch &shard : m_shardStates.ownedShards()) {
        const bool notHandingOver = m_shardStates.state(shard.shard) != shard_state::handing_over;
        if (notHandingOver && (view.needsFullQuery || !m_shardStates.hasLedger(shard.shard, agent, view.incarnation))) {
            request.shards.push_back(shard);
        }
    }
    view.nextQuery = m_time.steadyNow() + QUERY_INTERVAL;
    if (request.shards.empty()) {
        return;
    }
    view.needsFullQuery = false;
    view.queriedAt = m_time.steadyNow();
    m_outbox.send(agent, std::move(request));
}

}
