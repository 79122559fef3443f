#include "jobs/job_owner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "base/submission_id.h"

namespace azuremoor
{

job_owner::job_owner(job_owner_environment environment, job_owner_settings settings)
    : m_environment(environment)
    , m_time(environment.time)
    , m_settings(std::move(settings))
    , m_shardStates(environment.shardStates)
    , m_outbox(environment.outbox)
    , m_jobs(m_time, m_settings.bounds.deduplicationWindow)
    , m_tasks({m_time, environment.stream.state(), m_shardStates, m_jobs, m_outbox, environment.observer, m_counters},
              m_settings.dataCentre)
    , m_ledgers(m_time, m_shardStates, m_outbox)
    , m_deliveryNotifier(m_time, m_outbox)
    , m_finalizer({m_time,
                   environment.stream.state(),
                   m_shardStates,
                   m_jobs,
                   m_tasks,
                   m_deliveryNotifier,
                   m_outbox,
                   environment.journal,
                   environment.observer,
                   m_counters},
                  m_settings.rules)
    , m_recovery({m_time, m_shardStates, m_jobs, m_tasks, m_finalizer, m_ledgers, m_outbox, m_counters},
                 m_settings.rules,
                 m_settings.bounds.deduplicationWindow)
    , m_admission({m_time,
                   environment.stream.state(),
                   environment.guard,
                   m_jobs,
                   m_tasks,
                   m_finalizer,
                   m_recovery,
                   m_outbox,
                   environment.journal,
                   m_counters},
                  m_settings)
    , m_handover({m_time,
                  environment.guard,
                  environment.heartbeats,
                  environment.keeper,
                  m_shardStates,
                  m_jobs,
                  m_tasks,
                  m_finalizer,
                  m_admission,
                  m_ledgers,
                  m_outbox,
                  m_counters})
{
}

void job_owner::connectAgent(const hello &agent)
{
    const worker_view *known = m_tasks.placer().directory().find(agent.name);
    if (known != nullptr && known->incarnation != agent.incarnation) {
        giveUpPlacements(agent.name, "its agent was restarted");
    }
    m_tasks.placer().directory().connect(agent);
    m_ledgers.connectAgent(agent.name, agent.incarnation);
}

void job_owner::disconnectAgent(const std::string &agent)
{
    m_tasks.placer().directory().disconnect(agent, m_time.steadyNow() + m_settings.agentGrace);
    m_ledgers.disconnectAgent(agent);
}

void job_owner::handle(const std::string &peer, const message &value)
{
    std::visit([this, &peer](const auto &body) { handleMessage(peer, body); }, value);
}

void job_owner::tick()
{
    tickConfiguration();
    tickShardStates();
    m_handover.tick();
    m_ledgers.tick();
    tickAgents();
    tickScheduledJobs();
    m_deliveryNotifier.tick();
    tickExpiry();
    m_placementNeeded = true;
    flush();
}

void job_owner::flush()
{
    if (!m_placementNeeded) {
        return;
    }
    m_placementNeeded = false;
    if (!m_settings.rules.requireFreshness || m_environment.guard.isFresh()) {
        m_tasks.placer().place();
    }
}

bool job_owner::canStop() const
{
    if (m_jobs.openCount() > 0) {
        return false;
    }
    const std::vector<std::string> live = m_environment.heartbeats.liveEntries();
    const bool successor = std::any_of(live.begin(), live.end(), [this](const std::string &name) { return name != m_settings.name; });
    return !successor || !m_environment.heartbeats.hasRecentLogRead() || m_shardStates.ownedShards().empty();
}

const task_placer &job_owner::placer() const
{
    return m_tasks.placer();
}

std::size_t job_owner::jobCount() const
{
    return m_jobs.size();
}

std::size_t job_owner::openJobCount() const
{
    return m_jobs.openCount();
}

const owner_counters &job_owner::counters() const
{
    return m_counters;
}

const owned_job *job_owner::find(const std::string &jobId) const
{
    return m_jobs.find(jobId);
}

std::vector<std::string> job_owner::explain(const owned_job &job)
{
    task_placer &taskPlacer = m_tasks.placer();
    std::vector<std::string> lines;
    for (std::size_t index = 0; index < job.tasks.size(); ++index) {
        const owned_task &task = job.tasks[index];
        const std::string name = index < job.request.tasks.size() ? job.request.tasks[index].name : std::to_string(index);
        if (task.stage == task_stage::placed) {
            lines.push_back(name + " was sent to " + task.agent + (task.confirmedRunning ? ", which confirmed that it runs" : ""));
        } else if (task.stage == task_stage::ended) {
            lines.push_back(name + " ended: " + std::string(verdictName(task.outcome.outcome))
                            + (task.agent.empty() ? "" : " at " + task.agent)
                            + (task.outcome.error.empty() ? "" : ", " + task.outcome.error));
        } else {
            lines.push_back(name + " waits for a slot on one of " + std::to_string(taskPlacer.eligibleWorkers(task.taskClass).size())
                            + " workers that could run it, with " + std::to_string(taskPlacer.waiting(task.taskClass))
                            + " tasks of its class waiting; its team has " + std::to_string(taskPlacer.placedTasks(job.request.team))
                            + " tasks placed or taken over by this entry");
        }
    }
    return lines;
}

// Messages

void job_owner::handleMessage(const std::string &peer, const forwarded_submission &value)
{
    ++m_counters.submissions;
    const std::uint32_t shard = shardOf(value.job.id);
    if (m_shardStates.state(shard) != shard_state::serving) {
        m_admission.defer(peer, value);
        return;
    }
    m_admission.admit({peer, value.requestId}, value.job);
    m_placementNeeded = true;
}

void job_owner::handleMessage(const std::string &peer, const forwarded_query &value)
{
    if (m_shardStates.state(shardOf(value.jobId)) != shard_state::serving) {
        return;
    }
    owned_job *job = m_jobs.find(value.jobId);
    if (job == nullptr) {
        job_reply reply;
        reply.requestId = value.requestId;
        reply.jobId = value.jobId;
        reply.kind = reply_kind::unknown;
        m_outbox.send(peer, std::move(reply));
        return;
    }
    if (value.cancel && job->stage != job_stage::closed) {
        job->waiting.push_back({peer, value.requestId});
        m_finalizer.begin(*job, m_finalizer.refusalDeadline(*job), false, "cancelled before it started");
        return;
    }
    m_finalizer.sendReply({peer, value.requestId}, *job);
}

void job_owner::handleMessage(const std::string &peer, const upstream_status &value)
{
    m_tasks.placer().directory().updateStatus(peer, value, m_environment.stream.state().currentConfiguration());
    m_placementNeeded = true;
}

void job_owner::handleMessage(const std::string &peer, const grant &value)
{
    m_tasks.placer().addCredits(peer, value);
    m_placementNeeded = true;
}

void job_owner::handleMessage(const std::string &peer, const task_results &value)
{
    m_tasks.placer().setFreeSlots(peer, value.freeSlots);
    m_placementNeeded = true;
    owned_job *job = m_jobs.find(value.key.jobId);
    if (job == nullptr) {
        m_ledgers.recordResults(peer, value);
    }
    if (job == nullptr || job->request.attempt != value.key.attempt || job->stage == job_stage::closed) {
        m_counters.lateResults += value.results.size();
        return;
    }
    for (const task_result &result : value.results) {
        if (result.index >= job->tasks.size()) {
            continue;
        }
        owned_task &task = job->tasks[result.index];
        const bool current = task.stage == task_stage::placed && task.agent == peer && task.agentIncarnation == value.agentIncarnation;
        const bool refused = result.outcome.outcome == verdict::not_run;
        if (!current || (refused && result.number != task.placementNumber)) {
            ++m_counters.lateResults;
            continue;
        }
        if (refused && job->stage == job_stage::open) {
            m_tasks.requeue(*job, result.index);
            continue;
        }
        m_tasks.end(*job, result.index, result.outcome);
    }
    m_finalizer.advance(*job);
}

void job_owner::handleMessage(const std::string &peer, const revoke_results &value)
{
    owned_job *job = m_jobs.find(value.key.jobId);
    if (job == nullptr || job->request.attempt != value.key.attempt || job->stage == job_stage::closed) {
        return;
    }
    for (const revoke_result &result : value.results) {
        if (result.placement.index >= job->tasks.size()) {
            continue;
        }
        owned_task &task = job->tasks[result.placement.index];
        const bool current = task.stage == task_stage::placed && task.agent == peer && task.agentIncarnation == value.agentIncarnation
            && task.placementNumber == result.placement.number;
        if (!current) {
            continue;
        }
        if (result.state == revoke_state::running) {
            task.confirmedRunning = true;
        } else if (result.state == revoke_state::blocked && job->stage == job_stage::open) {
            m_tasks.requeue(*job, result.placement.index);
        } else {
            m_tasks.end(*job, result.placement.index, result.outcome);
        }
    }
    m_placementNeeded = true;
    m_finalizer.advance(*job);
}

void job_owner::handleMessage(const std::string &, const submission_closed &value)
{
    owned_job *job = m_jobs.find(value.key.jobId);
    if (job == nullptr || job->request.attempt != value.key.attempt || job->stage != job_stage::finalizing) {
        return;
    }
    job->tombstone = tombstone_stage::confirmed;
    m_finalizer.advance(*job);
}

void job_owner::handleMessage(const std::string &peer, const ledger_chunk &value)
{
    const std::optional<collected_ledger> ledger = m_ledgers.handle(peer, value);
    if (ledger) {
        m_recovery.applyLedger(*ledger);
    }
}

void job_owner::handleMessage(const std::string &peer, const table_handover &value)
{
    m_handover.handle(peer, value);
}

void job_owner::handleMessage(const std::string &peer, const handover_received &value)
{
    m_handover.handle(peer, value);
}

void job_owner::giveUpPlacements(const std::string &agent, const std::string &reason)
{
    const std::set<placed_task> placed = m_tasks.takePlacements(agent);
    if (!placed.empty()) {
        m_environment.journal.note("placements_given_up", {{"agent", agent}, {"count", std::to_string(placed.size())}, {"reason", reason}});
    }
    for (const auto &[jobId, index] : placed) {
        owned_job *job = m_jobs.find(jobId);
        if (job != nullptr && job->stage != job_stage::closed) {
            m_tasks.end(*job, index, {verdict::may_have_run, {}, reason});
            m_finalizer.advance(*job);
        }
    }
}

// Shard ownership

void job_owner::tickShardStates()
{
    const std::vector<std::uint32_t> changed = m_shardStates.tick();
    for (std::uint32_t shard : changed) {
        const std::uint64_t epoch = m_shardStates.epoch(shard);
        if (m_shardStates.evidenceLostBefore(shard)) {
            m_environment.journal.note("evidence_missing", {{"shard", std::to_string(shard)}, {"epoch", std::to_string(epoch)}});
        }
        if (m_lastEpochs[shard] != epoch) {
            m_lastEpochs[shard] = epoch;
            m_handover.changeOwnership(shard, m_environment.stream.state().ownership(shard));
        }
        if (m_shardStates.state(shard) == shard_state::serving) {
            m_admission.admitDeferred(shard);
        }
    }
    if (!changed.empty()) {
        m_environment.journal.note(
            "custody_changed", {{"count", std::to_string(changed.size())}, {"owned", std::to_string(m_shardStates.ownedShards().size())}});
        m_ledgers.scheduleQueries();
        m_placementNeeded = true;
    }
}

// Periodic work

void job_owner::tickScheduledJobs()
{
    while (owned_job *job = m_jobs.takeDue()) {
        if (job->stage == job_stage::closed || m_shardStates.state(job->shard) != shard_state::serving) {
            continue;
        }
        if (job->stage == job_stage::open && m_time.unixNow() >= job->finalizeAt) {
            m_finalizer.begin(*job, job->replyDeadline, true, "no slot became free before the deadline");
            continue;
        }
        m_finalizer.repeatTombstoneRequest(*job);
        m_finalizer.advance(*job);
    }
}

void job_owner::tickAgents()
{
    for (const auto &[name, worker] : m_tasks.placer().directory().workers()) {
        if (!worker.connected && m_time.steadyNow() >= worker.reconnectDeadline) {
            giveUpPlacements(name, "its agent was lost");
        }
    }
    std::vector<std::string> gone;
    for (const auto &[name, worker] : m_tasks.placer().directory().workers()) {
        const bool lost = !worker.connected && m_time.steadyNow() >= worker.reconnectDeadline;
        if (lost && m_environment.stream.state().member(name) == nullptr) {
            gone.push_back(name);
        }
    }
    for (const std::string &name : gone) {
        m_tasks.placer().directory().forget(name);
    }
}

void job_owner::tickExpiry()
{
    m_jobs.expire();
    m_ledgers.expire(m_time.unixNow() - m_settings.bounds.deduplicationWindow);
}

void job_owner::tickConfiguration()
{
    const fleet_state &fleet = m_environment.stream.state();
    m_tasks.placer().setOwners(m_environment.heartbeats.liveEntries().size());
    if (fleet.configurationVersion() == m_configurationVersion) {
        return;
    }
    m_configurationVersion = fleet.configurationVersion();
    m_tasks.placer().directory().applyConfiguration(fleet.currentConfiguration());
    m_environment.journal.note("configuration_in_force", {{"version", std::to_string(m_configurationVersion)}});
}

}
