#include "jobs/deferred_submissions.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Limits on the deferred submissions, in number and time.
constexpr std::size_t MAX_DEFERRED = 20'000;
constexpr seconds MAX_DEFERRAL{10};

}

deferred_submissions::deferred_submissions(const time_source &time)
    : m_time(time)
{
}

bool deferred_submissions::add(std::uint32_t shard, const std::string &entry, const forwarded_submission &submission)
{
    if (m_count >= MAX_DEFERRED) {
        return false;
    }
    ++m_count;
    m_deferred[shard].push_back({entry, submission, m_time.steadyNow() + MAX_DEFERRAL});
    return true;
}

std::vector<deferred_submission> deferred_submissions::take(std::uint32_t shard)
{
    const auto found = m_deferred.find(shard);
    if (found == m_deferred.end()) {
        return {};
    }
    std::vector<deferred_submission> taken = std::move(found->second);
    m_deferred.erase(found);
    m_count -= taken.size();
    std::erase_if(taken, [now = m_time.steadyNow()](const deferred_submission &deferred) { return now >= deferred.expiresAt; });
    return taken;
}

}
