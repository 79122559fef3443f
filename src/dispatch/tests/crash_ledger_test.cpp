#include <doctest/doctest.h>

#include <algorithm>

#include "dispatch/crash_ledger.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

constexpr std::uint32_t SOON = 50;
constexpr std::uint32_t LATE = 900;

/// A ledger and reports of crashes that are read as soon as they are noticed.
class ledger_fixture
{
public:
    explicit ledger_fixture(const crash_ledger_limits &limits = {})
        : journal(time)
        , ledger(time, journal, limits)
    {
    }

    crash_findings crash(const std::vector<std::string> &tasks, std::uint32_t age = SOON, start_evidence start = start_evidence::confirmed)
    {
        crash_report report{"crash" + std::to_string(++crashes), crash_state::proved, 0, {}};
        for (const std::string &task : tasks) {
            report.runs.push_back({task, "queue", age, start});
        }
        return ledger.record("agent", report);
    }

    virtual_time time;
    decision_journal journal;
    crash_ledger ledger;
    std::uint64_t crashes = 0;
};

}

TEST_CASE("the job of a task is named by all but the last three parts")
{
    CHECK(jobOfTask("job.0.1.2") == "job");
    CHECK(jobOfTask("a.b.0.1.2") == "a.b");
    CHECK(jobOfTask("job") == "job");
    CHECK(jobOfTask("").empty());
}

/// Guards against a job that is given up because several entries or connections repeat one report.
TEST_CASE("a repeated report of a crash changes nothing")
{
    ledger_fixture test;
    const crash_report report{"crash", crash_state::proved, 0, {{"job.0.0.0", "queue", SOON, start_evidence::confirmed}}};
    CHECK(test.ledger.record("agent", report).isNew);
    for (int repeat = 0; repeat < 5; ++repeat) {
        test.time.run(milliseconds(500));
        CHECK_FALSE(test.ledger.record("agent", report).isNew);
    }
    CHECK(test.ledger.roundsOf("job") == 1);
    CHECK(test.ledger.verdictOf("job") == crash_verdict::suspect);
}

/// Guards against jobs that are given up because many workers crash at one moment.
TEST_CASE("crashes of several workers on which a job runs are one round")
{
    ledger_fixture test;
    for (int worker = 0; worker < 8; ++worker) {
        test.crash({"job.0.0." + std::to_string(worker)});
        test.time.run(milliseconds(1));
    }
    CHECK(test.ledger.roundsOf("job") == 1);
    CHECK(test.ledger.verdictOf("job") == crash_verdict::suspect);
}

/// Guards against evidence that depends on the order in which reports arrive from different agents.
TEST_CASE("the rounds are the same in whichever order the reports arrive")
{
    const std::vector<crash_report> reports{{"first", crash_state::proved, 900, {{"job.0.0.0", "queue", SOON, start_evidence::confirmed}}},
                                            {"second", crash_state::proved, 500, {{"job.0.0.0", "queue", SOON, start_evidence::confirmed}}},
                                            {"third", crash_state::proved, 100, {{"job.0.0.1", "queue", SOON, start_evidence::confirmed}}}};
    std::vector<std::size_t> order{0, 1, 2};
    do {
        ledger_fixture test;
        for (const std::size_t position : order) {
            test.ledger.record("agent", reports[position]);
        }
        CHECK(test.ledger.roundsOf("job") == 3);
        CHECK(test.ledger.verdictOf("job") == crash_verdict::given_up);
    } while (std::ranges::next_permutation(order).found);
}

/// Guards against a third worker for a job that is known to be to blame.
TEST_CASE("a job is given up after two rounds if nothing else was as young in one of them")
{
    ledger_fixture test;
    test.crash({"deadly.0.0.0", "one.0.0.0", "two.0.0.0"});
    test.time.run(milliseconds(500));
    const crash_findings findings = test.crash({"deadly.0.0.0"});
    CHECK(findings.stoppedQueues == std::vector<std::string>{"queue"});
    CHECK(test.ledger.verdictOf("deadly") == crash_verdict::given_up);
    CHECK(test.ledger.verdictOf("one") == crash_verdict::suspect);
    CHECK(test.ledger.verdictOf("two") == crash_verdict::suspect);
}

/// Guards against sound jobs that fail because they were lost twice with others.
TEST_CASE("a job is not given up after two rounds if others may be to blame")
{
    ledger_fixture test;
    test.crash({"one.0.0.0", "two.0.0.0"});
    test.crash({"slow.0.0.0"}, LATE);
    test.time.run(seconds(1));
    test.crash({"one.0.0.0", "two.0.0.0"});
    test.crash({"slow.0.0.0"});
    CHECK(test.ledger.verdictOf("one") == crash_verdict::suspect);
    CHECK(test.ledger.verdictOf("two") == crash_verdict::suspect);
    CHECK(test.ledger.verdictOf("slow") == crash_verdict::sound);
}

/// Guards against a job that fails after one crash, because the worker had crashed already when its first run was ordered.
TEST_CASE("an order just before a crash does not count as a start that may be to blame")
{
    ledger_fixture test;
    test.crash({"late.0.0.0"}, 1, start_evidence::none);
    CHECK(test.ledger.verdictOf("late") == crash_verdict::sound);
    CHECK(test.ledger.isCharged("late"));
    test.time.run(milliseconds(500));
    test.crash({"late.0.0.0"});
    CHECK(test.ledger.roundsOf("late") == 1);
    CHECK(test.ledger.verdictOf("late") == crash_verdict::suspect);
}

/// Guards against a fourth worker for a task under which three have crashed, however late the crashes came.
TEST_CASE("a job is given up after three rounds in any case")
{
    ledger_fixture test;
    for (int round = 0; round < 3; ++round) {
        CHECK(test.ledger.verdictOf("one") != crash_verdict::given_up);
        test.time.run(seconds(1));
        test.crash({"one.0.0.0", "two.0.0.0"}, LATE);
    }
    CHECK(test.ledger.verdictOf("one") == crash_verdict::given_up);
    CHECK(test.ledger.verdictOf("two") == crash_verdict::given_up);
}

/// Guards against a task that is started a fourth time because reports of its crashes were read late and seem to overlap.
TEST_CASE("a job is given up after three crashes under one task whose times overlap")
{
    ledger_fixture test;
    for (int crash = 0; crash < 3; ++crash) {
        test.crash({"job.0.0.0"}, LATE);
    }
    CHECK(test.ledger.roundsOf("job") == 1);
    CHECK(test.ledger.crashesUnderOneTaskOf("job") == 3);
    CHECK(test.ledger.verdictOf("job") == crash_verdict::given_up);
}

/// Guards against a sound job of many tasks that fails because each of them ran once beside one that crashes its workers: only a task under
/// which two workers have crashed may be given up.
TEST_CASE("a job is not given up while no task of it has lost two workers")
{
    ledger_fixture test;
    for (int round = 0; round < 5; ++round) {
        test.crash({"wide.0.0." + std::to_string(round), "other" + std::to_string(round) + ".0.0.0"});
        test.time.run(milliseconds(500));
    }
    CHECK(test.ledger.verdictOf("wide") != crash_verdict::given_up);
    test.crash({"wide.0.0.0", "another.0.0.0"});
    CHECK(test.ledger.verdictOf("wide") == crash_verdict::given_up);
}

/// Guards against a sound job that fails because one of its tasks was ordered to a worker that crashed before it began.
TEST_CASE("a crash under an order that had not begun is none under its task")
{
    ledger_fixture test;
    for (int round = 0; round < 3; ++round) {
        test.crash({"wide.0.0." + std::to_string(round), "other.0.0.0"});
        test.time.run(milliseconds(500));
    }
    test.crash({"wide.0.0.0"}, 1, start_evidence::none);
    CHECK(test.ledger.verdictOf("wide") != crash_verdict::given_up);
    // Whatever their number and age: nobody knows that it has begun on another one of these workers.
    test.crash({"wide.0.0.0"}, SOON, start_evidence::none);
    CHECK(test.ledger.verdictOf("wide") != crash_verdict::given_up);
    // With the first one two workers have crashed under it for certain, and no fourth one is risked.
    test.crash({"wide.0.0.0"}, 1, start_evidence::asked);
    CHECK(test.ledger.verdictOf("wide") == crash_verdict::given_up);
    CHECK(test.ledger.crashesUnderOneTaskOf("wide") == 2);
}

/// Guards against a sound job that is shown as failed for workers that had crashed before its orders reached them, however old these orders
/// were when the crash was noticed.
TEST_CASE("orders that no worker has confirmed count as no crash under their task")
{
    ledger_fixture test;
    test.crash({"sound.0.0.0"}, LATE);
    for (const std::uint32_t age : {1U, 0U, 10U, 40U, 3U}) {
        test.time.run(milliseconds(4));
        test.crash({"sound.0.0.0"}, age, start_evidence::none);
        CHECK(test.ledger.verdictOf("sound") != crash_verdict::given_up);
    }
    CHECK(test.ledger.roundsOf("sound") == 1);
    CHECK(test.ledger.crashesUnderOneTaskOf("sound") == 1);
}

/// Guards against a task that takes worker after worker because each crashes before it can confirm the start.
TEST_CASE("runs that their workers did not confirm count if two others are known to have begun")
{
    ledger_fixture test;
    test.crash({"deadly.0.0.0", "other.0.0.0"}, 1, start_evidence::none);
    test.time.run(milliseconds(4));
    test.crash({"deadly.0.0.0", "another.0.0.0"}, 1, start_evidence::asked);
    CHECK(test.ledger.verdictOf("deadly") == crash_verdict::suspect);
    test.time.run(milliseconds(4));
    test.crash({"deadly.0.0.0", "third.0.0.0"}, 1, start_evidence::asked);
    CHECK(test.ledger.verdictOf("deadly") == crash_verdict::given_up);
}

/// Guards against a sound job that fails because its worker crashed just after it had answered, and before the start arrived.
TEST_CASE("a job is not given up after two rounds unless the worker had confirmed both runs")
{
    ledger_fixture test;
    test.crash({"sound.0.0.0"});
    test.time.run(seconds(1));
    test.crash({"sound.0.0.0"}, 1, start_evidence::asked);
    CHECK(test.ledger.verdictOf("sound") == crash_verdict::suspect);
}

/// Guards against a sound job that fails because a run beside it, which crashed both workers, was too young to be confirmed.
TEST_CASE("a job is not alone in a crash beside a run that was not confirmed")
{
    ledger_fixture test;
    for (int crash = 0; crash < 2; ++crash) {
        crash_report report{"crash" + std::to_string(crash), crash_state::proved, 0, {}};
        report.runs.push_back({"sound.0.0.0", "queue", SOON, start_evidence::confirmed});
        report.runs.push_back({"deadly" + std::to_string(crash) + ".0.0.0", "queue", 8, start_evidence::none});
        test.ledger.record("agent", report);
        test.time.run(seconds(1));
    }
    CHECK(test.ledger.verdictOf("sound") == crash_verdict::suspect);
}

/// Guards against a job that is given up after one crash, because its worker had two runs of one task, of which one was being stopped.
TEST_CASE("a crash counts once under a task of which the worker had two runs")
{
    ledger_fixture test;
    test.crash({"job.0.0.0", "job.0.0.0"});
    test.time.run(milliseconds(4));
    test.crash({"job.0.0.0"}, 1, start_evidence::none);
    CHECK(test.ledger.verdictOf("job") != crash_verdict::given_up);
    CHECK(test.ledger.crashesUnderOneTaskOf("job") == 1);
}

/// Guards against memory that grows with the crashes, and against evidence that is dropped where it matters most.
TEST_CASE("a ledger keeps a bounded number of jobs, those with the most evidence longest")
{
    crash_ledger_limits limits;
    limits.jobs = 16;
    limits.crashes = 16;
    ledger_fixture test(limits);
    test.crash({"deadly.0.0.0"});
    test.time.run(milliseconds(200));
    test.crash({"deadly.0.0.0"});
    for (int crash = 0; crash < 200; ++crash) {
        test.time.run(milliseconds(10));
        test.crash({"job" + std::to_string(crash) + ".0.0.0", "other" + std::to_string(crash) + ".0.0.0"});
    }
    CHECK(test.ledger.rows().size() == 16);
    CHECK(test.ledger.verdictOf("deadly") == crash_verdict::given_up);
}

/// Guards against jobs that remain under suspicion for ever.
TEST_CASE("evidence is forgotten when the job is done, and some time after its last crash")
{
    ledger_fixture test;
    test.crash({"one.0.0.0", "two.0.0.0"});
    test.ledger.clear("one");
    CHECK(test.ledger.verdictOf("one") == crash_verdict::sound);
    test.time.run(seconds(29));
    test.ledger.forgetOld();
    CHECK(test.ledger.verdictOf("two") == crash_verdict::suspect);
    test.time.run(seconds(1));
    test.ledger.forgetOld();
    CHECK(test.ledger.isEmpty());
    CHECK_FALSE(
        test.ledger.record("agent", {"old", crash_state::proved, 30'000, {{"two.0.0.0", "queue", SOON, start_evidence::confirmed}}}).isNew);
}

/// Guards against a job that fails because its workers were cut off, and against a task that is started on and on until the proof has come.
TEST_CASE("a job is held for suspected crashes, given up when they are proved, and sound again when they are withdrawn")
{
    for (const crash_state end : {crash_state::proved, crash_state::withdrawn}) {
        CAPTURE(crashStateName(end));
        ledger_fixture test;
        std::vector<crash_report> reports;
        for (const std::string crash : {"first", "second"}) {
            reports.push_back({crash, crash_state::suspected, 0, {{"job.0.0.0", "queue", SOON, start_evidence::confirmed}}});
            const crash_findings findings = test.ledger.record("agent", reports.back());
            CHECK(findings.stoppedQueues.size() == (crash == "second" ? 1 : 0));
            CHECK(test.ledger.verdictOf("job") == (crash == "second" ? crash_verdict::held : crash_verdict::suspect));
            test.time.run(seconds(1));
        }
        CHECK(test.ledger.crashesUnderOneTaskOf("job") == 0);
        CHECK(test.ledger.counters().crashes == 0);
        reports[0].state = end;
        reports[0].ageMilliseconds = 2'000;
        const crash_findings first = test.ledger.record("agent", reports[0]);
        CHECK(first.isNew);
        CHECK(first.stoppedQueues.empty());
        CHECK(first.releasedQueues.size() == (end == crash_state::withdrawn ? 1 : 0));
        CHECK(test.ledger.verdictOf("job") == (end == crash_state::withdrawn ? crash_verdict::suspect : crash_verdict::held));
        CHECK_FALSE(test.ledger.record("agent", reports[0]).isNew);
        // A suspicion that arrives late changes nothing.
        reports[0].state = crash_state::suspected;
        CHECK_FALSE(test.ledger.record("agent", reports[0]).isNew);
        reports[1].state = end;
        reports[1].ageMilliseconds = 1'000;
        CHECK(test.ledger.record("agent", reports[1]).stoppedQueues.empty());
        CHECK(test.ledger.verdictOf("job") == (end == crash_state::withdrawn ? crash_verdict::sound : crash_verdict::given_up));
        CHECK(test.ledger.isEmpty() == (end == crash_state::withdrawn));
        CHECK(test.ledger.counters().givenUpJobs == (end == crash_state::withdrawn ? 0 : 1));
    }
}

/// Guards against an innocent run that stays charged although its start has turned out to have reached no worker.
TEST_CASE("the runs of a proved crash replace those of the suspected one")
{
    ledger_fixture test;
    crash_report report{"crash",
                        crash_state::suspected,
                        0,
                        {{"one.0.0.0", "queue", SOON, start_evidence::none}, {"two.0.0.0", "queue", SOON, start_evidence::confirmed}}};
    test.ledger.record("agent", report);
    CHECK(test.ledger.isCharged("one"));
    report.state = crash_state::proved;
    report.runs.erase(report.runs.begin());
    test.ledger.record("agent", report);
    CHECK_FALSE(test.ledger.isCharged("one"));
    CHECK(test.ledger.roundsOf("two") == 1);
    CHECK(test.ledger.verdictOf("two") == crash_verdict::suspect);
    CHECK(test.ledger.counters().crashes == 1);
}
