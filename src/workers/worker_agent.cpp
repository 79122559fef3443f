#include "workers/worker_agent.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Limits on one chunk of the answer to a recovery query. The chunk that reaches the byte limit may exceed it by one record.
constexpr std::size_t MAX_CHUNK_ENTRIES = 512;
constexpr std::size_t MAX_CHUNK_BYTES = 1024 * 1024;

/// Time after the last grant to an entry after which its unused credits are taken back.
constexpr seconds CREDIT_LIFETIME{2};

/// Time for which nothing is started after a request did not reach the upstream.
constexpr milliseconds UNREACHABLE_BACKOFF{500};

std::size_t recordBytes(const ledger_entry &record)
{
    return record.jobId.size() + record.outcome.answer.size() + record.outcome.error.size();
}

}

worker_agent::worker_agent(const time_source &time,
                           worker_agent_settings settings,
                           const fleet_state &fleet,
                           const freshness_tracker &freshness,
                           worker_outbox &outbox)
    : m_time(time)
    , m_settings(std::move(settings))
    , m_fleet(fleet)
    , m_freshness(freshness)
    , m_outbox(outbox)
    , m_ledger(m_settings.ledger)
{
}

void worker_agent::connectEntry(const std::string &entry)
{
    m_entries.try_emplace(entry);
    m_outbox.send(entry, status());
}

void worker_agent::disconnectEntry(const std::string &entry)
{
    const auto found = m_entries.find(entry);
    if (found == m_entries.end()) {
        return;
    }
    releaseCredits(found->second);
    m_entries.erase(found);
    grantCredits();
}

void worker_agent::handle(const std::string &entry, const message &value)
{
    std::visit([this, &entry](const auto &body) { handleMessage(entry, body); }, value);
}

void worker_agent::handleAnnouncement(const upstream_announcement &announcement)
{
    const bool changed = m_upstream != announcement || m_isLeaving;
    m_upstream = announcement;
    m_upstreamDeadline = m_time.steadyNow() + m_settings.announcementTimeout;
    m_isLeaving = false;
    m_capacity.setCapacity(std::min(announcement.slots, announcement.connections), announcement.capacity);
    updateOperatorDrain();
    if (changed || !m_wasAccepting) {
        broadcastStatus();
    }
    grantCredits();
}

void worker_agent::handleDeparture()
{
    m_isLeaving = true;
    broadcastStatus();
}

void worker_agent::finishCall(std::uint64_t callId, task_outcome outcome)
{
    const auto found = m_activeCalls.find(callId);
    if (found == m_activeCalls.end()) {
        return;
    }
    const active_call call = found->second;
    m_activeCalls.erase(found);
    ++m_counters.ended;
    m_capacity.release(call.resources);
    if (outcome.outcome == verdict::not_run) {
        m_upstreamRetryAt = m_time.steadyNow() + UNREACHABLE_BACKOFF;
    }
    m_ledger.recordEnd(call.key, call.taskIndex, outcome);

    const shard_fence &fence = m_fences[shardOf(call.key.jobId)];
    submission_key key = call.key;
    key.epoch = fence.epoch;
    grantCredits();
    m_outbox.send(
        fence.owner,
        task_results{key, m_settings.incarnation, {{call.taskIndex, call.placementNumber, std::move(outcome)}}, grantableSlots()});
}

void worker_agent::tick()
{
    m_ledger.expire(m_time.unixNow());
    updateOperatorDrain();
    expireCredits();
    if (acceptsWork() != m_wasAccepting) {
        broadcastStatus();
    }
    grantCredits();
}

void worker_agent::beginStop()
{
    m_isStopping = true;
    broadcastStatus();
}

bool worker_agent::isIdle() const
{
    return m_activeCalls.empty();
}

const worker_ledger &worker_agent::ledger() const
{
    return m_ledger;
}

bool worker_agent::acceptsWork() const
{
    if (!m_upstream || m_isLeaving || m_isStopping || !isRegistered()) {
        return false;
    }
    return !m_isDrainedByOperator && m_time.steadyNow() >= m_upstreamRetryAt
        && m_time.steadyNow() + m_settings.announcementMargin < m_upstreamDeadline;
}

bool worker_agent::hasFreshState() const
{
    return !m_settings.rules.requireFreshness || m_freshness.isFresh();
}

bool worker_agent::isRegistered() const
{
    const fleet_member *self = m_fleet.member(m_settings.name);
    return self != nullptr && self->incarnation == m_settings.incarnation;
}

const std::optional<upstream_announcement> &worker_agent::upstream() const
{
    return m_upstream;
}

const capacity_tracker &worker_agent::capacity() const
{
    return m_capacity;
}

const worker_counters &worker_agent::counters() const
{
    return m_counters;
}

std::uint64_t worker_agent::minimumEpoch(std::uint32_t shard) const
{
    return std::max(m_fences.at(shard).epoch, m_fleet.ownership(shard).epoch);
}

void worker_agent::handleMessage(const std::string &entry, const demand &value)
{
    applyDemand(entry, value);
    grantCredits();
}

void worker_agent::handleMessage(const std::string &entry, const credit_return &value)
{
    if (value.agentIncarnation != m_settings.incarnation) {
        return;
    }
    for (std::uint32_t count = 0; count < value.credits.count; ++count) {
        if (removeCredit(entry, value.credits.shape)) {
            m_capacity.release(value.credits.shape);
            ++m_counters.creditsReturned;
        }
    }
    grantCredits();
}

void worker_agent::handleMessage(const std::string &entry, const start_tasks &value)
{
    if (value.agentIncarnation != m_settings.incarnation) {
        // A copy of the message may have reached the other incarnation, so neither started nor not run can be claimed here.
        ++m_counters.wrongIncarnation;
        return;
    }
    task_results refusals{value.key, m_settings.incarnation, {}, 0};
    for (const task_start &start : value.tasks) {
        auto refusal = startTask(entry, value, start);
        if (refusal) {
            refusals.results.push_back(std::move(*refusal));
        }
    }
    applyDemand(entry, value.standing);
    grantCredits();
    if (!refusals.results.empty()) {
        refusals.freeSlots = grantableSlots();
        m_outbox.send(entry, std::move(refusals));
    }
}

void worker_agent::handleMessage(const std::string &entry, const revoke_tasks &value)
{
    if (value.agentIncarnation != m_settings.incarnation) {
        ++m_counters.wrongIncarnation;
        return;
    }
    revoke_results answer{value.key, m_settings.incarnation, {}};
    for (const task_placement &placement : value.placements) {
        answer.results.push_back(revoke(value.key, placement));
    }
    m_outbox.send(entry, std::move(answer));
}

void worker_agent::handleMessage(const std::string &entry, const close_submission &value)
{
    if (value.key.epoch < minimumEpoch(shardOf(value.key.jobId)) || !hasFreshState() || !isRegistered() || m_isStopping) {
        return;
    }
    raiseFence(shardOf(value.key.jobId), value.key.epoch, entry);
    m_ledger.recordClosed(value.key, fromUnixMilliseconds(value.deadlineMilliseconds));
    m_outbox.send(entry, submission_closed{value.key, m_settings.incarnation});
}

void worker_agent::handleMessage(const std::string &entry, const recovery_query &value)
{
    if (value.agentIncarnation != m_settings.incarnation) {
        ++m_counters.wrongIncarnation;
        return;
    }
    std::vector<shard_epoch> accepted;
    for (const shard_epoch &shard : value.shards) {
        if (raiseFence(shard.shard, shard.epoch, entry)) {
            accepted.push_back(shard);
        }
    }
    if (accepted.empty()) {
        return;
    }
    std::vector<ledger_entry> records = m_ledger.entriesForShards(accepted);
    ledger_chunk chunk{m_settings.incarnation, accepted, 0, false, {}};
    std::size_t bytes = 0;
    for (ledger_entry &record : records) {
        if (chunk.entries.size() == MAX_CHUNK_ENTRIES || bytes > MAX_CHUNK_BYTES) {
            m_outbox.send(entry, chunk);
            chunk.entries.clear();
            ++chunk.sequence;
            bytes = 0;
        }
        bytes += recordBytes(record);
        chunk.entries.push_back(std::move(record));
    }
    chunk.last = true;
    m_outbox.send(entry, std::move(chunk));
}

void worker_agent::handleMessage(const std::string &, const results_delivered &value)
{
    for (const submission_key &key : value.submissions) {
        m_ledger.recordDelivered(key);
    }
}

void worker_agent::handleMessage(const std::string &entry, const ledger_handover &value)
{
    const bool accepted = !m_isStopping && m_ledger.canRecordTask();
    if (accepted) {
        for (const ledger_entry &record : value.entries) {
            m_ledger.importEntry(record);
        }
    }
    m_outbox.send(entry, ledger_received{value.origin, value.sequence, accepted});
}

revoke_result worker_agent::revoke(const submission_key &key, const task_placement &placement)
{
    const auto *record = m_ledger.find(key.jobId, key.attempt, placement.index);
    if (record != nullptr && record->state == worker_ledger::task_state::running) {
        return {placement, revoke_state::running, {}};
    }
    if (record != nullptr && record->state == worker_ledger::task_state::ended) {
        return {placement, revoke_state::ended, record->outcome};
    }
    if (m_settings.rules.rememberRefusals) {
        // The message does not contain the job's deadline. The retention alone lasts longer than any deadline.
        m_ledger.recordBlocked(key, placement, m_time.unixNow());
    }
    return {placement, revoke_state::blocked, {verdict::not_run, {}, "the task was revoked before it was started"}};
}

std::optional<task_result> worker_agent::startTask(const std::string &entry, const start_tasks &batch, const task_start &start)
{
    const auto *record = m_ledger.find(batch.key.jobId, batch.key.attempt, start.index);
    if (m_settings.rules.refuseKnownStarts && record != nullptr && record->state != worker_ledger::task_state::blocked) {
        ++m_counters.duplicateStarts;
        return answerFromLedger(*record, start);
    }
    const bool hadCredit = removeCredit(entry, start.task.shape);
    const std::string reason = refusalReason(batch, start, record, hadCredit);
    if (!reason.empty()) {
        if (hadCredit) {
            m_capacity.release(start.task.shape);
        }
        return refuse(batch, start, reason);
    }
    if (!hadCredit) {
        m_capacity.reserve(start.task.shape);
    }
    raiseFence(shardOf(batch.key.jobId), batch.key.epoch, entry);
    startCall(batch, start);
    return std::nullopt;
}

std::optional<task_result> worker_agent::answerFromLedger(const worker_ledger::task_record &record, const task_start &start)
{
    if (record.state == worker_ledger::task_state::running) {
        return std::nullopt;
    }
    return task_result{start.index, start.number, record.outcome};
}

std::string
worker_agent::refusalReason(const start_tasks &batch, const task_start &start, const worker_ledger::task_record *record, bool hadCredit)
{
    const bool blocked = record != nullptr && record->state == worker_ledger::task_state::blocked
        && std::pair(batch.key.epoch, start.number) <= std::pair(record->epoch, record->placementNumber);
    if (blocked || m_ledger.isClosed(batch.key.jobId, batch.key.attempt)) {
        ++m_counters.refusedRevoked;
        return "the task was revoked or its submission was closed";
    }
    if (m_settings.rules.refuseStaleEpochs && batch.key.epoch < minimumEpoch(shardOf(batch.key.jobId))) {
        ++m_counters.refusedStaleEpoch;
        return "the sender no longer owns the shard";
    }
    if (m_time.unixNow() >= fromUnixMilliseconds(batch.deadlineMilliseconds)) {
        ++m_counters.refusedPastDeadline;
        return "the deadline has passed";
    }
    if (!hasFreshState()) {
        ++m_counters.refusedIsolated;
        return "the agent has recent contact with neither the log nor enough entries";
    }
    if (!acceptsWork()) {
        ++m_counters.refusedNoUpstream;
        return "the upstream does not accept work";
    }
    if (!m_ledger.canRecordTask() || (!hadCredit && !m_capacity.fits(start.task.shape))) {
        ++m_counters.refusedNoCapacity;
        return "the worker or the ledger of its agent has no free capacity";
    }
    return {};
}

task_result worker_agent::refuse(const start_tasks &batch, const task_start &start, std::string reason)
{
    if (m_settings.rules.rememberRefusals) {
        m_ledger.recordBlocked(batch.key, {start.index, start.number}, fromUnixMilliseconds(batch.deadlineMilliseconds));
    }
    return {start.index, start.number, {verdict::not_run, {}, std::move(reason)}};
}

void worker_agent::startCall(const start_tasks &batch, const task_start &start)
{
    const unix_time deadline = fromUnixMilliseconds(batch.deadlineMilliseconds);
    m_ledger.recordStart(batch.key, {start.index, start.number}, deadline);
    const std::uint64_t callId = m_nextCallId++;
    m_activeCalls[callId] = {batch.key, start.index, start.number, start.task.shape};
    ++m_counters.started;
    m_outbox.callUpstream(
        {callId, m_upstream->url, batch.key.jobId, batch.key.attempt, start.index, start.task.name, start.task.payload, deadline});
}

bool worker_agent::removeCredit(const std::string &entry, const task_shape &resources)
{
    const auto creditState = m_entries.find(entry);
    if (creditState == m_entries.end()) {
        return false;
    }
    const auto credit = creditState->second.credits.find(resources);
    if (credit == creditState->second.credits.end()) {
        return false;
    }
    if (--credit->second == 0) {
        creditState->second.credits.erase(credit);
    }
    return true;
}

bool worker_agent::raiseFence(std::uint32_t shard, std::uint64_t epoch, const std::string &owner)
{
    if (shard >= SHARD_COUNT || epoch < m_fences[shard].epoch) {
        return false;
    }
    m_fences[shard] = {epoch, owner};
    return true;
}

void worker_agent::grantCredits()
{
    if (!acceptsWork() || !hasFreshState()) {
        return;
    }
    std::map<std::pair<std::string, task_shape>, std::uint32_t> granted;
    while (m_capacity.freeSlots() > 0) {
        std::vector<std::map<std::string, entry_credit_state>::iterator> waiting;
        for (auto creditState = m_entries.begin(); creditState != m_entries.end(); ++creditState) {
            if (!creditState->second.pendingDemand.empty()) {
                waiting.push_back(creditState);
            }
        }
        std::sort(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) {
            return left->second.oldestWaitStart < right->second.oldestWaitStart;
        });
        const bool any = std::any_of(waiting.begin(), waiting.end(), [this, &granted](auto &creditState) {
            return grantCredit(creditState->first, creditState->second, granted);
        });
        if (!any) {
            break;
        }
    }
    for (const auto &[key, count] : granted) {
        m_outbox.send(key.first, grant{m_settings.incarnation, {key.second, count}, grantableSlots()});
    }
}

bool worker_agent::grantCredit(const std::string &entry,
                               entry_credit_state &creditState,
                               std::map<std::pair<std::string, task_shape>, std::uint32_t> &granted)
{
    const auto fitting = std::find_if(creditState.pendingDemand.begin(),
                                      creditState.pendingDemand.end(),
                                      [this](const shape_count &pending) { return m_capacity.fits(pending.shape); });
    if (fitting == creditState.pendingDemand.end()) {
        return false;
    }
    const task_shape resources = fitting->shape;
    m_capacity.reserve(resources);
    ++creditState.credits[resources];
    creditState.creditDeadline = m_time.steadyNow() + CREDIT_LIFETIME;
    ++granted[{entry, resources}];
    ++m_counters.creditsGranted;
    if (--fitting->count == 0) {
        creditState.pendingDemand.erase(fitting);
    }
    return true;
}

void worker_agent::releaseCredits(entry_credit_state &creditState)
{
    for (const auto &[resources, count] : creditState.credits) {
        for (std::uint32_t released = 0; released < count; ++released) {
            m_capacity.release(resources);
        }
    }
    creditState.credits.clear();
}

void worker_agent::expireCredits()
{
    for (auto &[entry, creditState] : m_entries) {
        if (!creditState.credits.empty() && m_time.steadyNow() >= creditState.creditDeadline) {
            releaseCredits(creditState);
        }
    }
}

void worker_agent::applyDemand(const std::string &entry, const demand &value)
{
    const auto creditState = m_entries.find(entry);
    if (creditState == m_entries.end()) {
        return;
    }
    creditState->second.pendingDemand = value.wanted;
    std::erase_if(creditState->second.pendingDemand, [](const shape_count &pending) { return pending.count == 0; });
    creditState->second.oldestWaitStart = m_time.steadyNow() - microseconds(std::max<std::int64_t>(value.oldestWaitMicroseconds, 0));
}

upstream_status worker_agent::status() const
{
    upstream_status result;
    result.agentIncarnation = m_settings.incarnation;
    if (!m_upstream) {
        return result;
    }
    result.present = m_time.steadyNow() < m_upstreamDeadline;
    result.leaving = m_isLeaving || m_isStopping;
    result.name = m_upstream->name;
    result.labels = m_upstream->labels;
    result.labels.push_back({"upstream", m_upstream->name});
    result.labels.push_back({"agent", m_settings.name});
    result.labels.push_back({"data_centre", m_settings.dataCentre});
    result.labels.push_back({"rack", m_settings.rack});
    result.slots = m_capacity.slots();
    result.capacity = m_upstream->capacity;
    return result;
}

void worker_agent::updateOperatorDrain()
{
    const configuration &current = m_fleet.currentConfiguration();
    m_isDrainedByOperator = current.isDrained(current.effectiveLabels(status().labels));
}

void worker_agent::broadcastStatus()
{
    m_wasAccepting = acceptsWork();
    for (const auto &[entry, creditState] : m_entries) {
        m_outbox.send(entry, status());
    }
}

std::uint32_t worker_agent::grantableSlots() const
{
    return acceptsWork() ? m_capacity.freeSlots() : 0;
}

}
