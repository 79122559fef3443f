#include <doctest/doctest.h>

#include "dispatch/queue_containment.h"
#include "dispatch/tests/crash_fleet.h"

using namespace azuremoor;
using azuremoor::testing::crash_fleet;
using azuremoor::testing::task_behaviour;

namespace
{

constexpr task_behaviour SOUND{milliseconds(100), milliseconds(0)};
constexpr task_behaviour DEADLY{milliseconds(100), milliseconds(40)};

}

/// Guards against a task that crashes one worker after the other until none is left.
TEST_CASE("a task that crashes its workers is given up after at most three of them")
{
    crash_fleet fleet(1, 11);
    fleet.submit(0, "deadly", DEADLY);
    fleet.run(seconds(5));
    CHECK(fleet.startsOverBudget().empty());
    CHECK(fleet.crashesUnder("deadly") <= 3);
    REQUIRE(fleet.answerOf("deadly"));
    CHECK(fleet.answerOf("deadly")->kind == answer_kind::failed);
}

/// Guards against a task that begins anew at another entry, with its crashes forgotten, after the entry that ordered it has died.
TEST_CASE("the crashes under a task count at the entry to which its caller comes back")
{
    crash_fleet fleet(2, 11);
    fleet.submit(0, "deadly", DEADLY);
    fleet.run(milliseconds(60));
    REQUIRE(fleet.crashesUnder("deadly") == 1);
    fleet.killEntry(0);
    fleet.submit(1, "deadly", DEADLY);
    fleet.run(seconds(5));
    CHECK(fleet.startsOverBudget().empty());
    CHECK(fleet.crashesUnder("deadly") <= 3);
    REQUIRE(fleet.answerOf("deadly"));
    CHECK(fleet.answerOf("deadly")->kind == answer_kind::failed);
}

/// Guards against a bound for each task that lets a job with many such tasks take the whole fleet.
TEST_CASE("a job of eight tasks that crash their workers takes few of them")
{
    crash_fleet fleet(1, 20);
    fleet.submit(0, "deadly", DEADLY, 8);
    fleet.run(milliseconds(45));
    const std::size_t firstRound = fleet.crashesUnder("deadly");
    REQUIRE(firstRound > 0);
    fleet.run(seconds(5));
    CHECK(fleet.crashesUnder("deadly") <= firstRound + 3);
    REQUIRE(fleet.answerOf("deadly"));
    CHECK(fleet.answerOf("deadly")->kind == answer_kind::failed);
}

/// Guards against sound jobs that fail because they ran beside one that crashes its workers.
TEST_CASE("sound jobs beside a task that crashes its workers are done")
{
    crash_fleet fleet(1, 6);
    for (std::size_t job = 0; job < 30; ++job) {
        fleet.submit(0, "sound" + std::to_string(job), SOUND);
    }
    fleet.submit(0, "deadly", DEADLY);
    fleet.run(seconds(5));
    for (std::size_t job = 0; job < 30; ++job) {
        REQUIRE(fleet.answerOf("sound" + std::to_string(job)));
        CHECK(fleet.answerOf("sound" + std::to_string(job))->kind == answer_kind::completed);
    }
    CHECK(fleet.crashesUnder("deadly") <= 3);
}

/// Guards against jobs that fail for crashes that they have not caused.
TEST_CASE("workers that crash at once by themselves give no job up")
{
    crash_fleet fleet(1, 4);
    fleet.submit(0, "wide", SOUND, 16);
    fleet.run(milliseconds(50));
    fleet.crashWorker(0);
    fleet.crashWorker(1);
    fleet.run(seconds(5));
    REQUIRE(fleet.answerOf("wide"));
    CHECK(fleet.answerOf("wide")->kind == answer_kind::completed);
}

/// Guards against sound jobs that are shown as failed a few milliseconds after one lost run, because the crashes of several workers at one
/// moment are noticed one after the other, and orders to the ones that are not noticed yet count as crashes under their task.
TEST_CASE("workers that crash at one moment and are noticed one after the other give no job up")
{
    for (const milliseconds interval : {milliseconds(2), milliseconds(4), milliseconds(7)}) {
        CAPTURE(interval.count());
        crash_fleet fleet(2, 12);
        for (std::size_t job = 0; job < 24; ++job) {
            fleet.submit(job % 2, "sound" + std::to_string(job), {milliseconds(900), milliseconds(0)}, 2);
        }
        fleet.run(milliseconds(500));
        fleet.crashWorkers(8, interval);
        fleet.run(seconds(10));
        for (std::size_t job = 0; job < 24; ++job) {
            const std::optional<job_answer> answer = fleet.answerOf("sound" + std::to_string(job));
            REQUIRE(answer);
            CHECK(answer->kind == answer_kind::completed);
        }
    }
}

/// Guards against a task that takes one worker after the other because each crashes before it can confirm the start, so that no run of the
/// task is known to have begun.
TEST_CASE("a task that crashes its workers before they can confirm it is given up after at most three of them")
{
    crash_fleet fleet(2, 11);
    fleet.submit(0, "deadly", {milliseconds(100), milliseconds(1), false});
    fleet.run(milliseconds(4));
    REQUIRE(fleet.crashesUnder("deadly") >= 1);
    SUBCASE("at one entry")
    {
    }
    SUBCASE("at the entry to which its caller comes back")
    {
        fleet.killEntry(0);
        fleet.submit(1, "deadly", {milliseconds(100), milliseconds(1), false});
    }
    fleet.run(seconds(5));
    CHECK(fleet.startsOverBudget().empty());
    CHECK(fleet.crashesUnder("deadly") <= 3);
    REQUIRE(fleet.answerOf("deadly"));
    CHECK(fleet.answerOf("deadly")->kind == answer_kind::failed);
}

/// Guards against a sound queue that is kept to few workers because its jobs are taken for ones that crash workers.
TEST_CASE("workers that crash at one moment contain no queue")
{
    crash_fleet fleet(2, 12);
    for (std::size_t job = 0; job < 24; ++job) {
        fleet.submit(job % 2, "sound" + std::to_string(job), {milliseconds(900), milliseconds(0)}, 2);
    }
    fleet.run(milliseconds(500));
    fleet.crashWorkers(8, milliseconds(4));
    fleet.run(seconds(4));
    for (const journal_entry &entry : fleet.journal.entries()) {
        CHECK(entry.event != "job_given_up");
        CHECK(entry.event != "queue_contained");
    }
}

/// Guards against jobs that fail because worker after worker crashes without any job to blame.
TEST_CASE("jobs are done though workers crash by themselves again and again")
{
    crash_fleet fleet(1, 8);
    std::size_t jobs = 0;
    // At most half of the workers are down at any time.
    for (std::size_t crash = 0; crash < 24; ++crash) {
        for (std::size_t job = 0; job < 80; ++job) {
            fleet.submit(0, "sound" + std::to_string(jobs++), SOUND);
            fleet.run(milliseconds(10));
        }
        fleet.crashWorker(crash % 8);
    }
    fleet.run(seconds(5));
    for (std::size_t job = 0; job < jobs; ++job) {
        REQUIRE(fleet.answerOf("sound" + std::to_string(job)));
        CHECK(fleet.answerOf("sound" + std::to_string(job))->kind == answer_kind::completed);
    }
}

/// Guards against a queue whose bad jobs, each of them bounded, crash so many workers that the other queues are not served.
TEST_CASE("a queue of many jobs that crash workers leaves the others their workers, until it is sound again")
{
    constexpr std::size_t WORKERS = 12;
    crash_fleet fleet(1, WORKERS);
    std::size_t jobs = 0;
    std::size_t fewestUp = WORKERS;
    const auto submitFor = [&](std::size_t rounds, bool isBad) {
        for (std::size_t round = 0; round < rounds; ++round) {
            fleet.submit(0, "good" + std::to_string(jobs), SOUND, 1, "good");
            fleet.submit(0, "mixed" + std::to_string(jobs), isBad && round % 15 == 0 ? DEADLY : SOUND, 1, "bad");
            ++jobs;
            fleet.run(milliseconds(20));
            fewestUp = std::min(fewestUp, fleet.workersUp());
        }
    };
    // Until the workers are back that crashed before the queue was contained.
    submitFor(250, true);
    fewestUp = WORKERS;
    fleet.agentsByQueue.clear();
    submitFor(500, true);
    CHECK(fewestUp >= WORKERS * 3 / 4);
    CHECK(fleet.agentsByQueue["bad"].size() == WORKERS / 4);
    CHECK(fleet.agentsByQueue["good"].size() == WORKERS * 3 / 4);
    fleet.run(seconds(3));
    std::size_t served = 0;
    for (std::size_t job = 0; job < jobs; ++job) {
        const std::optional<job_answer> answer = fleet.answerOf("good" + std::to_string(job));
        served += answer && answer->kind == answer_kind::completed ? 1 : 0;
    }
    CHECK(static_cast<double>(served) >= 0.95 * static_cast<double>(jobs));
    CHECK(fleet.startsOverBudget().empty());

    submitFor(600, false);
    fleet.agentsByQueue.clear();
    submitFor(100, false);
    CHECK(fleet.agentsByQueue["bad"].size() > WORKERS / 4);
    CHECK(fleet.agentsByQueue["good"].size() > WORKERS * 3 / 4);
}

/// Guards against a small fleet of which a part is set apart.
TEST_CASE("a fleet of three workers serves other jobs beside ones that crash workers")
{
    crash_fleet fleet(1, 3);
    for (std::size_t job = 0; job < 4; ++job) {
        fleet.submit(0, "deadly" + std::to_string(job), DEADLY, 1, "bad");
        fleet.run(seconds(4));
        CHECK(fleet.answerOf("deadly" + std::to_string(job))->kind == answer_kind::failed);
    }
    fleet.submit(0, "sound", SOUND, 1, "bad");
    fleet.run(seconds(4));
    CHECK(fleet.answerOf("sound")->kind == answer_kind::completed);
    CHECK(fleet.startsOverBudget().empty());
}

/// Guards against an entry that starts while the workers set apart are down, so that it does not know what they run, and that lets the
/// queue loose on the others.
TEST_CASE("an entry that starts beside a contained queue contains it on the same workers")
{
    constexpr std::size_t WORKERS = 12;
    crash_fleet fleet(2, WORKERS);
    std::size_t jobs = 0;
    const auto submitFor = [&](std::size_t rounds, std::size_t entry, task_behaviour behaviour) {
        for (std::size_t round = 0; round < rounds; ++round) {
            fleet.submit(entry, "mixed" + std::to_string(jobs++), behaviour, 1, "bad");
            fleet.run(milliseconds(100));
        }
    };
    submitFor(20, 0, DEADLY);
    fleet.killEntry(1);
    // All workers that are set apart crash.
    fleet.agentsByQueue.clear();
    submitFor(40, 0, DEADLY);
    const std::set<std::string> apart = fleet.agentsByQueue["bad"];
    REQUIRE(apart.size() == WORKERS / 4);
    fleet.agentsByQueue.clear();
    fleet.restartEntry(1);
    fleet.run(milliseconds(50));
    submitFor(60, 1, SOUND);
    for (const std::string &agent : fleet.agentsByQueue["bad"]) {
        CHECK(apart.contains(agent));
    }
}

/// Guards against entries that set different workers apart, and against suspects of one entry that are new to another.
TEST_CASE("entries that share workers contain a queue on the same ones")
{
    constexpr std::size_t WORKERS = 12;
    crash_fleet fleet(3, WORKERS);
    std::size_t jobs = 0;
    const auto submitFor = [&](std::size_t rounds) {
        for (std::size_t round = 0; round < rounds; ++round) {
            fleet.submit(jobs % 3, "good" + std::to_string(jobs), SOUND, 1, "good");
            fleet.submit((jobs + 1) % 3, "mixed" + std::to_string(jobs), round % 15 == 0 ? DEADLY : SOUND, 1, "bad");
            ++jobs;
            fleet.run(milliseconds(20));
        }
    };
    submitFor(100);
    fleet.agentsByQueue.clear();
    submitFor(300);
    CHECK(fleet.agentsByQueue["bad"].size() == WORKERS / 4);
    CHECK(fleet.agentsByQueue["good"].size() == WORKERS * 3 / 4);
    CHECK(fleet.startsOverBudget().empty());
}

/// Guards against waiting jobs of a contained queue that keep the other queues from idle workers.
TEST_CASE("jobs of a contained queue that wait do not keep others from idle workers")
{
    crash_fleet fleet(1, 20);
    for (std::size_t job = 0; job < 2; ++job) {
        fleet.submit(0, "deadly" + std::to_string(job), DEADLY, 1, "bad");
        fleet.run(milliseconds(1500));
    }
    fleet.run(milliseconds(3000));
    REQUIRE(fleet.workersUp() == 20);
    for (std::size_t job = 0; job < 20; ++job) {
        fleet.submit(0, "waiting" + std::to_string(job), {milliseconds(450), milliseconds(0)}, 8, "bad");
    }
    fleet.run(milliseconds(100));
    for (std::size_t job = 0; job < 5; ++job) {
        fleet.submit(0, "good" + std::to_string(job), {milliseconds(450), milliseconds(0)}, 1, "good");
    }
    fleet.run(milliseconds(600));
    for (std::size_t job = 0; job < 5; ++job) {
        const std::optional<job_answer> answer = fleet.answerOf("good" + std::to_string(job));
        REQUIRE(answer);
        CHECK(answer->kind == answer_kind::completed);
    }
}

/// Guards against long jobs that fail because workers crash under them again and again, although other jobs explain the crashes.
TEST_CASE("long sound jobs beside bad ones of several queues do not fail")
{
    crash_fleet fleet(1, 12);
    for (std::size_t job = 0; job < 10; ++job) {
        fleet.submit(0, "long" + std::to_string(job), {milliseconds(3000), milliseconds(0)}, 4, "long");
    }
    for (std::size_t job = 0; job < 40; ++job) {
        fleet.submit(0, "bad" + std::to_string(job), DEADLY, 1, "bad" + std::to_string(job % 8));
        fleet.run(milliseconds(300));
    }
    fleet.run(seconds(8));
    for (std::size_t job = 0; job < 10; ++job) {
        const std::optional<job_answer> answer = fleet.answerOf("long" + std::to_string(job));
        CHECK_FALSE((answer && answer->kind == answer_kind::failed));
    }
}

/// Guards against a sound queue that is kept from the only workers that are left.
TEST_CASE("sound queues use the workers that are set apart when no others are up")
{
    crash_fleet fleet(1, 4);
    const std::vector<std::string> names{"agent0", "agent1", "agent2", "agent3"};
    const std::set<std::string> apart = containingAgents(names);
    for (std::size_t job = 0; job < 2; ++job) {
        fleet.submit(0, "deadly" + std::to_string(job), DEADLY, 1, "bad");
    }
    fleet.run(milliseconds(5000));
    fleet.returnTime = seconds(20);
    for (std::size_t worker = 0; worker < names.size(); ++worker) {
        if (!apart.contains(names[worker])) {
            fleet.crashWorker(worker);
        }
    }
    fleet.run(milliseconds(50));
    fleet.submit(0, "good", SOUND, 1, "good");
    fleet.run(seconds(1));
    REQUIRE(fleet.answerOf("good"));
    CHECK(fleet.answerOf("good")->kind == answer_kind::completed);
}
