#include "dispatch/asked_jobs.h"

namespace azuremoor
{

asked_jobs::asked_jobs(const time_source &time)
    : m_time(time)
{
}

bool asked_jobs::recordSubmission(const std::string &id)
{
    const steady_time now = m_time.steadyNow();
    forgetOld(now);
    const steady_time forgottenAt = now + REPEAT_TIME;
    m_submissions.push_back({forgottenAt, id});
    return !m_forgottenAt.insert_or_assign(id, forgottenAt).second;
}

void asked_jobs::forgetOld(steady_time now)
{
    while (!m_submissions.empty() && (m_submissions.front().forgottenAt <= now || m_submissions.size() >= MAX_ASKED_JOBS)) {
        const submission &oldest = m_submissions.front();
        const auto found = m_forgottenAt.find(oldest.id);
        if (found != m_forgottenAt.end() && found->second == oldest.forgottenAt) {
            m_forgottenAt.erase(found);
        }
        m_submissions.pop_front();
    }
}

}
