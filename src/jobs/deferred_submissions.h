#ifndef AZUREMOOR_JOBS_DEFERRED_SUBMISSIONS_H
#define AZUREMOOR_JOBS_DEFERRED_SUBMISSIONS_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// A submission that waits until its shard has an owner again.
struct deferred_submission {
    std::string entry;
    forwarded_submission submission;
    steady_time deadline;
};

/// Submissions that wait for shards to be recovered, bounded in number and time.
class deferred_submissions
{
public:
    explicit deferred_submissions(const time_source &time);

    /// Keeps the submission of an entry for the shard. Returns whether there was room.
    bool add(std::uint32_t shard, const std::string &entry, const forwarded_submission &submission);

    /// Removes the submissions of the shard and returns those that are not out of time, in their order.
    std::vector<deferred_submission> take(std::uint32_t shard);

private:
    const time_source &m_time;
    std::map<std::uint32_t, std::vector<deferred_submission>> m_deferred;
    std::size_t m_count = 0;
};

}

#endif
