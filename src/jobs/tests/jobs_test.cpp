#include <doctest/doctest.h>

#include "jobs/table_transfer.h"
#include "jobs/waiting_queue.h"
#include "testing/virtual_time.h"

using namespace azuremoor;

namespace
{

class fixed_usage : public team_usage
{
public:
    std::optional<double> weightedUsage(const std::string &team) const override
    {
        const auto found = byTeam.find(team);
        return found == byTeam.end() ? std::optional(0.0) : found->second;
    }

    std::map<std::string, std::optional<double>> byTeam;
};

class recording_outbox : public peer_outbox
{
public:
    void send(const std::string &, message value) override
    {
        sent.push_back(std::move(value));
    }

    std::vector<message> sent;
};

waiting_task task(std::int64_t deadline, std::uint64_t sequence)
{
    return {fromUnixMilliseconds(deadline), sequence, "job-" + std::to_string(sequence), 0, steady_time(seconds(sequence))};
}

}

TEST_CASE("the team with the lowest weighted usage goes first, and within it the task with the earliest deadline")
{
    waiting_queue queue;
    fixed_usage usage;
    usage.byTeam = {{"busy", 10.0}, {"idle", 1.0}, {"full", std::nullopt}};
    queue.add("busy", task(100, 1));
    queue.add("idle", task(900, 2));
    queue.add("idle", task(500, 3));
    queue.add("full", task(1, 4));
    CHECK(queue.oldestWaitStart() == steady_time(seconds(1)));
    CHECK(queue.takeNext(usage)->sequence == 3);
    CHECK(queue.takeNext(usage)->sequence == 2);
    CHECK(queue.takeNext(usage)->sequence == 1);
    CHECK(!queue.takeNext(usage));
    CHECK(queue.size() == 1);
    queue.remove("full", task(1, 4));
    queue.remove("full", task(1, 4));
    CHECK(queue.size() == 0);
    CHECK(!queue.oldestWaitStart());
}

TEST_CASE("a table is reassembled from parts of limited size, and late parts of a cancelled transfer are ignored")
{
    testing::virtual_time time;
    recording_outbox outbox;
    table_transfer sender(time, outbox);
    table_transfer receiver(time, outbox);
    shard_table table{3, 9, std::nullopt, std::vector<transferred_job>(150), std::vector<ledger_entry>(3000)};
    sender.send(table, "entry-2");
    const std::vector<message> first = std::move(outbox.sent);
    // 150 jobs take three parts of at most 64; the 3000 ledger entries take the rest of the third and a fourth.
    CHECK(first.size() == 4);
    outbox.sent.clear();
    for (const message &part : first) {
        receiver.handle("entry-1", std::get<table_handover>(part));
    }
    CHECK(receiver.completeEpoch(3) == 9);
    const auto late = std::get<handover_received>(outbox.sent.back());

    // Longer than CONFIRMATION_TIMEOUT.
    time.run(seconds(2));
    CHECK(sender.takeExpired() == std::vector<std::uint32_t>{3});
    sender.send(table, "entry-2");
    CHECK(!sender.handle("entry-2", late));
    // The first message in the outbox is the confirmation of the first transfer.
    const std::vector<message> second(outbox.sent.begin() + 1, outbox.sent.end());
    receiver.handle("entry-1", std::get<table_handover>(second[0]));
    CHECK(receiver.completeEpoch(3) == 0);
    for (const message &part : first) {
        receiver.handle("entry-1", std::get<table_handover>(part));
    }
    CHECK(receiver.completeEpoch(3) == 0);
    CHECK(!receiver.take(3, 9));
    for (const message &part : second) {
        receiver.handle("entry-1", std::get<table_handover>(part));
    }
    CHECK(sender.handle("entry-2", std::get<handover_received>(outbox.sent.back())) == "entry-2");
    CHECK(receiver.take(3, 9)->jobs.size() == 150);
    CHECK(!receiver.take(3, 9));
}
