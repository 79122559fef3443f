#include <doctest/doctest.h>

#include "testing/fake_fleet.h"

using namespace azuremoor;
using namespace azuremoor::testing;

namespace
{

std::uint64_t epochSum(fake_fleet &fleet, const std::string &entry)
{
    std::uint64_t sum = 0;
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        sum += fleet.entry(entry).stream().state().ownership(shard).epoch;
    }
    return sum;
}

bool isHeartbeat(const message &value)
{
    return std::holds_alternative<ping>(value) || std::holds_alternative<pong>(value);
}

}

TEST_CASE("a broken connection between two entries changes no shard ownership")
{
    fake_fleet fleet({});
    REQUIRE(fleet.runUntilReady(seconds(10)));
    const std::uint64_t before = epochSum(fleet, "entry-3");
    fleet.cut("entry-1", "entry-2");
    fleet.run(seconds(20));
    CHECK(epochSum(fleet, "entry-3") == before);
    fleet.mend("entry-1", "entry-2");
    fleet.run(seconds(5));
    CHECK(epochSum(fleet, "entry-3") == before);
}

TEST_CASE("heartbeats lost in one direction change no shard ownership")
{
    fake_fleet fleet({});
    REQUIRE(fleet.runUntilReady(seconds(10)));
    const std::uint64_t before = epochSum(fleet, "entry-3");
    fleet.setFaults([](const std::string &from, const std::string &to, const message &value) {
        const bool cut = from == "entry-1" && to == "entry-2" && isHeartbeat(value);
        return cut ? delivery_fault::lost : delivery_fault::none;
    });
    fleet.run(seconds(20));
    CHECK(epochSum(fleet, "entry-3") == before);
}

TEST_CASE("slow connections change no shard ownership")
{
    fake_fleet_settings settings;
    settings.farDelay = milliseconds(150);
    fake_fleet fleet(settings);
    REQUIRE(fleet.runUntilReady(seconds(20)));
    fleet.run(seconds(2));
    const std::uint64_t before = epochSum(fleet, "entry-3");
    fleet.run(seconds(30));
    CHECK(epochSum(fleet, "entry-3") == before);
}

TEST_CASE("a crashed entry is replaced as owner within 3 s and gets shards back after its restart")
{
    fake_fleet fleet({});
    REQUIRE(fleet.runUntilReady(seconds(10)));
    const std::size_t before = fleet.entry("entry-1").shardStates().ownedShards().size();
    fleet.kill("entry-1");
    fleet.run(seconds(3));
    for (std::uint32_t shard = 0; shard < SHARD_COUNT; ++shard) {
        CHECK(fleet.entry("entry-2").stream().state().ownership(shard).owner != "entry-1");
    }
    fleet.start("entry-1");
    fleet.run(seconds(8));
    CHECK(fleet.entry("entry-1").shardStates().ownedShards().size() == before);
}

TEST_CASE("a restarted agent is a new member, and a job with tasks of its previous incarnation fails at once")
{
    fake_fleet_settings settings;
    settings.agents = 1;
    fake_fleet fleet(settings);
    REQUIRE(fleet.runUntilReady(seconds(10)));
    const std::size_t request = fleet.submit("entry-1", fleet.makeJob(2, seconds(3), seconds(20)));
    fleet.run(milliseconds(200));
    fleet.kill("agent-1");
    fleet.start("agent-1");
    fleet.run(seconds(1));
    CHECK(fleet.requests()[request].reply.kind == reply_kind::failed);
    const std::size_t after = fleet.submit("entry-2", fleet.makeJob(2, milliseconds(50), seconds(5)));
    fleet.run(seconds(2));
    CHECK(fleet.requests()[after].reply.kind == reply_kind::complete);
    CHECK(fleet.checker().violations().empty());
}

TEST_CASE("an agent without a connection is declared lost by a record, and one that is still running joins again")
{
    fake_fleet_settings settings;
    settings.agentLoss = seconds(5);
    fake_fleet fleet(settings);
    REQUIRE(fleet.runUntilReady(seconds(10)));
    fleet.kill("agent-2");
    for (const std::string &entry : fleet.entryNames()) {
        fleet.cut("agent-3", entry);
    }
    fleet.run(seconds(12));
    CHECK(fleet.entry("entry-1").stream().state().member("agent-2") == nullptr);
    CHECK(fleet.entry("entry-1").stream().state().member("agent-3") == nullptr);
    for (const std::string &entry : fleet.entryNames()) {
        fleet.mend("agent-3", entry);
    }
    fleet.run(seconds(5));
    CHECK(fleet.entry("entry-1").stream().state().member("agent-3") != nullptr);
    CHECK(fleet.agent("agent-3").worker().acceptsWork());
}

TEST_CASE("a drained upstream accepts no work until the drain is removed")
{
    fake_fleet fleet({});
    REQUIRE(fleet.runUntilReady(seconds(10)));
    fleet.entry("entry-1").publishConfiguration(0, "ana", R"({"drains": ["agent=agent-1"]})");
    fleet.run(seconds(2));
    CHECK(!fleet.agent("agent-1").worker().acceptsWork());
    const std::uint64_t version = fleet.entry("entry-1").stream().state().configurationVersion();
    fleet.entry("entry-2").publishConfiguration(version, "ana", R"({"drains": []})");
    fleet.run(seconds(2));
    CHECK(fleet.agent("agent-1").worker().acceptsWork());
}
