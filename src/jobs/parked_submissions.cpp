#include "jobs/parked_submissions.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Bounds on the submissions that wait, in number and time.
constexpr std::size_t MAX_PARKED = 20'000;
constexpr seconds PARKING_TIME{10};

}

parked_submissions::parked_submissions(const time_source &time)
    : m_time(time)
{
}

bool parked_submissions::park(std::uint32_t shard, const std::string &entry, const forwarded_submission &submission)
{
    if (m_count >= MAX_PARKED) {
        return false;
    }
    ++m_count;
    m_parked[shard].push_back({entry, submission, m_time.steadyNow() + PARKING_TIME});
    return true;
}

std::vector<parked_submission> parked_submissions::take(std::uint32_t shard)
{
    const auto found = m_parked.find(shard);
    if (found == m_parked.end()) {
        return {};
    }
    std::vector<parked_submission> taken = std::move(found->second);
    m_parked.erase(found);
    m_count -= taken.size();
    std::erase_if(taken, [now = m_time.steadyNow()](const parked_submission &waiting) { return now >= waiting.deadline; });
    return taken;
}

}
