#include "dispatch/peer_readiness.h"

namespace azuremoor
{

peer_readiness::peer_readiness(const time_source &time)
    : m_time(time)
{
}

void peer_readiness::connectEntry(const std::string &entry, const std::string &dataCentre)
{
    m_peers.insert_or_assign(entry, peer_state{dataCentre, false, {}});
}

void peer_readiness::disconnectEntry(const std::string &entry)
{
    m_peers.erase(entry);
}

void peer_readiness::record(const std::string &entry, bool isReady)
{
    const auto found = m_peers.find(entry);
    if (found != m_peers.end()) {
        found->second.isReady = isReady;
        found->second.receivedAt = m_time.steadyNow();
    }
}

data_centre_peers peer_readiness::peersOf(const std::string &dataCentre) const
{
    const steady_time now = m_time.steadyNow();
    data_centre_peers result;
    for (const auto &[entry, peer] : m_peers) {
        const bool isHeard = peer.receivedAt != steady_time{} && now - peer.receivedAt < PEER_READINESS_LIFETIME;
        if (peer.dataCentre == dataCentre && isHeard) {
            ++result.known;
            result.ready += peer.isReady ? 1 : 0;
        }
    }
    return result;
}

}
