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

/// A submission that is held back until this entry serves its shard.
struct deferred_submission {
    std::string entry;
    forwarded_submission submission;
    /// When the deferral ends. Independent of the deadline of the job.
    steady_time expiresAt;
};

/// Holds submissions for shards that this entry does not serve yet, for example during recovery.
///
/// Limited in number and time. Expired submissions get no reply from here, and count towards the limit until take is called.
class deferred_submissions
{
public:
    explicit deferred_submissions(const time_source &time);

    /// Stores a submission that was forwarded by the entry. Returns false, without storing it, if the limit is reached.
    bool add(std::uint32_t shard, const std::string &entry, const forwarded_submission &submission);

    /// Removes the submissions of the shard. Returns those that have not expired, in order of arrival.
    std::vector<deferred_submission> take(std::uint32_t shard);

private:
    const time_source &m_time;
    std::map<std::uint32_t, std::vector<deferred_submission>> m_deferred;
    std::size_t m_count = 0;
};

}

#endif
