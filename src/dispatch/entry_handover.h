#ifndef AZUREMOOR_DISPATCH_ENTRY_HANDOVER_H
#define AZUREMOOR_DISPATCH_ENTRY_HANDOVER_H

#include <string>

#include "dispatch/handover_origin.h"
#include "dispatch/handover_receiver.h"

namespace azuremoor
{

/// Both sides of the handover of jobs at one entry: passes events of connections to other entries to them. The objects that the constructor
/// takes must outlive it.
class entry_handover
{
public:
    entry_handover(handover_origin &origin, handover_receiver &receiver);

    void connectEntry(const hello &entry);
    void disconnectEntry(const std::string &entry);
    void recordHeartbeat(const std::string &entry, const entry_heartbeat &heartbeat);

    /// Handles a message of a connected entry. Other kinds than those of handovers are ignored.
    void handleMessage(const std::string &entry, const message &value);

    /// Sends signs of life. Must be called once per heartbeat interval.
    void sendLeases();

    /// Ends handovers with silent entries. Must be called about every 20 ms.
    void tick();

private:
    handover_origin &m_origin;
    handover_receiver &m_receiver;
};

}

#endif
