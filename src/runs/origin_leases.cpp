#include "runs/origin_leases.h"

#include <algorithm>

namespace azuremoor
{

void origin_leases::renew(const std::vector<origin_age> &ages, steady_time at, microseconds length, steady_time now)
{
    // A time that is too early for any lease, possibly a forged one, would overflow below.
    if (at <= now - length) {
        return;
    }
    for (const origin_age &each : ages) {
        // An age beyond the length cannot grant a lease. This also keeps a forged one from overflowing.
        if (each.origin.empty() || each.ageMicroseconds >= static_cast<std::uint64_t>(length.count())) {
            continue;
        }
        const steady_time leaseEnd = std::min(at, now) - microseconds(each.ageMicroseconds) + length;
        if (leaseEnd > now) {
            steady_time &known = m_leaseEnds[each.origin];
            known = std::max(known, leaseEnd);
        }
    }
}

bool origin_leases::isValid(const std::string &origin, steady_time now) const
{
    if (origin.empty()) {
        return true;
    }
    const auto found = m_leaseEnds.find(origin);
    return found != m_leaseEnds.end() && now < found->second;
}

std::vector<std::string> origin_leases::removeEnded(steady_time now)
{
    std::vector<std::string> ended;
    std::erase_if(m_leaseEnds, [&ended, now](const auto &element) {
        if (now < element.second) {
            return false;
        }
        ended.push_back(element.first);
        return true;
    });
    return ended;
}

}
