#include "jobs/delivery_notifier.h"

namespace azuremoor
{

namespace
{

/// Interval between notices to agents.
constexpr milliseconds SEND_INTERVAL{1000};

}

delivery_notifier::delivery_notifier(const time_source &time, peer_outbox &outbox)
    : m_time(time)
    , m_outbox(outbox)
{
}

void delivery_notifier::add(const std::string &agent, const submission_key &submission)
{
    m_answered[agent].push_back(submission);
}

void delivery_notifier::tick()
{
    if (m_time.steadyNow() < m_nextSend) {
        return;
    }
    m_nextSend = m_time.steadyNow() + SEND_INTERVAL;
    for (auto &[agent, submissions] : m_answered) {
        if (submissions.size() <= MAX_LIST_LENGTH) {
            m_outbox.send(agent, results_delivered{std::move(submissions)});
        }
    }
    m_answered.clear();
}

}
