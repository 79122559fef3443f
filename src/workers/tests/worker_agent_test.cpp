#include <doctest/doctest.h>

#include "fleet/control_stream_replica.h"
#include "testing/virtual_time.h"
#include "workers/worker_agent.h"

using namespace azuremoor;

namespace
{

class recording_outbox : public worker_outbox
{
public:
    void send(const std::string &, message value) override
    {
        sent.push_back(std::move(value));
    }

    void callUpstream(const upstream_call &call) override
    {
        calls.push_back(call);
    }

    template<typename Body>
    const Body *last() const
    {
        for (auto value = sent.rbegin(); value != sent.rend(); ++value) {
            if (const auto *body = std::get_if<Body>(&*value)) {
                return body;
            }
        }
        return nullptr;
    }

    std::vector<message> sent;
    std::vector<upstream_call> calls;
};

/// A registered agent with a fresh fleet state and an announced upstream with two slots.
class agent_fixture
{
public:
    explicit agent_fixture(ledger_limits limits = {})
        : guard(time, seconds(1000))
        , stream(guard, "")
        , agent(time, {"agent-1", 7, "dc-1", "rack-1", seconds(3), milliseconds(300), limits, {}}, stream.state(), guard, outbox)
    {
        const fleet_member self{"agent-1", member_role::agent, 7, "127.0.0.1:1", "dc-1", "rack-1"};
        const log_record joined{1, encodeRecord({"joined", member_joined{self, time.unixNow()}})};
        stream.apply(0, std::span(&joined, 1));
        guard.handleLogRead(time.steadyNow());
        agent.connectEntry("entry-1");
        agent.connectEntry("entry-2");
        announce();
    }

    void announce()
    {
        agent.handleAnnouncement({"upstream-1", "http://127.0.0.1:1/run", {}, 2, 2, {}});
    }

    start_tasks startOf(const std::string &job, std::uint64_t epoch, std::uint32_t index = 0, std::uint32_t number = 1) const
    {
        start_tasks start;
        start.key = {job, 1, epoch};
        start.agentIncarnation = 7;
        start.deadlineMilliseconds = unixMilliseconds(time.unixNow() + seconds(5));
        start.tasks = {{index, number, {"task", "", false, {}}}};
        return start;
    }

    testing::virtual_time time;
    freshness_tracker guard;
    control_stream_replica stream;
    recording_outbox outbox;
    worker_agent agent;
};

}

TEST_CASE("a duplicated start runs once, and is answered again after its end")
{
    agent_fixture fixture;
    const start_tasks start = fixture.startOf("job-1", 5);
    fixture.agent.handle("entry-1", start);
    fixture.agent.handle("entry-1", start);
    REQUIRE(fixture.outbox.calls.size() == 1);
    fixture.agent.finishCall(fixture.outbox.calls[0].callId, {verdict::ran, "answer", ""});
    fixture.outbox.sent.clear();
    fixture.agent.handle("entry-2", start);
    CHECK(fixture.outbox.calls.size() == 1);
    REQUIRE(fixture.outbox.last<task_results>() != nullptr);
    CHECK(fixture.outbox.last<task_results>()->results[0].outcome.answer == "answer");
}

TEST_CASE("messages of an owner with a lower epoch are refused")
{
    agent_fixture fixture;
    fixture.agent.handle("entry-2", recovery_query{7, {{shardOf("job-1"), 9}}});
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5));
    CHECK(fixture.outbox.calls.empty());
    CHECK(fixture.outbox.last<task_results>()->results[0].outcome.outcome == verdict::not_run);
    CHECK(fixture.agent.counters().refusedStaleEpoch == 1);
    fixture.agent.handle("entry-1", close_submission{{"job-1", 1, 5}, 0});
    CHECK(fixture.outbox.last<submission_closed>() == nullptr);
}

TEST_CASE("a revoked placement and a closed submission do not start, a later placement does")
{
    agent_fixture fixture;
    fixture.agent.handle("entry-1", revoke_tasks{{"job-1", 1, 5}, 7, {{0, 1}}});
    CHECK(fixture.outbox.last<revoke_results>()->results[0].state == revoke_state::blocked);
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 0, 1));
    CHECK(fixture.outbox.calls.empty());
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 0, 2));
    CHECK(fixture.outbox.calls.size() == 1);
    fixture.agent.handle("entry-1", close_submission{{"job-2", 1, 5}, unixMilliseconds(fixture.time.unixNow() + seconds(5))});
    CHECK(fixture.outbox.last<submission_closed>() != nullptr);
    fixture.agent.handle("entry-1", fixture.startOf("job-2", 5));
    CHECK(fixture.outbox.calls.size() == 1);
}

TEST_CASE("a start or revocation for another incarnation is not answered")
{
    agent_fixture fixture;
    start_tasks start = fixture.startOf("job-1", 5);
    start.agentIncarnation = 6;
    fixture.outbox.sent.clear();
    fixture.agent.handle("entry-1", start);
    fixture.agent.handle("entry-1", revoke_tasks{{"job-1", 1, 5}, 6, {{0, 1}}});
    CHECK(fixture.outbox.calls.empty());
    CHECK(fixture.outbox.sent.empty());
}

TEST_CASE("an upstream that is full, absent or leaving gets no tasks")
{
    agent_fixture fixture;
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 0));
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 1));
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 2));
    CHECK(fixture.outbox.calls.size() == 2);
    CHECK(fixture.agent.counters().refusedNoCapacity == 1);
    fixture.agent.finishCall(1, {verdict::ran, "", ""});
    // 1 ms longer than announcementTimeout - announcementMargin.
    fixture.time.run(milliseconds(2701));
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 3));
    CHECK(fixture.agent.counters().refusedNoUpstream == 1);
    fixture.announce();
    fixture.agent.handleDeparture();
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 4));
    CHECK(fixture.agent.counters().refusedNoUpstream == 2);
    CHECK(fixture.outbox.calls.size() == 2);
}

TEST_CASE("a start that certainly did not reach the upstream may be placed again")
{
    agent_fixture fixture;
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5));
    fixture.agent.finishCall(1, {verdict::not_run, "", "refused"});
    CHECK(fixture.outbox.last<task_results>()->results[0].outcome.outcome == verdict::not_run);
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5));
    CHECK(fixture.outbox.calls.size() == 1);
    fixture.time.run(milliseconds(600));
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 0, 2));
    CHECK(fixture.outbox.calls.size() == 2);
}

TEST_CASE("credits go to the entry that has waited longest, and are returned or expire")
{
    agent_fixture fixture;
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 0));
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 1));
    fixture.agent.handle("entry-1", demand{{{task_shape{}, 1}}, 1000});
    fixture.agent.handle("entry-2", demand{{{task_shape{}, 1}}, 9000});
    CHECK(fixture.agent.counters().creditsGranted == 0);
    fixture.outbox.sent.clear();
    fixture.agent.finishCall(1, {verdict::ran, "", ""});
    CHECK(fixture.agent.counters().creditsGranted == 1);
    fixture.agent.disconnectEntry("entry-2");
    CHECK(fixture.agent.counters().creditsGranted == 2);
    fixture.agent.handle("entry-1", credit_return{7, {{}, 1}});
    CHECK(fixture.agent.capacity().usedSlots() == 1);
    fixture.agent.handle("entry-1", demand{{{task_shape{}, 1}}, 0});
    CHECK(fixture.agent.capacity().usedSlots() == 2);
    fixture.time.run(seconds(2));
    fixture.agent.tick();
    CHECK(fixture.agent.capacity().usedSlots() == 1);
}

TEST_CASE("a full ledger refuses new starts and keeps old entries")
{
    ledger_limits limits;
    limits.maxTasks = 2;
    agent_fixture fixture(limits);
    for (std::uint32_t index = 0; index < 4; ++index) {
        fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, index));
        if (index < 2) {
            fixture.agent.finishCall(index + 1, {verdict::ran, "", ""});
        }
    }
    CHECK(fixture.outbox.calls.size() == 2);
    fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, 0));
    CHECK(fixture.outbox.calls.size() == 2);
}

TEST_CASE("a recovery query is answered in chunks of limited size")
{
    agent_fixture fixture;
    for (std::uint32_t number = 0; number < 16'000; ++number) {
        fixture.agent.handle("entry-1", fixture.startOf("job-1", 5, number));
        fixture.agent.finishCall(number + 1, {verdict::ran, std::string(100, 'x'), ""});
    }
    fixture.outbox.sent.clear();
    fixture.agent.handle("entry-2", recovery_query{7, {{shardOf("job-1"), 9}}});
    std::size_t entries = 0;
    std::size_t chunks = 0;
    for (const message &value : fixture.outbox.sent) {
        if (const auto *chunk = std::get_if<ledger_chunk>(&value)) {
            CHECK(chunk->sequence == chunks);
            CHECK(chunk->entries.size() <= 512);
            entries += chunk->entries.size();
            ++chunks;
        }
    }
    CHECK(entries == 16'000);
    CHECK(chunks == 32);
}
