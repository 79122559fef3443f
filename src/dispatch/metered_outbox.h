#ifndef AZUREMOOR_DISPATCH_METERED_OUTBOX_H
#define AZUREMOOR_DISPATCH_METERED_OUTBOX_H

#include "dispatch/link_budget.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Passes messages on, and takes the bytes of all but orders from the budget of the link. Orders are counted when they are made.
class metered_outbox : public peer_outbox
{
public:
    /// Both objects must outlive this one.
    metered_outbox(peer_outbox &outbox, link_budget &link);

    void send(const std::string &peer, message value) override;

private:
    peer_outbox &m_outbox;
    link_budget &m_link;
};

/// Returns the approximate bytes of the message on the link, packet headers included. Only the parts that may be long are measured.
std::size_t approximateBytes(const message &value);

/// Returns the approximate bytes of an answer to a caller with a body of the given size, packet headers and the acknowledgement of the
/// request included.
std::size_t approximateAnswerBytes(std::size_t bodyBytes);

}

#endif
