#include "dispatch/preemption_policy.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace azuremoor
{

namespace
{

/// The choice for one task on one worker: the number of its runs that are stopped, which are the newest ones.
struct task_choice {
    std::size_t worker = 0;
    std::vector<std::size_t> runs;
    double lostWork = 0;
    double delayedWork = 0;

    double cost() const
    {
        return lostWork + delayedWork;
    }
};

/// Collects runs for the tasks of one request. Works on a copy of the workers, from which what was chosen is removed.
class run_selection
{
public:
    run_selection(std::vector<preemptible_worker> workers, const preemption_limits &limits)
        : m_workers(std::move(workers))
        , m_limits(limits)
    {
        for (preemptible_worker &worker : m_workers) {
            std::ranges::stable_sort(worker.runs, {}, &preemptible_run::age);
        }
    }

    /// Makes place for a task. Returns whether that is possible.
    bool makePlace(const task_shape &task)
    {
        std::optional<task_choice> best;
        for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
            const std::optional<task_choice> choice = choiceAt(worker, task);
            if (choice && (!best || choice->cost() < best->cost())) {
                best = choice;
            }
        }
        if (best) {
            apply(*best, task);
        }
        return best.has_value();
    }

    const std::vector<preempted_run> &chosen() const
    {
        return m_chosen;
    }

    double lostWork() const
    {
        return m_lostWork;
    }

    double delayedWork() const
    {
        return m_delayedWork;
    }

private:
    std::optional<task_choice> choiceAt(std::size_t index, const task_shape &task) const
    {
        const preemptible_worker &worker = m_workers[index];
        task_choice choice;
        choice.worker = index;
        task_shape available = worker.available;
        std::map<std::uint64_t, std::uint32_t> addedByJob;
        for (std::size_t run = 0; run < worker.runs.size() && !task.fitsInto(available); ++run) {
            const preemptible_run &candidate = worker.runs[run];
            const std::uint32_t stopped = candidate.preemptedRunsOfJob + chosenOf(candidate.job) + addedByJob[candidate.job];
            if (stopped < m_limits.maxPerJob) {
                ++addedByJob[candidate.job];
                available += candidate.shape;
                choice.runs.push_back(run);
            }
        }
        if (!task.fitsInto(available)) {
            return std::nullopt;
        }
        dropUnneededRuns(choice, worker, task);
        for (const std::size_t run : choice.runs) {
            choice.lostWork += worker.runs[run].lostWork();
            choice.delayedWork += worker.runs[run].delayedWork;
        }
        return choice;
    }

    /// Removes runs without which the task still fits, the oldest ones first. A large run may release what smaller ones did before it.
    static void dropUnneededRuns(task_choice &choice, const preemptible_worker &worker, const task_shape &task)
    {
        for (std::size_t position = choice.runs.size(); position-- > 0;) {
            task_shape available = worker.available;
            for (std::size_t other = 0; other < choice.runs.size(); ++other) {
                if (other != position) {
                    available += worker.runs[choice.runs[other]].shape;
                }
            }
            if (task.fitsInto(available)) {
                choice.runs.erase(choice.runs.begin() + static_cast<std::ptrdiff_t>(position));
            }
        }
    }

    void apply(const task_choice &choice, const task_shape &task)
    {
        preemptible_worker &worker = m_workers[choice.worker];
        // From the last one, so that the positions of the others stay valid.
        for (auto run = choice.runs.rbegin(); run != choice.runs.rend(); ++run) {
            const preemptible_run &stopped = worker.runs[*run];
            worker.available += stopped.shape;
            m_chosen.push_back({worker.agent, stopped.sequence});
            ++m_chosenByJob[stopped.job];
            worker.runs.erase(worker.runs.begin() + static_cast<std::ptrdiff_t>(*run));
        }
        worker.available = worker.available.saturatingMinus(task);
        m_lostWork += choice.lostWork;
        m_delayedWork += choice.delayedWork;
    }

    std::uint32_t chosenOf(std::uint64_t job) const
    {
        const auto found = m_chosenByJob.find(job);
        return found == m_chosenByJob.end() ? 0 : found->second;
    }

    std::vector<preemptible_worker> m_workers;
    const preemption_limits &m_limits;
    std::vector<preempted_run> m_chosen;
    std::map<std::uint64_t, std::uint32_t> m_chosenByJob;
    double m_lostWork = 0;
    double m_delayedWork = 0;
};

}

least_loss_preemption::least_loss_preemption(preemption_limits limits)
    : m_limits(limits)
{
}

bool least_loss_preemption::mayStop(const preemptible_run &run) const
{
    const double expected = std::max(static_cast<double>(run.expectedTime.count()), 1.0);
    const double progress = std::max(run.progress, static_cast<double>(run.age.count()) / expected);
    const auto remaining = microseconds(static_cast<std::int64_t>(expected * (1 - progress)));
    return progress <= m_limits.maxProgress && remaining > PREEMPTION_TIME && run.preemptedRunsOfTask < m_limits.maxPerTask
        && run.preemptedRunsOfJob < m_limits.maxPerJob;
}

std::vector<preempted_run> least_loss_preemption::chooseRuns(const preemption_request &request) const
{
    std::set<std::uint32_t, std::greater<>> priorities;
    for (const preemptible_worker &worker : request.workers) {
        for (const preemptible_run &run : worker.runs) {
            priorities.insert(run.priority);
        }
    }
    for (const std::uint32_t priority : priorities) {
        std::vector<preempted_run> chosen = chooseAmong(request, priority);
        if (!chosen.empty()) {
            return chosen;
        }
    }
    return {};
}

std::vector<preempted_run> least_loss_preemption::chooseAmong(const preemption_request &request, std::uint32_t highestPriority) const
{
    std::vector<preemptible_worker> workers = request.workers;
    for (preemptible_worker &worker : workers) {
        std::erase_if(worker.runs, [highestPriority](const preemptible_run &run) { return run.priority < highestPriority; });
    }
    run_selection selection(std::move(workers), m_limits);
    for (const task_shape &task : request.tasks) {
        if (!selection.makePlace(task)) {
            return {};
        }
    }
    const bool isWorthwhile
        = selection.lostWork() + selection.delayedWork() < request.gainedWork && selection.lostWork() <= request.lossBudget;
    return isWorthwhile ? selection.chosen() : std::vector<preempted_run>();
}

}
