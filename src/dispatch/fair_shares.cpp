#include "dispatch/fair_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace azuremoor
{

namespace
{

/// Time constant of the rates: long enough for members that submit a few jobs in a second.
constexpr microseconds RATE_TIME_CONSTANT = seconds(2);

/// Number of members that are counted one by one. More than these are counted together.
constexpr std::size_t MAX_MEMBERS = 512;

/// What the members got counts as this much more, so that rounding does not count as a lack of capacity.
constexpr double ADMITTED_TOLERANCE = 1.001;

/// Rate in thousandths of a core below which a member is forgotten.
constexpr double IDLE_RATE = 0.1;

/// Time for which a fair rate is used, and between two searches for idle members, so that an arrival does not walk all members.
constexpr microseconds COMPUTATION_INTERVAL = milliseconds(50);

/// A computed fair rate is not used for a rate that differs by more than this part.
constexpr double RATE_TOLERANCE = 0.2;

}

fair_shares::member_rates::member_rates()
    : asked(RATE_TIME_CONSTANT)
    , admitted(RATE_TIME_CONSTANT)
{
}

void fair_shares::recordAsked(std::uint32_t priority, const std::string &member, double work, steady_time now)
{
    ratesOf(priority, member, now).asked.add(work, now);
}

void fair_shares::recordAdmitted(std::uint32_t priority, const std::string &member, double work, steady_time now)
{
    ratesOf(priority, member, now).admitted.add(work, now);
}

double fair_shares::fairRate(std::uint32_t priority, double rate, steady_time now) const
{
    std::vector<double> asked;
    double admitted = 0;
    for (auto each = m_members.lower_bound({priority, false, {}}); each != m_members.end() && each->first.priority == priority; ++each) {
        const double askedOfMember = each->second.asked.perMicrosecond(now);
        if (askedOfMember >= IDLE_RATE) {
            asked.push_back(askedOfMember);
        }
        admitted += each->second.admitted.perMicrosecond(now);
    }
    if (asked.size() <= 1) {
        return std::numeric_limits<double>::infinity();
    }
    std::sort(asked.begin(), asked.end());
    double remaining = std::min(rate, admitted * ADMITTED_TOLERANCE);
    for (std::size_t index = 0; index < asked.size(); ++index) {
        const double equalPart = remaining / static_cast<double>(asked.size() - index);
        if (asked[index] > equalPart) {
            return equalPart;
        }
        remaining -= asked[index];
    }
    return std::numeric_limits<double>::infinity();
}

bool fair_shares::isAboveShare(std::uint32_t priority, const std::string &member, double rate, steady_time now)
{
    const auto found = m_members.find(keyOf(priority, member));
    return found != m_members.end() && found->second.admitted.perMicrosecond(now) > recentFairRate(priority, rate, now);
}

double fair_shares::limitOf(std::uint32_t priority, const std::string &member, double rate, steady_time now)
{
    const auto found = m_members.find(keyOf(priority, member));
    const double fairPart = recentFairRate(priority, rate, now);
    const bool isLimited = found != m_members.end() && found->second.asked.perMicrosecond(now) > fairPart;
    return isLimited ? fairPart : std::numeric_limits<double>::infinity();
}

fair_shares::member_key fair_shares::keyOf(std::uint32_t priority, const std::string &member) const
{
    member_key key{priority, false, member};
    if (m_members.size() < MAX_MEMBERS || m_members.contains(key)) {
        return key;
    }
    return {priority, true, {}};
}

double fair_shares::recentFairRate(std::uint32_t priority, double rate, steady_time now)
{
    computed_share &share = m_computedShares[priority];
    if (now >= share.validUntil || std::abs(rate - share.rate) > RATE_TOLERANCE * share.rate) {
        share = {rate, fairRate(priority, rate, now), now + COMPUTATION_INTERVAL};
    }
    return share.fairRate;
}

fair_shares::member_rates &fair_shares::ratesOf(std::uint32_t priority, const std::string &member, steady_time now)
{
    if (m_members.size() >= MAX_MEMBERS && now >= m_nextCleanUp) {
        m_nextCleanUp = now + COMPUTATION_INTERVAL;
        std::erase_if(m_members, [now](const auto &each) { return each.second.asked.perMicrosecond(now) < IDLE_RATE; });
    }
    return m_members[keyOf(priority, member)];
}

}
