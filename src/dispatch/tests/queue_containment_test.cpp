#include <doctest/doctest.h>

#include <algorithm>

#include "dispatch/queue_containment.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

/// Guards against entries that set different workers apart, and against small fleets that have none left.
TEST_CASE("a fixed quarter of the workers is set apart, and none of fewer than four")
{
    std::vector<std::string> agents;
    for (int agent = 0; agent < 11; ++agent) {
        agents.push_back("agent" + std::to_string(agent));
    }
    const std::set<std::string> chosen = containingAgents(agents);
    CHECK(chosen.size() == 2);
    std::ranges::reverse(agents);
    CHECK(containingAgents(agents) == chosen);
    agents.resize(4);
    CHECK(containingAgents(agents).size() == 1);
    agents.resize(3);
    CHECK(containingAgents(agents).empty());
}

/// Guards against a queue that stays contained after its last bad job.
TEST_CASE("a queue is contained when two of its jobs are given up, until it has been quiet")
{
    virtual_time time;
    decision_journal journal(time);
    queue_containment containment(time, journal);
    containment.recordGivenUp("bad", "desk");
    time.run(CONTAINMENT_PERIOD + seconds(1));
    containment.recordGivenUp("bad", "desk");
    CHECK_FALSE(containment.isContained("bad"));
    time.run(seconds(1));
    containment.recordGivenUp("bad", "desk");
    CHECK(containment.isContained("bad"));
    CHECK(containment.services() == std::set<std::string>{"desk"});
    for (int crash = 0; crash < 5; ++crash) {
        time.run(CONTAINMENT_QUIET_TIME - seconds(1));
        containment.recordCrash("bad", time.steadyNow());
        containment.releaseQuiet();
        CHECK(containment.isContained("bad"));
    }
    time.run(CONTAINMENT_QUIET_TIME);
    containment.releaseQuiet();
    CHECK_FALSE(containment.isContained("bad"));
    CHECK(containment.services().empty());
}

/// Guards against a queue that stays contained for jobs whose workers were only cut off.
TEST_CASE("a queue is released when a job for which it was contained is no longer held")
{
    virtual_time time;
    decision_journal journal(time);
    queue_containment containment(time, journal);
    containment.recordReleased("cut");
    containment.recordGivenUp("cut", "desk");
    containment.recordGivenUp("cut", "desk");
    REQUIRE(containment.isContained("cut"));
    containment.recordReleased("cut");
    CHECK_FALSE(containment.isContained("cut"));
    containment.recordReleased("cut");
    containment.recordGivenUp("cut", "desk");
    CHECK_FALSE(containment.isContained("cut"));
    containment.recordGivenUp("cut", "desk");
    CHECK(containment.isContained("cut"));
}
