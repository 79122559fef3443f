#include <doctest/doctest.h>

#include "dispatch/asked_jobs.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

// Guards against callers who return and so count as more callers than they are.
TEST_CASE("asked jobs: a job that is submitted again is the same demand, until it has not been for a while")
{
    virtual_time time;
    asked_jobs jobs(time);
    CHECK_FALSE(jobs.recordSubmission("one"));
    CHECK_FALSE(jobs.recordSubmission("two"));
    time.run(REPEAT_TIME / 2);
    CHECK(jobs.recordSubmission("one"));
    time.run(REPEAT_TIME / 2);
    CHECK(jobs.recordSubmission("one"));
    CHECK_FALSE(jobs.recordSubmission("two"));
    time.run(REPEAT_TIME);
    CHECK_FALSE(jobs.recordSubmission("one"));
}

// Guards against memory that grows with the callers.
TEST_CASE("asked jobs: the jobs that were submitted first are forgotten beyond a number")
{
    virtual_time time;
    asked_jobs jobs(time);
    for (std::size_t job = 0; job <= MAX_ASKED_JOBS; ++job) {
        jobs.recordSubmission("job" + std::to_string(job));
    }
    CHECK(jobs.recordSubmission("job" + std::to_string(MAX_ASKED_JOBS)));
    CHECK_FALSE(jobs.recordSubmission("job0"));
}
