#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "dispatch/peer_readiness.h"
#include "dispatch/readiness_policy.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using namespace azuremoor::testing;

namespace
{

constexpr milliseconds STEP{15};
constexpr data_centre_peers ALL_READY{7, 7};

/// Calls a policy at the interval of an entry's ticks, and keeps when its answer changed.
struct readiness_trace {
    readiness_policy policy{time};
    std::vector<steady_time> changes;
    microseconds unready{0};

    void run(microseconds duration, bool isShort, data_centre_peers peers = ALL_READY)
    {
        for (microseconds elapsed{0}; elapsed < duration; elapsed += STEP) {
            const bool wasReady = policy.isReady();
            unready += wasReady ? microseconds(0) : microseconds(STEP);
            policy.update(isShort, peers);
            if (policy.isReady() != wasReady) {
                changes.push_back(time.steadyNow());
            }
            time.run(STEP);
        }
    }

    static inline virtual_time time;
};

}

TEST_CASE("readiness: an entry that stays short is not ready, and again ready when the shortage is over")
{
    readiness_trace trace;
    trace.run(seconds(40), false);
    trace.run(milliseconds(1900), true);
    CHECK(trace.policy.isReady());
    trace.run(milliseconds(300), true);
    CHECK_FALSE(trace.policy.isReady());
    trace.run(milliseconds(1500), false);
    CHECK_FALSE(trace.policy.isReady());
    trace.run(milliseconds(700), false);
    CHECK(trace.policy.isReady());
}

// Guards against flapping: a balancer that sees an entry go and come moves its connections each time.
TEST_CASE("readiness: each state lasts for 2 s, whatever the shortage does")
{
    for (const milliseconds period : {milliseconds(30), milliseconds(1500), milliseconds(2100), milliseconds(5000)}) {
        readiness_trace trace;
        for (microseconds elapsed{0}; elapsed < seconds(300); elapsed += 2 * period) {
            trace.run(period, true);
            trace.run(period, false);
        }
        for (std::size_t index = 1; index < trace.changes.size(); ++index) {
            CHECK(trace.changes[index] - trace.changes[index - 1] >= readiness_policy::MIN_STATE_TIME);
        }
    }
}

// Guards against an entry that leaves its callers to the others for longer than its turn, although all are short.
TEST_CASE("readiness: an entry that is always short is ready for at least three quarters of the time")
{
    readiness_trace trace;
    trace.run(seconds(600), true);
    CHECK(trace.unready <= seconds(150));
    CHECK(trace.unready > seconds(30));
    CHECK(trace.changes.size() > 10);
}

TEST_CASE("readiness: three quarters of the entries of a data centre stay ready")
{
    readiness_trace few;
    few.run(seconds(100), true, {2, 2});
    CHECK(few.changes.empty());
    readiness_trace enough;
    enough.run(seconds(100), true, {3, 3});
    CHECK_FALSE(enough.changes.empty());
    readiness_trace unknown;
    unknown.run(seconds(100), true, {0, 0});
    CHECK(unknown.changes.empty());
    readiness_trace degraded;
    degraded.run(seconds(100), true, {7, 5});
    CHECK(degraded.changes.empty());
}

TEST_CASE("readiness: an entry is ready again at once when too few others are")
{
    readiness_trace trace;
    trace.run(seconds(40), false);
    trace.run(milliseconds(2200), true);
    REQUIRE_FALSE(trace.policy.isReady());
    trace.run(STEP, true, {7, 5});
    CHECK(trace.policy.isReady());
}

// Guards deployments with --readiness off against an entry that the balancer sends no callers to.
TEST_CASE("readiness: without the policy an entry is always ready")
{
    virtual_time time;
    readiness_policy policy(time, false);
    for (int step = 0; step < 10'000; ++step) {
        policy.update(true, ALL_READY);
        REQUIRE(policy.isReady());
        time.run(STEP);
    }
}

// Guards against entries of one data centre that are all short and all turn not ready, so that the balancer has no entry left.
TEST_CASE("readiness: entries that are short at once stay ready for the most part")
{
    constexpr std::size_t ENTRIES = 8;
    virtual_time time;
    std::vector<readiness_policy> policies(ENTRIES, readiness_policy(time));
    std::vector<bool> reported(ENTRIES, true);
    microseconds belowLimit{0};
    for (int step = 0; step < 20'000; ++step) {
        const std::size_t reporting = static_cast<std::size_t>(step) % ENTRIES;
        reported[reporting] = policies[reporting].isReady();
        std::size_t ready = 0;
        for (std::size_t index = 0; index < ENTRIES; ++index) {
            const auto others = std::count(reported.begin(), reported.end(), true) - (reported[index] ? 1 : 0);
            policies[index].update(true, {ENTRIES - 1, static_cast<std::size_t>(others)});
            ready += policies[index].isReady() ? 1 : 0;
        }
        belowLimit += 4 * ready < 3 * ENTRIES ? microseconds(STEP) : microseconds(0);
        time.run(STEP);
    }
    // Entries that change within the time of a round of heartbeats do not know of each other.
    CHECK(belowLimit < seconds(6));
}

TEST_CASE("readiness: peers count by data centre, with a fresh report only")
{
    virtual_time time;
    peer_readiness peers(time);
    peers.connectEntry("a", "north");
    peers.connectEntry("b", "north");
    peers.connectEntry("c", "south");
    peers.record("a", true);
    peers.record("c", true);
    peers.record("unknown", true);
    CHECK(peers.peersOf("north").known == 1);
    peers.record("b", false);
    CHECK(peers.peersOf("north").known == 2);
    CHECK(peers.peersOf("north").ready == 1);
    time.run(PEER_READINESS_LIFETIME);
    CHECK(peers.peersOf("north").known == 0);
    peers.record("a", true);
    peers.disconnectEntry("a");
    CHECK(peers.peersOf("north").known == 0);
}
