#include <doctest/doctest.h>

#include <set>

#include "base/submission_id.h"

using namespace azuremoor;

TEST_CASE("a UUID of version 7 contains its issue time")
{
    std::mt19937_64 random(1);
    const unix_time issued = fromUnixMilliseconds(1'800'000'123'456);
    const std::string id = makeSubmissionId(issued, random);
    CHECK(id.size() == 36);
    CHECK(isValidSubmissionId(id));
    CHECK(issueTime(id) == issued);
    CHECK(makeSubmissionId(issued, random) != id);
}

TEST_CASE("identifiers that are not UUIDs of version 7 have no issue time")
{
    CHECK(!issueTime("order-17"));
    CHECK(!issueTime("01a3186b-b87d-4be6-b1dd-eeb1c4580583"));
    CHECK(!issueTime("01a3186bxb87d-7be6-b1dd-eeb1c4580583"));
    CHECK(isValidSubmissionId("order-17"));
    CHECK(!isValidSubmissionId(""));
    CHECK(!isValidSubmissionId("a b"));
    CHECK(!isValidSubmissionId(std::string(65, 'a')));
}

TEST_CASE("identifiers are distributed over all shards, and the hash is the XXH3 hash that all processes use")
{
    std::mt19937_64 random(2);
    std::set<std::uint32_t> shards;
    for (int number = 0; number < 2000; ++number) {
        shards.insert(shardOf(makeSubmissionId(fromUnixMilliseconds(number), random)));
    }
    CHECK(shards.size() == SHARD_COUNT);
    CHECK(stableHash("azuremoor") == stableHash("azuremoor"));
    CHECK(stableHash("") == 0x2d06800538d394c2ULL);
}
