#include "dispatch/route_table.h"

#include <algorithm>

namespace azuremoor
{

bool route_table::replace(routing next)
{
    if (next.version <= m_routing.version) {
        return false;
    }
    // Longer prefixes come first, so that the first match is the longest one.
    std::stable_sort(next.routes.begin(), next.routes.end(), [](const route &first, const route &second) {
        return first.pathPrefix.size() > second.pathPrefix.size();
    });
    m_routing = std::move(next);
    m_lowestPriority = 0;
    m_hasSeveralPriorities = false;
    for (route &each : m_routing.routes) {
        each.version = m_routing.version;
        m_lowestPriority = std::max(m_lowestPriority, each.priority);
        m_hasSeveralPriorities = m_hasSeveralPriorities || each.priority != m_routing.routes.front().priority;
    }
    return true;
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = std::find_if(m_routing.routes.begin(), m_routing.routes.end(), [host, path](const route &candidate) {
        return candidate.host == host && path.starts_with(candidate.pathPrefix);
    });
    return found == m_routing.routes.end() ? nullptr : &*found;
}

std::uint64_t route_table::version() const
{
    return m_routing.version;
}

std::size_t route_table::size() const
{
    return m_routing.routes.size();
}

bool route_table::hasSeveralPriorities() const
{
    return m_hasSeveralPriorities;
}

std::uint32_t route_table::lowestPriority() const
{
    return m_lowestPriority;
}

}
