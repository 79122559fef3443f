#include <doctest/doctest.h>

#include "dispatch/urgency_queue.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

/// Returns a job of one task whose latency objective is its estimate plus 100 ms.
active_job makeJob(const virtual_time &time, std::uint64_t number, milliseconds estimate, std::uint32_t milliCores = 1000)
{
    job_spec spec;
    spec.id = "job" + std::to_string(number);
    step_spec step;
    step.count = 1;
    step.shape = {milliCores, 64, 0};
    step.estimate = estimate;
    spec.steps = {step};
    route jobRoute;
    jobRoute.slackFactor = 1;
    jobRoute.targetLatency = milliseconds(100);
    return {number, spec, jobRoute, time.steadyNow(), time.steadyNow() + seconds(2)};
}

std::vector<std::uint64_t> numbersOf(const urgency_queue &queue)
{
    std::vector<std::uint64_t> result;
    for (const active_job *job : queue.jobsByUrgency()) {
        result.push_back(job->number);
    }
    return result;
}

}

TEST_CASE("jobs are ordered by latest start, and late jobs that have not started come last")
{
    virtual_time time;
    urgency_queue queue;
    active_job first = makeJob(time, 1, milliseconds(10));
    active_job started = makeJob(time, 2, milliseconds(10));
    started.statistics.unsuccessfulRuns = 1;
    time.run(milliseconds(60));
    active_job last = makeJob(time, 3, milliseconds(10));
    for (active_job *job : {&last, &started, &first}) {
        queue.add(*job, time.steadyNow());
    }
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{1, 2, 3});
    time.run(milliseconds(50));
    queue.demoteLateJobs(time.steadyNow());
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{2, 3, 1});
    CHECK(first.isLate);
    queue.remove(2);
    queue.remove(2);
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{3, 1});
}

TEST_CASE("the load of a job holds the work ahead of it and the later jobs with their slack")
{
    virtual_time time;
    urgency_queue queue;
    active_job urgent = makeJob(time, 1, milliseconds(10));
    time.run(milliseconds(40));
    active_job newJob = makeJob(time, 2, milliseconds(10));
    time.run(milliseconds(40));
    active_job relaxed = makeJob(time, 3, milliseconds(10));
    queue.add(urgent, time.steadyNow());
    queue.add(relaxed, time.steadyNow());
    admission_load load;
    queue.fillLoad(newJob, time.steadyNow(), load);
    CHECK(load.workAhead == urgent.waitingWork());
    REQUIRE(load.laterJobs.size() == 1);
    CHECK(load.laterJobs[0].cumulativeWork == urgent.waitingWork() + relaxed.waitingWork());
    CHECK(load.laterJobs[0].slack == milliseconds(100));
}

TEST_CASE("the waiting demand does not include late jobs that have not started")
{
    virtual_time time;
    urgency_queue queue;
    CHECK(queue.waitingDemand().milliCores == 0);
    active_job late = makeJob(time, 1, milliseconds(10), 300);
    queue.add(late, time.steadyNow());
    time.run(milliseconds(200));
    queue.demoteLateJobs(time.steadyNow());
    CHECK(queue.waitingDemand().milliCores == 0);
    active_job wide = makeJob(time, 2, milliseconds(10), 3000);
    active_job narrow = makeJob(time, 3, milliseconds(10), 500);
    queue.add(wide, time.steadyNow());
    queue.add(narrow, time.steadyNow());
    CHECK(queue.waitingDemand().milliCores == 3500);
    CHECK(queue.waitingDemand().smallestMilliCores == 500);
}
