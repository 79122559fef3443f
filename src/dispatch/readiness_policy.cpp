#include "dispatch/readiness_policy.h"

#include <algorithm>

#include "dispatch/link_budget.h"
#include "dispatch/processor_budget.h"

namespace azuremoor
{

namespace
{

/// Three quarters of the entries of a data centre stay ready.
constexpr std::size_t READY_NUMERATOR = 3;
constexpr std::size_t READY_DENOMINATOR = 4;

/// Part of the elapsed time that enters the account: the part of the entries that need not be ready.
constexpr double ACCOUNT_SHARE = 1 - static_cast<double>(READY_NUMERATOR) / READY_DENOMINATOR;

/// Longest time without readiness in one piece. By then new connections have gone elsewhere for a while, and a shortage that is left is not
/// theirs.
constexpr double MAX_ACCOUNT = static_cast<double>(microseconds(seconds(4)).count());

/// Time that is kept in the account, so that an update that comes late does not overdraw it.
constexpr double ACCOUNT_RESERVE = static_cast<double>(microseconds(milliseconds(100)).count());

/// Delays from which on a resource is short: requests will soon not be read at once, and orders wait for longer than a burst on the link.
constexpr microseconds SHORT_PROCESSOR_DELAY = PROMPT_READ_DELAY / 2;
constexpr microseconds SHORT_LINK_DELAY = 2 * LINK_BURST;

}

readiness_policy::readiness_policy(const time_source &time, bool isEnabled)
    : m_time(time)
    , m_isEnabled(isEnabled)
    , m_updatedAt(time.steadyNow())
    , m_changedAt(m_updatedAt)
{
}

void readiness_policy::update(bool isShort, const data_centre_peers &peers)
{
    if (!m_isEnabled) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    fillAccount(now);
    if (!isShort) {
        m_shortSince.reset();
    } else if (!m_shortSince) {
        m_shortSince = now;
    }
    if (m_isReady) {
        const bool isLasting = m_shortSince && now >= *m_shortSince + MIN_STATE_TIME && now >= m_changedAt + MIN_STATE_TIME;
        const bool isPaid = m_account >= static_cast<double>(MIN_STATE_TIME.count()) + 2 * ACCOUNT_RESERVE;
        if (isLasting && isPaid && mayBeUnready(peers)) {
            setReady(false, now);
        }
    } else if (!mayBeUnready(peers) || m_account <= ACCOUNT_RESERVE || (!isShort && now >= m_changedAt + MIN_STATE_TIME)) {
        setReady(true, now);
    }
}

bool readiness_policy::isReady() const
{
    return m_isReady;
}

void readiness_policy::fillAccount(steady_time now)
{
    const double elapsed = static_cast<double>((now - m_updatedAt).count());
    m_updatedAt = now;
    m_account = std::min(m_account + ACCOUNT_SHARE * elapsed - (m_isReady ? 0 : elapsed), MAX_ACCOUNT);
}

bool readiness_policy::mayBeUnready(const data_centre_peers &peers) const
{
    return READY_DENOMINATOR * peers.ready >= READY_NUMERATOR * (peers.known + 1);
}

void readiness_policy::setReady(bool isReady, steady_time now)
{
    m_isReady = isReady;
    m_changedAt = now;
    // A shortage that lasts beyond the time without readiness counts anew.
    m_shortSince.reset();
}

bool isShortOfResource(microseconds processorDelay, microseconds linkDelay)
{
    return processorDelay >= SHORT_PROCESSOR_DELAY || linkDelay >= SHORT_LINK_DELAY;
}

}
