#include <doctest/doctest.h>

#include <random>
#include <set>

#include "messages/codec.h"

using namespace azuremoor;

namespace
{

/// Returns at least one message of every type.
std::vector<message> sampleMessages()
{
    start_tasks start;
    start.key = {"job-1", 2, 77};
    start.agentIncarnation = 5;
    start.tasks = {{3, 1, {"turn", "payload", true, {500, 64, 1}}}};
    start.standing = {{{task_shape{1, 2, 3}, 4}}, 99};
    job_reply reply;
    reply.jobId = "job-1";
    reply.kind = reply_kind::failed;
    reply.taskNames = {"a", "b"};
    reply.tasks = {{verdict::ran, "yes", ""}, {verdict::not_run, "", "no"}};
    table_handover table;
    table.jobs.resize(2);
    table.jobs[0].tasks.resize(3);
    table.evidence.resize(1);
    return {hello{"entry-1", member_role::entry, 9, "dc-1", "rack-1"},
            ping{12, 3},
            pong{12, 3, -1, {"entry-2", "entry-3"}, true, {{"entry-4#7#1", 20}}},
            control_fetch{7},
            control_records{6, {{7, "{}"}}},
            control_state{7, "{}"},
            upstream_status{1, true, false, "up", {{"kind", "quote"}}, 8, {1, 2, 3}},
            start.standing,
            grant{1, {{}, 3}, 2},
            credit_return{1, {{}, 3}},
            start,
            task_results{start.key, 5, {{0, 1, {verdict::may_have_run, "", "lost"}}}, 4},
            results_delivered{{start.key}},
            revoke_tasks{start.key, 5, {{1, 2}}},
            revoke_results{start.key, 5, {{{1, 2}, revoke_state::running, {}}}},
            close_submission{start.key, 5},
            submission_closed{start.key, 5},
            recovery_query{5, {{1, 2}}},
            ledger_chunk{5, {{1, 2}}, 0, true, {{"job-1", 1, 0, ledger_state::ended, {verdict::ran, "x", ""}, 5, "agent", 6}}},
            ledger_handover{"agent-1", 0, true, {}},
            ledger_received{"agent-1", 0, true},
            forwarded_submission{4, {"job-1", 1, "default", 5, {{"a", "b"}}, "x=y", {{"t", "p", false, {}}}}},
            forwarded_query{4, "job-1", true},
            reply,
            table,
            handover_received{1, 2, 3},
            start_runs{"worker-1",
                       {{7, "job.0.1.2", 3, "payload", {500, 64, 1}},
                        {8, "job.0.1.3", 3, "payload", {500, 64, 1}},
                        {9, "job-2.0.0.0", 1, "other", {500, 64, 0}},
                        {10, "job-3.0.0.0", 1, "", {500, 64, 0}, 0, "entry-4#7#1"},
                        {11, "job-3.0.0.1", 1, "", {500, 64, 0}, 0, "entry-4#7#1"},
                        {12, "job-4.0.0.0", 1, "", {500, 64, 0}}},
                       17,
                       {{"entry-4#7#1", 20}}},
            stop_runs{{7, 8}},
            run_results{4, {{7, run_outcome::done}, {8, run_outcome::rejected}}},
            run_results_received{5},
            worker_status{true, false, "worker-1", "desk", {"a", "r1"}, {4000, 4096, 0}, {500, 64, 0}, 7, {{7, 41}}, 2500},
            room_update{{500, 64, 0}, 7, {{7, 41}}, {{{20, 1500}, {90, 4000}}, {3000, 64, 0}, 60, true}},
            reserve_room{{24'000, 512, 0}, 2, 350},
            room_wish{12'000, 500, {{0, 2'000}, {2, 10'000}}},
            known_entries{{"10.0.0.1:7720"}},
            entry_heartbeat{7, {12000, {{0, 300}, {2, 5}}, 1500, 20, true, 77}, false, 99},
            evacuation_state{{{"dc-1", 41, true}, {"dc-2", 40, false}}},
            evacuation_request{77},
            job_handover{3,
                         4,
                         99,
                         "job-1",
                         "payload",
                         {{2, {500, 64, 1}, 1000, {}, "a", "r1", 0}, {1, {500, 64, 1}, 1000, {0}, "", "", 1}},
                         {"queue", "desk", 1, 3, 1.6, 60'000},
                         7,
                         100,
                         1'000'000},
            handover_answer{4, handover_answer_kind::refused_full, "too much work", 500'000},
            handover_answer{5, handover_answer_kind::refused_unavailable, "the job is active here already", 0, true},
            handover_released{{4, 5}},
            crash_report{"agent-1/7/2", crash_state::suspected, 20, {{"00000000000000ab.0.0.3", "queue", 61, start_evidence::confirmed}}},
            handover_cancel{{4, 5}},
            handover_lease{3, 99, 98, true},
            routing_request{7, 8192},
            routing_piece{7, 2, 0, "{}"}};
}

}

TEST_CASE("every message type survives an encode and decode round trip")
{
    std::set<std::size_t> types;
    for (const message &value : sampleMessages()) {
        types.insert(value.index());
        const std::string bytes = encodeMessage(value);
        const auto decoded = decodeMessage(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == value.index());
        CHECK(encodeMessage(*decoded) == bytes);
    }
    CHECK(types.size() == std::variant_size_v<message>);
}

TEST_CASE("truncated, extended and corrupted messages are rejected without a crash")
{
    std::mt19937_64 random(3);
    for (const message &value : sampleMessages()) {
        const std::string bytes = encodeMessage(value);
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CHECK(!decodeMessage(std::span(bytes.data(), length)));
        }
        const std::string longer = bytes + 'x';
        CHECK(decodeMessage(longer).error() == decode_error::trailing_bytes);
        for (int round = 0; round < 200; ++round) {
            std::string damaged = bytes;
            damaged[random() % damaged.size()] = static_cast<char>(random());
            // A corrupted byte can still yield a valid message, which must then encode and decode again.
            const auto decoded = decodeMessage(damaged);
            if (decoded) {
                CHECK(decodeMessage(encodeMessage(*decoded)));
            }
        }
    }
    CHECK(decodeMessage(std::string()).error() == decode_error::malformed);
}

// Guards against a stream that is used again in the state in which a malformed message left it.
TEST_CASE("a message is decoded after one that was cut short")
{
    const std::string whole = encodeMessage(pong{12, 3, -1, {"entry-2"}, true, {}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_FALSE(decodeMessage(std::span(whole.data(), length)));
        CHECK(decodeMessage(whole));
        CHECK(encodeMessage(*decodeMessage(whole)) == whole);
    }
}

TEST_CASE("a different version, an unknown type and an excessive field length are reported; the field length as malformed")
{
    std::string bytes = encodeMessage(ping{1, 2});
    std::string wrongVersion = bytes;
    wrongVersion[1] = static_cast<char>(PROTOCOL_VERSION + 1);
    CHECK(decodeMessage(wrongVersion).error() == decode_error::wrong_version);
    std::string unknownType = bytes;
    unknownType[3] = static_cast<char>(200);
    CHECK(decodeMessage(unknownType).error() == decode_error::unknown_type);
    std::string oversizedField = encodeMessage(control_fetch{1});
    oversizedField[3] = static_cast<char>(message(control_state{}).index());
    oversizedField += std::string(4, '\xff');
    CHECK(decodeMessage(oversizedField).error() == decode_error::malformed);
}

/// Guards against orders that fill an entry's link: the tasks of one job have the same payload, which may be many times as large as an
/// order.
TEST_CASE("the orders of one job to one agent carry their payload once")
{
    const std::string payload(4000, 'x');
    start_runs orders{"worker-1", {}};
    for (std::uint32_t index = 0; index < 8; ++index) {
        orders.orders.push_back({index + 1, "5c0e7a21d94b36f8.0.0." + std::to_string(index), 1, payload, {3800, 64, 0}});
    }
    const std::string bytes = encodeMessage(orders);
    CHECK(bytes.size() < 2 * payload.size());
    const auto decoded = decodeMessage(bytes);
    REQUIRE(decoded);
    for (const run_order &order : std::get<start_runs>(*decoded).orders) {
        CHECK(order.payload == payload);
    }
}
