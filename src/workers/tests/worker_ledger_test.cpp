#include <doctest/doctest.h>

#include "workers/worker_ledger.h"

using namespace azuremoor;

namespace
{

const unix_time DEADLINE = fromUnixMilliseconds(1'800'000'000'000);

}

TEST_CASE("entries are kept until the deadline and the retention time have passed")
{
    worker_ledger ledger({100, 1000, seconds(60)});
    ledger.recordStart({"job-1", 1, 5}, {0, 1}, DEADLINE);
    ledger.recordEnd({"job-1", 1, 5}, 0, {verdict::ran, "answer", ""});
    ledger.expire(DEADLINE + seconds(59));
    CHECK(ledger.find("job-1", 1, 0) != nullptr);
    ledger.expire(DEADLINE + seconds(60));
    CHECK(ledger.find("job-1", 1, 0) == nullptr);
    CHECK(ledger.size() == 0);
    CHECK(ledger.answerBytes() == 0);
}

TEST_CASE("a running task does not expire")
{
    worker_ledger ledger({100, 1000, seconds(60)});
    ledger.recordStart({"job-1", 1, 5}, {0, 1}, DEADLINE);
    ledger.expire(DEADLINE + seconds(100));
    CHECK(ledger.find("job-1", 1, 0) != nullptr);
}

TEST_CASE("delivered answers are dropped first, but their outcomes are kept")
{
    worker_ledger ledger({100, 250, seconds(60)});
    for (std::uint32_t index = 0; index < 3; ++index) {
        const submission_key key{"job-" + std::to_string(index), 1, 5};
        ledger.recordStart(key, {0, 1}, DEADLINE);
        ledger.recordEnd(key, 0, {verdict::ran, std::string(100, 'x'), ""});
        ledger.recordDelivered(key);
    }
    CHECK(ledger.find("job-0", 1, 0)->outcome.outcome == verdict::ran);
    CHECK(ledger.find("job-0", 1, 0)->outcome.answer.empty());
    CHECK(!ledger.find("job-2", 1, 0)->outcome.answer.empty());
    CHECK(ledger.answerBytes() <= 250);
}

TEST_CASE("entries that were handed over are part of the new ledger")
{
    worker_ledger ledger({});
    ledger.importEntry({"job-1", 1, 3, ledger_state::ended, {verdict::ran, "answer", ""}, unixMilliseconds(DEADLINE), {}, 0});
    ledger.importEntry({"job-2", 1, 0, ledger_state::closed, {}, unixMilliseconds(DEADLINE), {}, 0});
    CHECK(ledger.find("job-1", 1, 3)->outcome.answer == "answer");
    CHECK(ledger.isClosed("job-2", 1));
    std::vector<shard_epoch> shards;
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        shards.push_back({shard, 1});
    }
    CHECK(ledger.entriesForShards(shards).size() == 2);
}
