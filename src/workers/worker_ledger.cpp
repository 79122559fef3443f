#include "workers/worker_ledger.h"

#include <algorithm>
#include <array>

#include "base/submission_id.h"

namespace azuremoor
{

namespace
{

/// Limit on delivered submissions beyond twice the number of recorded submissions. Above it, the expired ones are removed from the list.
constexpr std::size_t MAX_STALE_DELIVERIES = 1024;

}

worker_ledger::worker_ledger(ledger_limits limits)
    : m_limits(limits)
{
}

const worker_ledger::task_record *worker_ledger::find(const std::string &jobId, std::uint32_t attempt, std::uint32_t taskIndex) const
{
    const auto submission = m_submissions.find(submissionKey(jobId, attempt));
    if (submission == m_submissions.end()) {
        return nullptr;
    }
    const auto task = submission->second.tasks.find(taskIndex);
    return task == submission->second.tasks.end() ? nullptr : &task->second;
}

bool worker_ledger::isClosed(const std::string &jobId, std::uint32_t attempt) const
{
    const auto submission = m_submissions.find(submissionKey(jobId, attempt));
    return submission != m_submissions.end() && submission->second.closed;
}

bool worker_ledger::canRecordTask() const
{
    return m_size < m_limits.maxTasks && m_answerBytes < m_limits.maxAnswerBytes;
}

void worker_ledger::recordStart(const submission_key &key, const task_placement &placement, unix_time deadline)
{
    submission_record &submission = findOrCreateSubmission(key, deadline);
    const auto [position, inserted] = submission.tasks.try_emplace(placement.index);
    m_size += inserted ? 1 : 0;
    position->second = {task_state::running, key.epoch, placement.number, {}};
}

void worker_ledger::recordEnd(const submission_key &key, std::uint32_t taskIndex, task_outcome outcome)
{
    const auto submission = m_submissions.find(submissionKey(key.jobId, key.attempt));
    if (submission == m_submissions.end()) {
        return;
    }
    const auto task = submission->second.tasks.find(taskIndex);
    if (task == submission->second.tasks.end() || task->second.state != task_state::running) {
        return;
    }
    if (outcome.outcome == verdict::not_run) {
        // The upstream never received the task: a later placement may be started, but not this one again.
        task->second.state = task_state::blocked;
        return;
    }
    m_answerBytes += outcome.answer.size() + outcome.error.size();
    task->second.state = task_state::ended;
    task->second.outcome = std::move(outcome);
    dropDeliveredAnswers();
}

void worker_ledger::recordBlocked(const submission_key &key, const task_placement &placement, unix_time deadline)
{
    submission_record &submission = findOrCreateSubmission(key, deadline);
    const auto [position, inserted] = submission.tasks.try_emplace(placement.index);
    m_size += inserted ? 1 : 0;
    task_record &task = position->second;
    if (task.state != task_state::blocked) {
        return;
    }
    if (std::pair(task.epoch, task.placementNumber) < std::pair(key.epoch, placement.number)) {
        task.epoch = key.epoch;
        task.placementNumber = placement.number;
    }
}

void worker_ledger::recordClosed(const submission_key &key, unix_time deadline)
{
    submission_record &submission = findOrCreateSubmission(key, deadline);
    m_size += submission.closed ? 0 : 1;
    submission.closed = true;
}

void worker_ledger::recordDelivered(const submission_key &key)
{
    const auto submission = m_submissions.find(submissionKey(key.jobId, key.attempt));
    if (submission == m_submissions.end() || submission->second.delivered) {
        return;
    }
    submission->second.delivered = true;
    m_delivered.push_back(submission->first);
    dropDeliveredAnswers();
}

void worker_ledger::expire(unix_time now)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        const auto submission = m_submissions.find(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
        if (submission == m_submissions.end()) {
            continue;
        }
        const bool running = std::any_of(submission->second.tasks.begin(), submission->second.tasks.end(), [](const auto &task) {
            return task.second.state == task_state::running;
        });
        if (running) {
            m_expiry.emplace(now + m_limits.retention, submission->first);
            continue;
        }
        for (const auto &[taskIndex, task] : submission->second.tasks) {
            m_answerBytes -= task.outcome.answer.size() + task.outcome.error.size();
        }
        m_size -= submission->second.tasks.size() + (submission->second.closed ? 1 : 0);
        m_submissions.erase(submission);
    }
    if (m_delivered.size() > 2 * m_submissions.size() + MAX_STALE_DELIVERIES) {
        std::erase_if(m_delivered, [this](const std::string &name) { return !m_submissions.contains(name); });
    }
}

void worker_ledger::importEntry(const ledger_entry &entry)
{
    const submission_key key{entry.jobId, entry.attempt, 0};
    const unix_time deadline = fromUnixMilliseconds(entry.deadlineMilliseconds);
    if (entry.state == ledger_state::closed) {
        recordClosed(key, deadline);
        return;
    }
    if (find(entry.jobId, entry.attempt, entry.index) != nullptr) {
        return;
    }
    recordStart(key, {entry.index, 0}, deadline);
    // The agent that started the task is stopping and waits for it, but an outcome after the handover is not known here.
    const bool ended = entry.state == ledger_state::ended;
    recordEnd(key, entry.index, ended ? entry.outcome : task_outcome{verdict::may_have_run, {}, "the agent stopped before the task ended"});
}

std::vector<ledger_entry> worker_ledger::entriesForShards(const std::vector<shard_epoch> &shards) const
{
    std::array<bool, SHARD_COUNT> isWanted{};
    for (const shard_epoch &shard : shards) {
        if (shard.shard < SHARD_COUNT) {
            isWanted[shard.shard] = true;
        }
    }
    std::vector<ledger_entry> entries;
    for (const auto &[key, submission] : m_submissions) {
        if (!isWanted[submission.shard]) {
            continue;
        }
        const std::size_t separator = key.rfind('/');
        const std::string jobId = key.substr(0, separator);
        const auto attempt = static_cast<std::uint32_t>(std::stoul(key.substr(separator + 1)));
        if (submission.closed) {
            entries.push_back({jobId, attempt, 0, ledger_state::closed, {}, unixMilliseconds(submission.deadline), {}, 0});
        }
        for (const auto &[taskIndex, task] : submission.tasks) {
            if (task.state != task_state::blocked) {
                const ledger_state state = task.state == task_state::running ? ledger_state::running : ledger_state::ended;
                entries.push_back({jobId, attempt, taskIndex, state, task.outcome, unixMilliseconds(submission.deadline), {}, 0});
            }
        }
    }
    return entries;
}

std::size_t worker_ledger::size() const
{
    return m_size;
}

std::size_t worker_ledger::answerBytes() const
{
    return m_answerBytes;
}

std::string worker_ledger::submissionKey(const std::string &jobId, std::uint32_t attempt)
{
    return jobId + '/' + std::to_string(attempt);
}

worker_ledger::submission_record &worker_ledger::findOrCreateSubmission(const submission_key &key, unix_time deadline)
{
    const std::string name = submissionKey(key.jobId, key.attempt);
    const auto [position, inserted] = m_submissions.try_emplace(name);
    if (inserted) {
        position->second.deadline = deadline;
        position->second.shard = shardOf(key.jobId);
        m_expiry.emplace(deadline + m_limits.retention, name);
    }
    return position->second;
}

void worker_ledger::dropDeliveredAnswers()
{
    std::size_t dropped = 0;
    while (m_answerBytes > m_limits.maxAnswerBytes && dropped < m_delivered.size()) {
        const auto submission = m_submissions.find(m_delivered[dropped]);
        ++dropped;
        if (submission == m_submissions.end()) {
            continue;
        }
        for (auto &[taskIndex, task] : submission->second.tasks) {
            if (task.state != task_state::ended || task.outcome.answer.empty()) {
                continue;
            }
            m_answerBytes -= task.outcome.answer.size() + task.outcome.error.size();
            task.outcome.answer.clear();
            task.outcome.error = "the answer was already delivered and is no longer stored";
            m_answerBytes += task.outcome.error.size();
        }
    }
    m_delivered.erase(m_delivered.begin(), m_delivered.begin() + static_cast<std::ptrdiff_t>(dropped));
}

}
