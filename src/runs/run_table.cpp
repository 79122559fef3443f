#include "runs/run_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "runs/lease_timing.h"

namespace azuremoor
{

crashed_run toCrashedRun(const run_key &key, const supervised_run &run, steady_time now)
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - run.startedAt);
    const start_evidence unconfirmed = run.wasWorkerAsked ? start_evidence::asked : start_evidence::none;
    const start_evidence unstopped = run.isStartConfirmed ? start_evidence::confirmed : unconfirmed;
    // A run whose stop was confirmed had ended before the crash, or was about to.
    const start_evidence start = run.isStopConfirmed ? start_evidence::none : unstopped;
    return {key.task, run.queue, static_cast<std::uint32_t>(age.count()), start};
}

run_table::run_map &run_table::runs()
{
    return m_runs;
}

const run_table::run_map &run_table::runs() const
{
    return m_runs;
}

supervised_run &run_table::add(const std::string &session, const run_order &order, steady_time now)
{
    supervised_run run;
    run.session = session;
    run.origin = order.origin;
    run.queue = order.queue;
    run.sequence = order.sequence;
    run.resources = order.shape;
    run.estimate = microseconds(order.estimate);
    run.startedAt = now;
    run.wasWorkerAsked = order.isWorkerAskedFirst;
    return m_runs.emplace(run_key{order.task, order.number}, std::move(run)).first->second;
}

void run_table::recordListed(const std::vector<active_run> &active)
{
    for (const active_run &listed : active) {
        const auto found = m_runs.find(listed.run);
        if (found != m_runs.end()) {
            found->second.percent = listed.percent;
            found->second.isStartConfirmed = true;
            found->second.isOfFormerBoot = false;
        }
    }
}

std::vector<run_key> run_table::endedRuns(std::uint64_t renewalNumber, const lease_response &response) const
{
    std::set<run_key> active;
    for (const active_run &listed : response.active) {
        active.insert(listed.run);
    }
    std::vector<run_key> result;
    for (const auto &[key, run] : m_runs) {
        const bool isConclusive = run.firstConclusiveRenewal != 0 && renewalNumber >= run.firstConclusiveRenewal;
        const bool isPastDeadline
            = run.state == run_state::stopping && response.clock > run.startDeadline + lease_timing::STOP_MARGIN.count();
        if (!active.contains(key) && (isConclusive || isPastDeadline)) {
            result.push_back(key);
        }
    }
    return result;
}

void run_table::moveToNextBoot(std::uint64_t firstConclusiveRenewal)
{
    for (auto &[key, run] : m_runs) {
        run.isOfFormerBoot = true;
        run.isStopConfirmed = false;
        run.firstConclusiveRenewal = firstConclusiveRenewal;
    }
}

task_shape run_table::usedCapacity() const
{
    task_shape used;
    for (const auto &[key, run] : m_runs) {
        used += run.resources;
    }
    return used;
}

std::size_t run_table::count(std::string_view session) const
{
    return std::ranges::count_if(m_runs, [session](const auto &each) { return each.second.session == session; });
}

std::vector<run_progress> run_table::progress(std::string_view session) const
{
    std::vector<run_progress> result;
    for (const auto &[key, run] : m_runs) {
        if (run.session == session && run.state == run_state::running) {
            result.push_back({run.sequence, run.percent});
        }
    }
    return result;
}

std::vector<forecast_run> run_table::forecastRuns(steady_time now) const
{
    std::vector<forecast_run> result;
    result.reserve(m_runs.size());
    for (const auto &[key, run] : m_runs) {
        result.push_back({run.resources, run.estimate, now - run.startedAt, run.percent});
    }
    return result;
}

void run_table::recordRefusedStart(steady_time sentAt)
{
    for (auto &[key, run] : m_runs) {
        run.wasWorkerAsked = run.wasWorkerAsked && run.startedAt < sentAt;
    }
}

std::vector<crashed_run> run_table::crashedRuns(steady_time now) const
{
    std::vector<crashed_run> result;
    result.reserve(m_runs.size());
    for (const auto &[key, run] : m_runs) {
        result.push_back(toCrashedRun(key, run, now));
    }
    return result;
}

std::vector<crashed_run> run_table::lostWithFormerBoot(std::span<const run_key> keys, steady_time crashedAt) const
{
    std::vector<crashed_run> result;
    for (const run_key &key : keys) {
        if (const supervised_run &run = m_runs.at(key); run.isOfFormerBoot) {
            result.push_back(toCrashedRun(key, run, crashedAt));
        }
    }
    return result;
}

bool run_table::hasOverdueStop(steady_time now) const
{
    return std::ranges::any_of(m_runs, [now](const auto &each) { return each.second.stopDeadline && now >= *each.second.stopDeadline; });
}

}
