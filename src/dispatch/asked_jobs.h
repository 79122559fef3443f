#ifndef AZUREMOOR_DISPATCH_ASKED_JOBS_H
#define AZUREMOOR_DISPATCH_ASKED_JOBS_H

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "base/time_source.h"

namespace azuremoor
{

/// Time within which a job that is submitted again is the same demand as before.
constexpr microseconds REPEAT_TIME = seconds(2);

/// Most jobs that are remembered. Beyond them the ones that were submitted first are forgotten.
constexpr std::size_t MAX_ASKED_JOBS = 8192;

/// The jobs that callers submitted lately, so that a job counts as demand once however often its caller comes back with it: callers who
/// were refused would otherwise raise the demand by which others have to wait.
class asked_jobs
{
public:
    explicit asked_jobs(const time_source &time);

    /// Records that the job was submitted now. Returns whether it was also submitted within REPEAT_TIME before.
    bool recordSubmission(const std::string &id);

private:
    struct submission {
        steady_time forgottenAt;
        std::string id;
    };

    void forgetOld(steady_time now);

    const time_source &m_time;
    /// In the order of their times.
    std::deque<submission> m_submissions;
    /// When the latest submission of each job is forgotten.
    std::map<std::string, steady_time> m_forgottenAt;
};

}

#endif
