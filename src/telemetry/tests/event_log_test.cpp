#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "telemetry/event_log.h"
#include "telemetry/line_budget.h"
#include "testing/virtual_time.h"

using namespace azuremoor;

TEST_CASE("a kind of line beyond its budget is left out and counted")
{
    line_budget budget(2);
    const steady_time now{seconds(5)};
    CHECK(budget.spend("run_ended", now) == 0);
    CHECK(budget.spend("run_ended", now) == 0);
    CHECK_FALSE(budget.spend("run_ended", now));
    CHECK_FALSE(budget.spend("run_ended", now));
    CHECK(budget.spend("job_answered", now) == 0);
    CHECK(budget.spend("run_ended", now + seconds(1)) == 2);
    CHECK(budget.spend("run_ended", now + seconds(1)) == 0);
}

TEST_CASE("a reader that has stalled does not block the process")
{
    int ends[2] = {};
    REQUIRE(pipe(ends) == 0);
    testing::virtual_time time;
    event_log log("test", log_level::info, time, ends[1]);
    const std::string text(1000, 'x');
    for (int line = 0; line < 1000; ++line) {
        log.write(log_level::info, "filler", {{"text", text}});
        time.run(milliseconds(10));
    }
    CHECK(log.lostLines() > 900);
    close(ends[0]);
    close(ends[1]);
}
