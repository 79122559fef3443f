#ifndef AZUREMOOR_JOBS_DELIVERY_NOTIFIER_H
#define AZUREMOOR_JOBS_DELIVERY_NOTIFIER_H

#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Periodically tells agents which submissions have been answered, so that they can discard the stored results.
class delivery_notifier
{
public:
    delivery_notifier(const time_source &time, peer_outbox &outbox);

    /// Queues a notice to the agent, which ran tasks of the submission, that the submission has been answered.
    void add(const std::string &agent, const submission_key &submission);

    /// Sends the queued notices if the send interval has elapsed. A list longer than MAX_LIST_LENGTH does not fit into a message and
    /// is dropped.
    void tick();

private:
    const time_source &m_time;
    peer_outbox &m_outbox;
    std::map<std::string, std::vector<submission_key>> m_answered;
    steady_time m_nextSend;
};

}

#endif
