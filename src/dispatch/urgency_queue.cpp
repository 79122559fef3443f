#include "dispatch/urgency_queue.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Jobs that count in what agents are told of the need for room.
constexpr std::size_t MAX_WISHING_JOBS = 50;

}

void urgency_queue::add(active_job &job, steady_time now)
{
    remove(job.number);
    job.isLate = now > job.latestStart();
    const position place = positionOf(job);
    m_jobs[place] = &job;
    m_positions[job.number] = place;
}

void urgency_queue::remove(std::uint64_t job)
{
    const auto found = m_positions.find(job);
    if (found != m_positions.end()) {
        m_jobs.erase(found->second);
        m_positions.erase(found);
    }
}

void urgency_queue::demoteLate(steady_time now)
{
    std::vector<active_job *> late;
    for (const auto &[place, job] : m_jobs) {
        if (place.place != rank::in_time_or_begun || place.latestStart >= now) {
            break;
        }
        if (!job->mayHaveBegun()) {
            late.push_back(job);
        }
    }
    for (active_job *job : late) {
        add(*job, now);
    }
}

std::vector<active_job *> urgency_queue::inOrder() const
{
    std::vector<active_job *> result;
    for (const auto &[place, job] : m_jobs) {
        result.push_back(job);
    }
    return result;
}

void urgency_queue::describeLoad(const active_job &job, steady_time now, admission_load &load) const
{
    const position own = positionOf(job);
    double work = 0;
    for (const auto &[place, waiting] : m_jobs) {
        work += waiting->waitingWork();
        if (place < own) {
            load.workAhead = work;
        } else if (place.place == rank::in_time_or_begun) {
            load.behind.push_back({work, place.latestStart - now});
        }
    }
}

room_wish urgency_queue::neededRoom() const
{
    room_wish wish;
    std::size_t looked = 0;
    for (const auto &[place, job] : m_jobs) {
        if (place.place != rank::in_time_or_begun || looked == MAX_WISHING_JOBS) {
            break;
        }
        const std::uint32_t smallest = job->smallestWaitingMilliCores();
        wish.smallestMilliCores = looked == 0 ? smallest : std::min(wish.smallestMilliCores, smallest);
        wish.milliCores += static_cast<std::uint64_t>(job->waitingMilliCores());
        ++looked;
    }
    return wish;
}

urgency_queue::position urgency_queue::positionOf(const active_job &job)
{
    const bool isLast = job.isLate && !job.mayHaveBegun();
    return {isLast ? rank::late : rank::in_time_or_begun, job.latestStart(), job.number};
}

}
