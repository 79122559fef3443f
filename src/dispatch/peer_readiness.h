#ifndef AZUREMOOR_DISPATCH_PEER_READINESS_H
#define AZUREMOOR_DISPATCH_PEER_READINESS_H

#include <map>
#include <string>

#include "base/time_source.h"
#include "dispatch/readiness_policy.h"

namespace azuremoor
{

/// Age from which on a report of readiness is not used.
constexpr microseconds PEER_READINESS_LIFETIME = seconds(2);

/// Whether the connected entries report to the balancer that they are ready, as their heartbeats say.
class peer_readiness
{
public:
    explicit peer_readiness(const time_source &time);

    /// Adds a connected entry, of which nothing is known but its data centre.
    void connectEntry(const std::string &entry, const std::string &dataCentre);

    /// Removes an entry that is not connected any more.
    void disconnectEntry(const std::string &entry);

    /// Records what a heartbeat says. Ignored for entries that are not connected.
    void record(const std::string &entry, bool isReady);

    /// Returns the numbers of connected entries of the data centre with a report that is younger than PEER_READINESS_LIFETIME.
    data_centre_peers peersOf(const std::string &dataCentre) const;

private:
    struct peer_state {
        std::string dataCentre;
        bool isReady = false;
        steady_time receivedAt{};
    };

    const time_source &m_time;
    std::map<std::string, peer_state> m_peers;
};

}

#endif
