#include "dispatch/entry_subset.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <xxhash.h>

namespace azuremoor
{

namespace
{

/// Time without a connection after which an entry is replaced by another one.
constexpr milliseconds REPLACEMENT_DELAY{1000};

std::uint64_t rankOf(const std::string &agent, const std::string &entry)
{
    const std::string both = agent + '\n' + entry;
    return XXH64(both.data(), both.size(), 0);
}

}

entry_subset::entry_subset(const time_source &time, std::string agent, std::size_t size)
    : m_time(time)
    , m_agent(std::move(agent))
    , m_size(size)
{
}

entry_selection entry_subset::choose(const entry_directory &directory)
{
    std::vector<std::pair<std::uint64_t, entry_contact>> ranked;
    for (entry_contact &contact : directory.contacts()) {
        const std::uint64_t rank = rankOf(m_agent, contact.address);
        ranked.emplace_back(rank, std::move(contact));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &first, const auto &second) { return first.first < second.first; });
    entry_selection result;
    std::map<std::string, steady_time> targetSince;
    std::size_t reachable = 0;
    for (const auto &[rank, contact] : ranked) {
        const bool isNeeded = reachable < m_size;
        if (!isNeeded && !contact.isConnected) {
            continue;
        }
        result.targets.push_back(contact.address);
        const auto known = m_targetSince.find(contact.address);
        targetSince[contact.address] = known == m_targetSince.end() ? m_time.steadyNow() : known->second;
        if (!isNeeded) {
            result.surplus.push_back(contact.address);
        } else if (!isUnreachable(contact)) {
            ++reachable;
        }
    }
    m_targetSince = std::move(targetSince);
    return result;
}

bool entry_subset::isUnreachable(const entry_contact &contact) const
{
    const auto target = m_targetSince.find(contact.address);
    if (contact.isConnected || target == m_targetSince.end()) {
        return false;
    }
    return m_time.steadyNow() >= std::max(contact.lastChangeAt, target->second) + REPLACEMENT_DELAY;
}

}
