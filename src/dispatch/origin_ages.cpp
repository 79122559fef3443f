#include "dispatch/origin_ages.h"

#include <algorithm>
#include <set>

namespace azuremoor
{

std::vector<origin_age> originAges(const pooled_worker &worker, const origin_lease_source &origins, steady_time at)
{
    std::set<std::string> names;
    for (const auto &[sequence, run] : worker.runs) {
        if (!run.origin.empty()) {
            names.insert(run.origin);
        }
    }
    std::vector<origin_age> result;
    for (const std::string &origin : names) {
        const std::optional<steady_time> aliveAt = origins.aliveAt(origin);
        if (aliveAt && result.size() < MAX_ORIGINS) {
            // The agent's clock may be faster than the own one, and count more time since then.
            const auto age = static_cast<double>(std::max<microseconds>(at - *aliveAt, microseconds(0)).count());
            result.push_back({origin, static_cast<std::uint64_t>(age * (1 + CLOCK_RATE_TOLERANCE))});
        }
    }
    return result;
}

}
