#ifndef AZUREMOOR_JOBS_DELIVERY_NOTIFIER_H
#define AZUREMOOR_JOBS_DELIVERY_NOTIFIER_H

#include <map>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Tells agents now and then which submissions have been answered, so that they need not keep the answers.
class delivery_notifier
{
public:
    delivery_notifier(const time_source &time, peer_outbox &outbox);

    /// Notes that the submission, of which the agent ran tasks, has been answered.
    void add(const std::string &agent, const submission_key &submission);

    /// Sends what has been noted, if the time for it has come.
    void tick();

private:
    const time_source &m_time;
    peer_outbox &m_outbox;
    std::map<std::string, std::vector<submission_key>> m_delivered;
    steady_time m_nextSend;
};

}

#endif
