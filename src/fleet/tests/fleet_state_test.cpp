#include <doctest/doctest.h>

#include "fleet/control_stream_replica.h"
#include "fleet/fleet_state.h"
#include "testing/virtual_time.h"

using namespace azuremoor;

namespace
{

const unix_time NOW = fromUnixMilliseconds(1'800'000'000'000);

/// Applies records at consecutive offsets, each with its own identifier unless one is given.
class fleet_state_fixture
{
public:
    record_effect apply(decltype(fleet_record::body) body, std::string id = {})
    {
        const std::uint64_t offset = state.offset() + 1;
        return state.apply({offset, encodeRecord({id.empty() ? "record-" + std::to_string(offset) : id, std::move(body)})});
    }

    fleet_state state;
};

fleet_member agentMember(std::uint64_t incarnation)
{
    return {"agent-1", member_role::agent, incarnation, "127.0.0.1:1", "dc-1", "rack-1"};
}

}

TEST_CASE("of several claims with the same previous epoch, only the first takes effect")
{
    fleet_state_fixture fixture;
    CHECK(fixture.apply(ownership_claim{"entry-1", 1, {{5, 0}, {6, 0}}, false, NOW}) == record_effect::applied);
    CHECK(fixture.apply(ownership_claim{"entry-2", 2, {{5, 0}}, false, NOW}) == record_effect::superseded);
    CHECK(fixture.state.ownership(5).owner == "entry-1");
    CHECK(fixture.state.ownership(5).epoch == 1);
    CHECK(fixture.apply(ownership_claim{"entry-2", 2, {{5, 1}}, true, NOW}) == record_effect::applied);
    CHECK(fixture.state.ownership(5).epoch == 3);
    CHECK(fixture.state.ownership(5).previousEpoch == 1);
    CHECK(fixture.state.ownership(6).owner == "entry-1");
}

TEST_CASE("a record that is on the log several times is applied once")
{
    fleet_state_fixture fixture;
    CHECK(fixture.apply(configuration_change{0, "ana", "{}", NOW}, "same") == record_effect::applied);
    CHECK(fixture.apply(configuration_change{0, "ana", "{}", NOW}, "same") == record_effect::repeated);
    CHECK(fixture.state.configurationVersion() == 1);
    CHECK(fixture.state.effectOf("same") == record_effect::applied);
    CHECK(fixture.state.offsetOf("same") == 1);
}

TEST_CASE("of several changes with the same base version, only the first takes effect, and the version never decreases")
{
    fleet_state_fixture fixture;
    CHECK(fixture.apply(configuration_change{0, "ana", R"({"teams": {"a": {}}})", NOW}) == record_effect::applied);
    CHECK(fixture.apply(configuration_change{0, "ben", R"({"teams": {"b": {}}})", NOW}) == record_effect::superseded);
    CHECK(fixture.apply(configuration_change{1, "ben", "not json", NOW}) == record_effect::invalid);
    CHECK(fixture.apply(configuration_change{1, "ben", R"({"teams": {"b": {}}})", NOW}) == record_effect::applied);
    CHECK(fixture.state.currentConfiguration().team("a") == nullptr);
    CHECK(fixture.state.currentConfiguration().team("b") != nullptr);
    CHECK(fixture.state.configurationVersion() == 4);
    CHECK(fixture.state.apply({2, "{}"}) == record_effect::repeated);
    CHECK(fixture.state.configurationVersion() == 4);
}

TEST_CASE("an agent loses its ledger if it rejoins with a new incarnation, but not if it was declared lost by mistake")
{
    fleet_state_fixture fixture;
    fixture.apply(member_joined{agentMember(1), NOW});
    CHECK(fixture.state.lostLedgers().empty());
    fixture.apply(member_joined{agentMember(2), NOW});
    REQUIRE(fixture.state.lostLedgers().size() == 1);
    CHECK(fixture.state.lostLedgers()[0].incarnation == 1);
    fixture.apply(member_lost{"agent-1", 2, NOW});
    CHECK(fixture.state.lostLedgers().size() == 2);
    CHECK(fixture.state.member("agent-1") == nullptr);
    fixture.apply(member_joined{agentMember(2), NOW});
    CHECK(fixture.state.lostLedgers().size() == 1);
    CHECK(fixture.apply(member_left{"agent-1", 1}) == record_effect::superseded);
    CHECK(fixture.apply(member_left{"agent-1", 2}) == record_effect::applied);
    CHECK(fixture.state.lostLedgers().size() == 1);
}

TEST_CASE("a state restored from its encoding is identical, and an encoding that is not newer is rejected")
{
    fleet_state_fixture fixture;
    fixture.apply(member_joined{agentMember(1), NOW});
    fixture.apply(ownership_claim{"entry-1", 1, {{5, 0}}, false, NOW});
    fixture.apply(configuration_change{0, "ana", R"({"teams": {"a": {"weight": 3}}})", NOW});
    fixture.apply(member_lost{"agent-1", 1, NOW});
    fleet_state copy;
    REQUIRE(copy.restoreIfNewer(fixture.state.encode()));
    CHECK(copy.encode() == fixture.state.encode());
    CHECK(copy.currentConfiguration().team("a")->weight == 3);
    CHECK(!copy.restoreIfNewer(fixture.state.encode()));
    CHECK(!copy.restoreIfNewer("{}"));
    CHECK(!copy.restoreIfNewer("junk"));
}

TEST_CASE("records that cannot be decoded change only the offset")
{
    fleet_state state;
    for (const std::string body : {"", "{", "[]", R"({"kind":"ownership_claim"})", R"({"id":"x","kind":"member_joined"})"}) {
        CHECK(state.apply({state.offset() + 1, body}) == record_effect::invalid);
    }
    CHECK(state.offset() == 5);
    CHECK(state.members().empty());
}

TEST_CASE("records are never applied after a gap in the offsets")
{
    const testing::virtual_time time;
    freshness_tracker freshness(time, seconds(1));
    control_stream_replica stream(freshness, "");
    const log_record late{8, encodeRecord({"late", member_joined{agentMember(1), NOW}})};
    stream.apply(7, std::span(&late, 1));
    CHECK(stream.state().offset() == 0);
    const log_record first{1, encodeRecord({"first", member_joined{agentMember(1), NOW}})};
    stream.apply(0, std::span(&first, 1));
    CHECK(stream.state().offset() == 1);
}

TEST_CASE("a heartbeat quorum overlaps with every claim quorum")
{
    for (std::size_t entries = 1; entries < 100; ++entries) {
        CHECK(claimQuorum(entries) + heartbeatQuorum(entries) > entries);
        CHECK(claimQuorum(entries) >= 1);
        CHECK(heartbeatQuorum(entries) <= entries);
    }
}

TEST_CASE("a process is fresh only while a confirmation is valid")
{
    testing::virtual_time time;
    freshness_tracker freshness(time, seconds(1));
    freshness.setEntries({"entry-1", "entry-2", "entry-3"}, false);
    CHECK(!freshness.isFresh());
    // `logAgeMicroseconds` is negative if the entry has not read the log.
    const auto answer = [&time](std::uint64_t offset, std::int64_t logAgeMicroseconds) {
        return pong{time.steadyNow().time_since_epoch().count(), offset, logAgeMicroseconds, {}, false};
    };
    freshness.handlePong("entry-1", answer(0, -1));
    CHECK(!freshness.isFresh());
    freshness.handlePong("entry-2", answer(0, -1));
    CHECK(freshness.isFresh());
    // The confirmation is valid for one second.
    time.run(milliseconds(1001));
    CHECK(!freshness.isFresh());
    // The log read of a single entry is sufficient, but only once this process has applied the same offset.
    freshness.handlePong("entry-1", answer(4, 300'000));
    CHECK(!freshness.isFresh());
    freshness.setAppliedOffset(4);
    CHECK(freshness.isFresh());
    // The log read started 300 ms before the ping, so its confirmation is valid for 700 ms more.
    time.run(milliseconds(701));
    CHECK(!freshness.isFresh());
}

TEST_CASE("a single entry needs log reads, and an entry that has just started does not count towards its own quorum")
{
    testing::virtual_time time;
    freshness_tracker alone(time, seconds(1));
    alone.setEntries({}, true);
    CHECK(!alone.isFresh());
    alone.handleLogRead(time.steadyNow());
    CHECK(alone.isFresh());
    time.run(seconds(2));
    CHECK(!alone.isFresh());

    freshness_tracker restarted(time, seconds(1));
    restarted.setEntries({"entry-2", "entry-3", "entry-4"}, true);
    const pong answer{time.steadyNow().time_since_epoch().count(), 0, -1, {}, false};
    restarted.handlePong("entry-2", answer);
    restarted.handlePong("entry-3", answer);
    // The quorum of four entries is three. The restarted entry must not count itself as the third, because it may have lost
    // records that it acknowledged before the restart.
    CHECK(!restarted.isFresh());
    restarted.handlePong("entry-4", answer);
    CHECK(restarted.isFresh());
}
