#include "dispatch/admission_policy.h"

#include <algorithm>
#include <cmath>

#include "dispatch/priority_shares.h"

namespace azuremoor
{

namespace
{

/// Assumed waiting time while no worker is usable.
constexpr microseconds ASSUMED_WAIT = seconds(2);

/// Multiples of the entry's share of the capacity that callers ask for, between which an overload counts as none and as full: the demand
/// of a second varies by about a twentieth by chance.
constexpr double FIRST_OVERLOAD = 1.05;
constexpr double FULL_OVERLOAD = 1.25;

/// Returns the rate of an entry with an equal share, in thousandths of a core.
double equalRate(const admission_load &load)
{
    return load.capacityMilliCores / std::max(load.entryCount, 1.0);
}

/// Returns the rate of the entry with priorities, in thousandths of a core. Without an overload, an entry with little demand is not limited
/// to a small share: what the others don't ask for is free for it. In an overload they leave nothing, and what the entry ordered lately
/// says nothing of the time that a job has to wait.
double rateOfAllPriorities(const admission_load &load)
{
    const double overload = overloadPart(load);
    const double shareRate = load.capacityMilliCores * load.share;
    const double usableRate = std::max({shareRate, equalRate(load), load.entryRate});
    return overload * shareRate + (1 - overload) * usableRate;
}

/// Returns whether the free capacity suffices for the job and for the tasks ahead of it.
bool isCapacityFree(const admission_load &load)
{
    return load.isPrioritized && load.milliCoresAhead + load.jobMilliCores <= load.freeMilliCores;
}

/// Returns the part of the job's work that does not fit into the free capacity.
double unplacedJobWork(const admission_load &load)
{
    const double fittingShare = load.jobMilliCores <= 0 ? 1 : std::min(1.0, load.freeMilliCores / load.jobMilliCores);
    return load.jobWork * (1 - fittingShare);
}

}

double demandRatio(const admission_load &load)
{
    const double capacity = load.capacityMilliCores * load.share;
    return load.isPrioritized && capacity > 0 ? load.askedRate / capacity : 0;
}

double overloadPart(const admission_load &load)
{
    return std::clamp((demandRatio(load) - FIRST_OVERLOAD) / (FULL_OVERLOAD - FIRST_OVERLOAD), 0.0, 1.0);
}

double expectedRate(const admission_load &load)
{
    if (!load.isPrioritized) {
        return std::max(equalRate(load), load.entryRate);
    }
    const double rate = rateOfAllPriorities(load);
    const double lowerRate = MIN_PRIORITY_SHARE * static_cast<double>(load.lowerPriorities) * rate;
    return std::max(rate - overloadPart(load) * (load.higherRate + lowerRate), MIN_PRIORITY_SHARE * rate);
}

microseconds fair_share_admission::expectedWait(const admission_load &load) const
{
    if (isCapacityFree(load)) {
        return microseconds(0);
    }
    if (load.workAhead <= 0 && load.freeMilliCores >= load.jobMilliCores) {
        return microseconds(0);
    }
    if (load.capacityMilliCores <= 0) {
        return ASSUMED_WAIT;
    }
    return microseconds(static_cast<std::int64_t>((load.workAhead + unplacedJobWork(load)) / expectedRate(load)));
}

bool fair_share_admission::delaysAdmittedJobs(const admission_load &load) const
{
    if (load.capacityMilliCores <= 0 || isCapacityFree(load)) {
        return false;
    }
    const double rate = expectedRate(load);
    const double addedWait = unplacedJobWork(load) / rate;
    return std::any_of(load.laterJobs.begin(), load.laterJobs.end(), [rate, addedWait](const later_job &job) {
        const double wait = job.cumulativeWork / rate;
        const auto slack = static_cast<double>(job.slack.count());
        return wait <= slack && wait + addedWait > static_cast<double>(maxExpectedWait(job.slack).count());
    });
}

microseconds fair_share_admission::queueWait(const admission_load &load) const
{
    if (load.laterJobs.empty() || load.capacityMilliCores <= 0) {
        return expectedWait(load);
    }
    return microseconds(static_cast<std::int64_t>(load.laterJobs.back().cumulativeWork / expectedRate(load)));
}

}
