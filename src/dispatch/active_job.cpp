#include "dispatch/active_job.h"

#include <algorithm>

namespace azuremoor
{

active_job::active_job(std::uint64_t jobNumber, job_spec jobSpec, route jobRoute, steady_time jobArrival, steady_time jobDeadline)
    : number(jobNumber)
    , spec(std::move(jobSpec))
    , matchedRoute(std::move(jobRoute))
    , arrival(jobArrival)
    , deadline(jobDeadline)
{
    createTasks();
    countDependencies();
    computePathDurations();
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        if (spec.steps[step].dependsOn.empty()) {
            release(step);
        }
    }
}

steady_time active_job::latestStart() const
{
    return latencyObjective() - m_criticalPathDuration;
}

steady_time active_job::latencyObjective() const
{
    const double scaledDuration = static_cast<double>(m_criticalPathDuration.count()) * matchedRoute.slackFactor;
    return arrival + microseconds(static_cast<std::int64_t>(scaledDuration)) + matchedRoute.targetLatency;
}

steady_time active_job::lastUsefulStart() const
{
    return std::max(deadline - remainingWorkTime(), arrival);
}

microseconds active_job::remainingWorkTime() const
{
    const auto work = static_cast<double>(m_remainingPathDuration.count()) * (1 + RUN_TIME_RESERVE);
    return microseconds(static_cast<std::int64_t>(work)) + RESULT_TIME;
}

steady_time active_job::latestEndOf(std::uint32_t step) const
{
    std::vector<microseconds> durationAfter(spec.steps.size());
    for (std::size_t later = spec.steps.size(); later-- > step + 1;) {
        for (const std::uint32_t earlier : spec.steps[later].dependsOn) {
            durationAfter[earlier] = std::max(durationAfter[earlier], durationAfter[later] + spec.steps[later].estimate);
        }
    }
    return latencyObjective() - durationAfter[step];
}

std::string active_job::taskName(std::uint32_t task) const
{
    const active_task &namedTask = tasks[task];
    return spec.id + ".0." + std::to_string(namedTask.step) + '.' + std::to_string(namedTask.index);
}

bool active_job::finishTask(std::uint32_t task)
{
    active_task &finished = tasks[task];
    if (finished.state != task_state::done) {
        finished.state = task_state::done;
        --m_unfinishedTasks;
        if (--m_progress[finished.step].unfinishedTasks == 0) {
            finishStep(finished.step);
        }
    }
    return m_unfinishedTasks == 0;
}

double active_job::waitingWork() const
{
    double work = 0;
    for (const active_task &task : tasks) {
        if (task.state == task_state::waiting) {
            work += spec.steps[task.step].taskWork();
        }
    }
    return work;
}

double active_job::totalWork() const
{
    double work = 0;
    for (const active_task &task : tasks) {
        work += spec.steps[task.step].taskWork();
    }
    return work;
}

double active_job::waitingMilliCores() const
{
    double milliCores = 0;
    for (const active_task &task : tasks) {
        milliCores += task.state == task_state::waiting ? spec.steps[task.step].shape.milliCores : 0;
    }
    return milliCores;
}

std::uint32_t active_job::smallestWaitingMilliCores() const
{
    std::uint32_t smallest = 0;
    for (const active_task &task : tasks) {
        const std::uint32_t required = spec.steps[task.step].shape.milliCores;
        if (task.state == task_state::waiting && (smallest == 0 || required < smallest)) {
            smallest = required;
        }
    }
    return smallest;
}

std::uint32_t active_job::largestMilliCores() const
{
    std::uint32_t largest = 0;
    for (const step_spec &step : spec.steps) {
        largest = std::max(largest, step.shape.milliCores);
    }
    return largest;
}

bool active_job::hasWaitingTask() const
{
    return std::any_of(tasks.begin(), tasks.end(), [](const active_task &task) { return task.state == task_state::waiting; });
}

std::size_t active_job::waitingTaskCount() const
{
    return std::count_if(tasks.begin(), tasks.end(), [](const active_task &task) { return task.state == task_state::waiting; });
}

std::size_t active_job::waitingTaskCount(std::uint32_t step) const
{
    return std::count_if(
        tasks.begin(), tasks.end(), [step](const active_task &task) { return task.step == step && task.state == task_state::waiting; });
}

bool active_job::mayHaveStarted() const
{
    return statistics.unsuccessfulRuns > 0 || std::any_of(tasks.begin(), tasks.end(), [](const active_task &task) {
               return task.state == task_state::running || task.state == task_state::done;
           });
}

std::size_t active_job::runningTaskCount() const
{
    return std::count_if(tasks.begin(), tasks.end(), [](const active_task &task) { return task.state == task_state::running; });
}

const step_spec &active_job::stepOf(std::uint32_t task) const
{
    return spec.steps[tasks[task].step];
}

microseconds active_job::criticalPathDuration() const
{
    return m_criticalPathDuration;
}

void active_job::computePathDurations()
{
    for (std::size_t step = spec.steps.size(); step-- > 0;) {
        microseconds after{0};
        for (const std::uint32_t dependent : m_progress[step].dependents) {
            after = std::max(after, m_progress[dependent].pathDuration);
        }
        m_progress[step].pathDuration = spec.steps[step].estimate + after;
        m_criticalPathDuration = std::max(m_criticalPathDuration, m_progress[step].pathDuration);
    }
    m_remainingPathDuration = m_criticalPathDuration;
}

microseconds active_job::longestUnfinishedPath() const
{
    microseconds longest{0};
    for (const step_progress &step : m_progress) {
        longest = std::max(longest, step.unfinishedTasks > 0 ? step.pathDuration : microseconds(0));
    }
    return longest;
}

void active_job::createTasks()
{
    m_progress.resize(spec.steps.size());
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        m_progress[step].firstTask = static_cast<std::uint32_t>(tasks.size());
        m_progress[step].unfinishedTasks = spec.steps[step].count;
        for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
            active_task task;
            task.step = step;
            task.index = index;
            tasks.push_back(std::move(task));
        }
    }
    m_unfinishedTasks = tasks.size();
}

void active_job::countDependencies()
{
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
        for (const std::uint32_t earlier : spec.steps[step].dependsOn) {
            m_progress[earlier].dependents.push_back(step);
            ++m_progress[step].unfinishedDependencies;
        }
    }
}

void active_job::release(std::uint32_t step)
{
    const step_progress &progress = m_progress[step];
    if (progress.unfinishedTasks == 0) {
        finishStep(step);
        return;
    }
    for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
        tasks[progress.firstTask + index].state = task_state::waiting;
    }
}

void active_job::finishStep(std::uint32_t step)
{
    if (m_progress[step].pathDuration == m_remainingPathDuration) {
        m_remainingPathDuration = longestUnfinishedPath();
    }
    for (const std::uint32_t dependent : m_progress[step].dependents) {
        if (--m_progress[dependent].unfinishedDependencies == 0) {
            release(dependent);
        }
    }
}

}
