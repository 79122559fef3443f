#ifndef AZUREMOOR_FLEET_PEER_OUTBOX_H
#define AZUREMOOR_FLEET_PEER_OUTBOX_H

#include <string>

#include "messages/messages.h"

namespace azuremoor
{

/// Interface for sending messages to other processes of the fleet by name. Delivery is not guaranteed. Messages to the local
/// process are allowed.
class peer_outbox
{
public:
    virtual ~peer_outbox() = default;

    /// Sends the message, or drops it if the peer cannot be reached.
    virtual void send(const std::string &peer, message value) = 0;
};

}

#endif
