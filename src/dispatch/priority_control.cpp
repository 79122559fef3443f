#include "dispatch/priority_control.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Longest expected wait in microseconds, so that a small share gives a number that can be represented.
constexpr double MAX_WAIT = 3'600'000'000;

}

priority_control::priority_control(const time_source &time,
                                   const route_table &routes,
                                   const entry_load_table &loads,
                                   const local_load &localLoad)
    : m_time(time)
    , m_routes(routes)
    , m_loads(loads)
    , m_localLoad(localLoad)
{
}

bool priority_control::isActive() const
{
    return m_routes.hasSeveralPriorities();
}

std::uint32_t priority_control::lowestPriority() const
{
    return m_routes.lowestPriority();
}

const priority_shares *priority_control::activeShares() const
{
    return isActive() ? &m_shares : nullptr;
}

const priority_shares &priority_control::shares() const
{
    return m_shares;
}

void priority_control::recordAsked(const active_job &job)
{
    if (!isActive() || !job.origin.empty() || job.isRepeated) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    const std::uint32_t priority = job.matchedRoute.priority;
    m_accounts.recordAsked(priority, job.caller.account, job.waitingWork(), now);
    m_dataCentres.recordAsked(priority, job.caller.dataCentre, job.waitingWork(), now);
}

void priority_control::recordAdmitted(const active_job &job)
{
    const std::uint32_t priority = job.matchedRoute.priority;
    ++m_counters[priority].admitted;
    if (!isActive() || !job.origin.empty()) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    const double work = job.waitingWork();
    m_shares.recordAdmitted(priority, work, now);
    m_accounts.recordAdmitted(priority, job.caller.account, work, now);
    m_dataCentres.recordAdmitted(priority, job.caller.dataCentre, work, now);
}

void priority_control::recordRefused(const active_job &job)
{
    ++m_counters[job.matchedRoute.priority].refused;
}

void priority_control::recordOrdered(const active_job &job, double work)
{
    m_counters[job.matchedRoute.priority].orderedWork += work;
    if (isActive()) {
        m_shares.recordOrdered(job.matchedRoute.priority, work, m_time.steadyNow());
    }
}

void priority_control::recordNotBegun(const active_job &job, double work)
{
    if (isActive()) {
        m_shares.recordNotBegun(job.matchedRoute.priority, work, m_time.steadyNow());
    }
}

void priority_control::recordPreempted(const active_job &job, double lostWork)
{
    priority_counters &counters = m_counters[job.matchedRoute.priority];
    ++counters.preemptedRuns;
    counters.lostWork += lostWork;
    m_shares.recordLost(lostWork, m_time.steadyNow());
}

void priority_control::fillLoad(const active_job &job, admission_load &load) const
{
    if (!isActive()) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    load.isPrioritized = true;
    load.askedRate = m_localLoad.askedMilliCores(now);
    load.share = m_loads.demandShare(load.askedRate, static_cast<std::size_t>(load.entryCount));
    load.isBelowMinimum = m_shares.isBelowMinimum(job.matchedRoute.priority, now);
    load.higherRate = load.isBelowMinimum ? 0 : m_shares.admittedRateAbove(job.matchedRoute.priority, now);
}

microseconds priority_control::waitWithinShare(const active_job &job, const urgency_queue &waitingJobs, double rate)
{
    const steady_time now = m_time.steadyNow();
    const std::uint32_t priority = job.matchedRoute.priority;
    const auto wait = [&](fair_shares &shares, std::string caller_identity::*member) {
        const std::string &name = job.caller.*member;
        const double share = shares.limitOf(priority, name, rate, now);
        const double work = waitingJobs.waitingWorkOf(priority, [&](const active_job &other) { return other.caller.*member == name; });
        return microseconds(static_cast<std::int64_t>(std::min(work / share, MAX_WAIT)));
    };
    return std::max(wait(m_accounts, &caller_identity::account), wait(m_dataCentres, &caller_identity::dataCentre));
}

const std::map<std::uint32_t, priority_counters> &priority_control::counters() const
{
    return m_counters;
}

}
