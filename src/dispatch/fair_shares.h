#ifndef AZUREMOOR_DISPATCH_FAIR_SHARES_H
#define AZUREMOOR_DISPATCH_FAIR_SHARES_H

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "dispatch/decaying_rate.h"

namespace azuremoor
{

/**
 * The rates at which members of a group, such as client accounts, ask for work and get it, by priority.
 *
 * A rate that is less than what all ask for is divided so that no member gets more than it asks for, and those that ask for more get
 * equal parts. If the members got less than the rate, because it was not available in time, what they got is divided. Work is estimated
 * processor time, in thousandths of a core times microseconds. Times are on the steady clock.
 *
 * At most 512 members are counted one by one; further ones are counted together, by priority. Members that ask for nothing at the moment
 * do not count, and a single member is never limited.
 */
class fair_shares
{
public:
    /// Records work that the member asked for, whether it is admitted or not.
    void recordAsked(std::uint32_t priority, const std::string &member, double work, steady_time now);

    void recordAdmitted(std::uint32_t priority, const std::string &member, double work, steady_time now);

    /// Returns the rate that a member of the priority gets at most if the given rate is divided fairly; infinity if the members ask for no
    /// more than that in all. Rates are in thousandths of a core.
    double fairRate(std::uint32_t priority, double rate, steady_time now) const;

    /// Returns whether the member has got more than its fair part of the rate. Uses a fair rate that is up to 50 ms old.
    bool isAboveShare(std::uint32_t priority, const std::string &member, double rate, steady_time now);

    /// Returns the fair part of the rate for a member that asks for more than that; infinity for others. Uses a fair rate that is up to 50
    /// ms old.
    double limitOf(std::uint32_t priority, const std::string &member, double rate, steady_time now);

private:
    struct member_rates {
        decaying_rate asked;
        decaying_rate admitted;
        member_rates();
    };
    struct member_key {
        std::uint32_t priority = 0;
        /// Whether the key stands for all members of the priority that are not counted one by one.
        bool isOverflow = false;
        std::string member;

        auto operator<=>(const member_key &) const = default;
    };
    /// A fair rate and the rate that it divides.
    struct computed_share {
        double rate = 0;
        double fairRate = 0;
        steady_time validUntil;
    };

    /// Returns the key under which the member is counted, or would be if it is not known yet.
    member_key keyOf(std::uint32_t priority, const std::string &member) const;
    double recentFairRate(std::uint32_t priority, double rate, steady_time now);
    member_rates &ratesOf(std::uint32_t priority, const std::string &member, steady_time now);

    std::map<member_key, member_rates> m_members;
    /// The latest fair rates by priority.
    std::map<std::uint32_t, computed_share> m_computedShares;
    steady_time m_nextCleanUp{};
};

}

#endif
