#include "dispatch/former_sessions.h"

#include <algorithm>
#include <utility>

namespace azuremoor
{

namespace
{

/// Removes and returns the last of the sessions that fulfils the condition.
template<typename Condition>
std::optional<former_session> takeLast(std::vector<former_session> &sessions, Condition isWanted)
{
    const auto found = std::find_if(sessions.rbegin(), sessions.rend(), isWanted);
    if (found == sessions.rend()) {
        return std::nullopt;
    }
    former_session session = std::move(*found);
    sessions.erase(std::next(found).base());
    return session;
}

}

void former_sessions::add(former_session session)
{
    if (!session.runs.empty()) {
        m_sessions.push_back(std::move(session));
    }
}

std::optional<former_session> former_sessions::takeSessionWith(std::uint64_t incarnation)
{
    return takeLast(m_sessions, [incarnation](const former_session &session) { return session.incarnation == incarnation; });
}

std::optional<former_session> former_sessions::takeLatestOf(const std::string &workerInstance)
{
    return takeLast(m_sessions, [&workerInstance](const former_session &session) { return session.workerInstance == workerInstance; });
}

std::optional<former_session> former_sessions::takeLatestLapsed(steady_time now)
{
    return takeLast(m_sessions, [now](const former_session &session) { return now >= session.runsEndBy; });
}

bool former_sessions::isEmpty() const
{
    return m_sessions.empty();
}

}
