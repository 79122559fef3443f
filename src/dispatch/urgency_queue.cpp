#include "dispatch/urgency_queue.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Maximum number of jobs of one priority that are counted in the demand sent to agents.
constexpr std::size_t MAX_DEMAND_JOBS = 50;

constexpr double MICROSECONDS_PER_MILLISECOND = 1000;

/// Adds to the row of the priority. Priorities must be added from the highest to the lowest.
void addDemand(room_wish &demand, std::uint32_t priority, std::uint64_t milliCores)
{
    std::vector<priority_demand> &rows = demand.byPriority;
    const bool isNew = rows.empty() || rows.back().priority != priority;
    if (isNew && rows.size() < MAX_DEMAND_PRIORITIES) {
        rows.push_back({priority, 0});
    }
    rows.back().milliCores += milliCores;
}

}

void urgency_queue::add(active_job &job, steady_time now)
{
    remove(job.number);
    job.isLate = now > job.latestStart();
    const queue_position position = positionOf(job);
    m_jobs[position] = &job;
    m_positions[job.number] = position;
}

void urgency_queue::remove(std::uint64_t jobNumber)
{
    const auto found = m_positions.find(jobNumber);
    if (found != m_positions.end()) {
        m_jobs.erase(found->second);
        m_positions.erase(found);
    }
}

void urgency_queue::moveLateJobs(steady_time now)
{
    std::vector<active_job *> late;
    for (const auto &[position, job] : m_jobs) {
        if (!job->isLate && job->latestStart() < now && !job->mayHaveStarted()) {
            late.push_back(job);
        }
    }
    for (active_job *job : late) {
        add(*job, now);
    }
}

const active_job *urgency_queue::mostUrgent() const
{
    return m_jobs.empty() ? nullptr : m_jobs.begin()->second;
}

std::vector<active_job *> urgency_queue::jobsByUrgency() const
{
    std::vector<active_job *> result;
    for (const auto &[position, job] : m_jobs) {
        result.push_back(job);
    }
    return result;
}

void urgency_queue::visitByUrgency(const std::function<void(const active_job &job)> &visit) const
{
    for (const auto &[position, job] : m_jobs) {
        visit(*job);
    }
}

bool urgency_queue::isBefore(const active_job &first, const active_job &second)
{
    return positionOf(first) < positionOf(second);
}

void urgency_queue::fillLoad(const active_job &job, steady_time now, admission_load &load) const
{
    const queue_position ownPosition = positionOf(job);
    double work = 0;
    std::uint32_t lastPriority = ownPosition.priority;
    for (const auto &[position, waiting] : m_jobs) {
        if (load.isBelowMinimum && position.priority < ownPosition.priority) {
            continue;
        }
        if (position < ownPosition) {
            work += waiting->waitingWork();
            load.workAhead = work;
            load.milliCoresAhead += waiting->waitingMilliCores();
        } else if (position.priority != ownPosition.priority) {
            load.lowerPriorities += position.priority == lastPriority ? 0 : 1;
            lastPriority = position.priority;
        } else {
            work += waiting->waitingWork();
            load.laterJobs.push_back({work, waiting->lastUsefulStart() - now});
        }
    }
}

std::vector<priority_load> urgency_queue::waitingWorkByPriority() const
{
    std::map<std::uint32_t, double> workByPriority;
    for (const auto &[position, job] : m_jobs) {
        workByPriority[job->matchedRoute.priority] += job->waitingWork();
    }
    std::vector<priority_load> result;
    for (const auto &[priority, work] : workByPriority) {
        const auto reportedWork = static_cast<std::uint64_t>(work / MICROSECONDS_PER_MILLISECOND);
        if (result.size() == MAX_REPORTED_PRIORITIES) {
            result.back().waitingWork += reportedWork;
        } else {
            result.push_back({priority, reportedWork});
        }
    }
    return result;
}

double urgency_queue::waitingWorkOf(std::uint32_t priority, const std::function<bool(const active_job &job)> &isCounted) const
{
    double work = 0;
    for (auto each = m_jobs.lower_bound({priority, steady_time::min(), 0}); each != m_jobs.end(); ++each) {
        if (each->first.priority != priority) {
            break;
        }
        work += isCounted(*each->second) ? each->second->waitingWork() : 0;
    }
    return work;
}

room_wish urgency_queue::waitingDemand() const
{
    room_wish result;
    std::size_t countedJobs = 0;
    std::uint32_t priority = 0;
    for (const auto &[position, job] : m_jobs) {
        countedJobs = position.priority == priority ? countedJobs : 0;
        priority = position.priority;
        if (countedJobs == MAX_DEMAND_JOBS) {
            continue;
        }
        const std::uint32_t smallest = job->smallestWaitingMilliCores();
        result.smallestMilliCores = result.smallestMilliCores == 0 ? smallest : std::min(result.smallestMilliCores, smallest);
        const auto needed = static_cast<std::uint64_t>(job->waitingMilliCores());
        result.milliCores += needed;
        addDemand(result, position.priority, needed);
        ++countedJobs;
    }
    return result;
}

urgency_queue::queue_position urgency_queue::positionOf(const active_job &job)
{
    const bool isObjectiveMissed = job.isLate && !job.mayHaveStarted();
    const steady_time promisedStart = isObjectiveMissed ? job.lastUsefulStart() : job.latestStart();
    const steady_time dueStart = std::min(std::max(promisedStart, job.shareStart), job.lastUsefulStart());
    return {job.matchedRoute.priority, dueStart, job.number};
}

}
