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

// Guards against a job that goes behind all others, also those whose callers have more time, as soon as it misses its objective.
TEST_CASE("jobs are ordered by the next promise that they can keep: the objective of their queue, then the deadline of their caller")
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
    queue.moveLateJobs(time.steadyNow());
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{2, 3, 1});
    CHECK(first.isLate);
    queue.remove(2);
    queue.remove(2);
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{3, 1});
    // Its caller waits until 2 s, so that it goes ahead of a job that has until later to meet its objective.
    time.run(milliseconds(1690));
    active_job fresh = makeJob(time, 4, milliseconds(10));
    queue.add(fresh, time.steadyNow());
    queue.remove(3);
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{4, 1});
    time.run(milliseconds(100));
    active_job later = makeJob(time, 5, milliseconds(10));
    queue.add(later, time.steadyNow());
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{4, 1, 5});
}

// Guards against an account that asks for more than its part and makes the others wait for it.
TEST_CASE("a job whose account has used its part waits for its turn, and no longer than its caller does")
{
    virtual_time time;
    urgency_queue queue;
    active_job heavy = makeJob(time, 1, milliseconds(10));
    active_job other = makeJob(time, 2, milliseconds(10));
    active_job heaviest = makeJob(time, 3, milliseconds(10));
    heavy.shareStart = time.steadyNow() + seconds(1);
    heaviest.shareStart = time.steadyNow() + seconds(60);
    for (active_job *job : {&heavy, &other, &heaviest}) {
        queue.add(*job, time.steadyNow());
    }
    time.run(seconds(1));
    active_job fresh = makeJob(time, 4, milliseconds(10));
    queue.add(fresh, time.steadyNow());
    CHECK(numbersOf(queue) == std::vector<std::uint64_t>{2, 1, 4, 3});
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
    // The caller's 2 s less the work with its reserve and the time of the ways.
    CHECK(load.laterJobs[0].slack == seconds(2) - milliseconds(11) - RESULT_TIME);
}

// Guards against capacity that agents offer to others while a caller waits here for a job that has missed its objective.
TEST_CASE("the waiting demand includes jobs that have missed their objective")
{
    virtual_time time;
    urgency_queue queue;
    CHECK(queue.waitingDemand().milliCores == 0);
    active_job late = makeJob(time, 1, milliseconds(10), 300);
    queue.add(late, time.steadyNow());
    time.run(milliseconds(200));
    queue.moveLateJobs(time.steadyNow());
    CHECK(queue.waitingDemand().milliCores == 300);
    active_job wide = makeJob(time, 2, milliseconds(10), 3000);
    active_job narrow = makeJob(time, 3, milliseconds(10), 500);
    queue.add(wide, time.steadyNow());
    queue.add(narrow, time.steadyNow());
    CHECK(queue.waitingDemand().milliCores == 3800);
    CHECK(queue.waitingDemand().smallestMilliCores == 300);
}
