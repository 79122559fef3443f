#include <random>

#include <doctest/doctest.h>

#include "dispatch/tests/crash_fleet.h"

using namespace azuremoor;
using azuremoor::testing::crash_fleet;
using azuremoor::testing::task_behaviour;

namespace
{

constexpr task_behaviour SOUND{milliseconds(100), milliseconds(0)};
constexpr task_behaviour DEADLY{milliseconds(100), milliseconds(15)};

}

/// Guards against a job that fails because its workers were cut off one after the other, as if its task had crashed them.
TEST_CASE("a job whose task is cut off wherever it goes does not fail, and is done when a worker stays in touch")
{
    for (const milliseconds cut : {milliseconds(120), milliseconds(1'500), milliseconds(3'000)}) {
        CAPTURE(cut.count());
        crash_fleet fleet(1, 6);
        fleet.cutOffUnder("sound.0.0.0", cut, 4);
        fleet.submit(0, "sound", SOUND);
        fleet.run(seconds(18));
        REQUIRE(fleet.answerOf("sound"));
        CHECK(fleet.answerOf("sound")->kind == answer_kind::completed);
        CHECK(fleet.startsBesideRuns().empty());
        CHECK(fleet.containments() == 0);
    }
}

/// Guards against a queue that stays contained because workers of its jobs were cut off.
TEST_CASE("a queue is not contained any more when the workers of its jobs have answered again")
{
    crash_fleet fleet(2, 12);
    for (const std::string job : {"one", "two", "three"}) {
        fleet.cutOffUnder(job + ".0.0.0", milliseconds(2'500), 2);
        fleet.submit(0, job, SOUND, 1, "cut");
        fleet.run(milliseconds(50));
    }
    fleet.run(seconds(5));
    CHECK_FALSE(fleet.isContained("cut"));
    fleet.run(seconds(5));
    for (const std::string job : {"one", "two", "three"}) {
        REQUIRE(fleet.answerOf(job));
        CHECK(fleet.answerOf(job)->kind == answer_kind::completed);
    }
    CHECK(fleet.startsBesideRuns().empty());
}

/// Guards against queues that are contained, and jobs that fail or run twice, because workers are cut off at random while they are busy.
TEST_CASE("cuts at random moments fail no job and contain no queue")
{
    for (std::uint32_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        crash_fleet fleet(2, 11);
        for (int job = 0; job < 200; ++job) {
            fleet.submit(job % 2, "job" + std::to_string(job), SOUND, 2, job % 3 == 0 ? "often" : "seldom");
            if (job % 5 == 0) {
                fleet.cutOff(random() % 11, milliseconds(50 + random() % 4'000));
            }
            fleet.run(milliseconds(30));
        }
        fleet.run(seconds(15));
        for (int job = 0; job < 200; ++job) {
            REQUIRE(fleet.answerOf("job" + std::to_string(job)));
            CHECK(fleet.answerOf("job" + std::to_string(job))->kind != answer_kind::failed);
        }
        CHECK(fleet.containments() == 0);
        CHECK(fleet.startsBesideRuns().empty());
    }
}

/// Guards against crashing tasks that take worker after worker until the first proof has come.
TEST_CASE("a queue whose jobs crash workers is contained before the first of the workers is back")
{
    crash_fleet fleet(2, 12);
    for (int job = 0; job < 3; ++job) {
        fleet.submit(job % 2, "deadly" + std::to_string(job), DEADLY, 1, "bad");
        fleet.run(milliseconds(300));
    }
    fleet.run(fleet.returnTime - milliseconds(1'000));
    CHECK(fleet.isContained("bad"));
    for (int job = 0; job < 3; ++job) {
        CHECK(fleet.crashesUnder("deadly" + std::to_string(job)) <= 2);
        CHECK_FALSE(fleet.answerOf("deadly" + std::to_string(job)));
    }
    // Their callers are told when the crashes are proved.
    fleet.run(seconds(4));
    for (int job = 0; job < 3; ++job) {
        REQUIRE(fleet.answerOf("deadly" + std::to_string(job)));
        CHECK(fleet.answerOf("deadly" + std::to_string(job))->kind == answer_kind::failed);
    }
}
