#include <limits>

#include <doctest/doctest.h>

#include "runs/crash_log.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

const hello AGENT{"agent-1", member_role::agent, 7, "dc", ""};

crashed_run makeRun(std::size_t index)
{
    return {"job.0.0." + std::to_string(index), "queue", static_cast<std::uint32_t>(1000 - index)};
}

/// Returns a proved crash that is noticed now.
worker_crash makeCrash(const virtual_time &time, std::uint64_t number, std::vector<crashed_run> runs)
{
    return {number, crash_state::proved, {}, time.steadyNow(), std::move(runs)};
}

}

/// Guards against two crashes that entries take for one, because they have the same identifier.
TEST_CASE("each crash has an identifier of its own, also among other agents and other processes of the agent")
{
    const virtual_time time;
    crash_log log(time, AGENT);
    CHECK(log.record(makeCrash(time, 1, {makeRun(0)})).crash == "agent-1/7/1");
    CHECK(log.record(makeCrash(time, 2, {makeRun(0)})).crash == "agent-1/7/2");
    hello restarted = AGENT;
    restarted.incarnation = 8;
    CHECK(crash_log(time, restarted).record(makeCrash(time, 1, {makeRun(0)})).crash == "agent-1/8/1");
}

/// Guards against a report that cannot be sent because the agent's name is as long as names may be.
TEST_CASE("the identifier of a crash fits into a message, however long the agent's name is")
{
    const virtual_time time;
    hello agent = AGENT;
    agent.name = std::string(MAX_NAME_BYTES, 'a');
    agent.incarnation = std::numeric_limits<std::uint64_t>::max();
    crash_log log(time, agent);
    const crash_report report = log.record(makeCrash(time, 1, {makeRun(0)}));
    CHECK(report.crash.ends_with("/18446744073709551615/1"));
    CHECK(report.crash.size() <= MAX_NAME_BYTES - 20);
}

/// Guards against a crash of a worker with very many runs whose report cannot be sent, or that leaves out the runs that began last.
TEST_CASE("a report has at most as many runs as a message, those that began last, the last one first")
{
    const virtual_time time;
    crash_log log(time, AGENT);
    std::vector<crashed_run> runs;
    for (std::size_t index = 0; index < MAX_CRASHED_RUNS + 2; ++index) {
        runs.push_back(makeRun(index));
    }
    const crash_report report = log.record(makeCrash(time, 1, runs));
    REQUIRE(report.runs.size() == MAX_CRASHED_RUNS);
    CHECK(report.runs.front().task == runs.back().task);
    CHECK(report.runs.back().task == runs[2].task);
    CHECK(log.reports().front().runs.size() == MAX_CRASHED_RUNS);
}

/// Guards against memory and messages that grow with the number of crashes.
TEST_CASE("the latest crashes are remembered, up to a limit")
{
    const virtual_time time;
    crash_log log(time, AGENT);
    for (std::size_t index = 0; index < crash_log::MAX_CRASHES + 3; ++index) {
        log.record(makeCrash(time, index + 1, {makeRun(index)}));
    }
    const std::vector<crash_report> reports = log.reports();
    REQUIRE(reports.size() == crash_log::MAX_CRASHES);
    CHECK(reports.front().runs.front().task == "job.0.0.3");
    CHECK(reports.back().runs.front().task == "job.0.0.18");
    CHECK(log.count() == crash_log::MAX_CRASHES + 3);
}

/// Guards against an entry that takes an old crash for one that has just happened, and against crashes that are told forever.
TEST_CASE("a crash is reported with its age, and forgotten after its time")
{
    virtual_time time;
    crash_log log(time, AGENT);
    log.record(makeCrash(time, 1, {makeRun(0)}));
    time.run(seconds(20));
    log.record(makeCrash(time, 2, {makeRun(1)}));
    REQUIRE(log.reports().size() == 2);
    CHECK(log.reports()[0].ageMilliseconds == 20'000);
    CHECK(log.reports()[1].ageMilliseconds == 0);
    time.run(seconds(10));
    REQUIRE(log.reports().size() == 1);
    CHECK(log.reports()[0].crash == "agent-1/7/2");
    CHECK(log.reports()[0].ageMilliseconds == 10'000);
    time.run(seconds(20));
    CHECK(log.reports().empty());
}

/// Guards against an entry that goes on suspecting a task because it was not connected when the worker answered again, and against cuts
/// that push proved crashes out of the memory.
TEST_CASE("what has become known of a crash replaces the suspicion, and withdrawn ones are forgotten first")
{
    const virtual_time time;
    crash_log log(time, AGENT);
    worker_crash crash = makeCrash(time, 1, {makeRun(0)});
    crash.state = crash_state::suspected;
    CHECK(log.record(crash).state == crash_state::suspected);
    CHECK(log.count() == 0);
    crash.state = crash_state::proved;
    CHECK(log.record(crash).crash == "agent-1/7/1");
    CHECK(log.count() == 1);
    REQUIRE(log.reports().size() == 1);
    CHECK(log.reports().front().state == crash_state::proved);
    for (std::uint64_t cut = 2; cut < crash_log::MAX_CRASHES + 5; ++cut) {
        worker_crash withdrawn = makeCrash(time, cut, {makeRun(0)});
        withdrawn.state = crash_state::withdrawn;
        log.record(withdrawn);
    }
    CHECK(log.reports().size() == crash_log::MAX_CRASHES);
    CHECK(log.reports().front().crash == "agent-1/7/1");
    CHECK(log.reports().back().state == crash_state::withdrawn);
    CHECK(log.count() == 1);
}
