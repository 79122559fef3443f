#ifndef AZUREMOOR_RUNS_ORIGIN_LEASES_H
#define AZUREMOOR_RUNS_ORIGIN_LEASES_H

#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/**
 * Leases of the origins of handed-over jobs in the session of the entry that runs these jobs.
 *
 * An origin is the entry that holds the caller's connection. If it fails, the caller submits the job again some time after the origin's
 * last sign of life, so that the runs must end as early as those of an entry that fails itself, whatever the entry that ordered them does.
 */
class origin_leases
{
public:
    /// Renews leases of the given length by the ages of the origins' last signs of life at a time on this agent's clock.
    void renew(const std::vector<origin_age> &ages, steady_time at, microseconds length, steady_time now);

    /// Returns whether the origin has a lease. An empty origin, of a job that was not handed over, needs none.
    bool isValid(const std::string &origin, steady_time now) const;

    /// Removes the leases that have ended, and returns their origins.
    std::vector<std::string> removeEnded(steady_time now);

private:
    std::map<std::string, steady_time> m_leaseEnds;
};

}

#endif
