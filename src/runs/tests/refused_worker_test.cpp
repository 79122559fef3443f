#include <doctest/doctest.h>

#include "runs/tests/supervisor_fixture.h"

using namespace azuremoor;
using azuremoor::testing::fake_worker;
using azuremoor::testing::supervisor_fixture;

namespace
{

/// A supervisor whose worker, with a slow clock, has one run. Connections to the worker can be refused while it runs on.
class refused_worker_fixture : public supervisor_fixture
{
public:
    refused_worker_fixture()
        : supervisor_fixture(0.98)
    {
        run(seconds(1));
        order(1, "job.0.0.0");
        run(milliseconds(50));
        REQUIRE(worker.active().size() == 1);
    }

    /// Sets what becomes of all requests to the worker.
    void deliver(fake_worker::order_delivery delivery)
    {
        worker.startDelivery = delivery;
        worker.stopDelivery = delivery;
        worker.renewalDelivery = delivery;
    }

    /// Cuts the worker off for a time, with its connections refused. It runs on.
    void cutOff(milliseconds duration)
    {
        deliver(fake_worker::order_delivery::refused);
        run(duration);
        deliver(fake_worker::order_delivery::answered);
    }

    /// Lets time pass until the first run has a result.
    void awaitResult()
    {
        const steady_time end = time.steadyNow() + seconds(3);
        while (!hasResult(1) && time.steadyNow() < end) {
            run(TICK);
        }
        REQUIRE(hasResult(1));
    }

    /// Longest time until a worker is asked again that has refused a connection, and until its answer is handled.
    milliseconds retryTime() const
    {
        return leases.renewalInterval + 2 * TICK;
    }
};

}

/// Guards against a task that is started elsewhere while it still runs on a worker that is cut off.
TEST_CASE_FIXTURE(refused_worker_fixture, "runs of a worker that refuses connections are reported only when they cannot go on")
{
    SUBCASE("renewals are refused")
    {
        deliver(fake_worker::order_delivery::refused);
    }
    SUBCASE("a start is refused first")
    {
        deliver(fake_worker::order_delivery::refused);
        order(2, "job.0.0.1");
        run(TICK);
        REQUIRE(resultOf(2) == run_outcome::worker_lost);
        activeRunAtResult = {};
    }
    SUBCASE("a stop is refused first")
    {
        deliver(fake_worker::order_delivery::refused);
        supervisor->stop("entry#1", 1);
    }
    SUBCASE("open channels are reset before")
    {
        deliver(fake_worker::order_delivery::lost);
        order(2, "job.0.0.1");
        run(milliseconds(50));
        deliver(fake_worker::order_delivery::refused);
    }
    SUBCASE("the worker was about to leave")
    {
        supervisor->handleDeparture(worker.name);
        run(milliseconds(25));
        deliver(fake_worker::order_delivery::refused);
    }
    awaitResult();
    CHECK(resultOf(1) == run_outcome::lapsed);
    CHECK(activeRunAtResult == run_key{});
    CHECK(crashes.empty());
}

/// Guards against tasks that wait for the end of a lease which their worker never got.
TEST_CASE("the lease of a worker that refuses connections ends with the last deadline that can have reached it")
{
    for (const fake_worker::order_delivery trouble : {fake_worker::order_delivery::refused, fake_worker::order_delivery::unsent}) {
        CAPTURE(trouble == fake_worker::order_delivery::refused);
        supervisor_fixture test;
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        // The agent gets no processor time.
        test.time.run(milliseconds(150));
        test.worker.renewalDelivery = trouble;
        while (!test.worker.active().empty()) {
            test.run(milliseconds(25));
        }
        // What the slowest clock may add, and the allowance for the end of a run.
        test.run(withClockTolerance(test.leases.workerLease) - test.leases.workerLease + milliseconds(75));
        CHECK(test.hasResult(1));
        CHECK(test.activeRunAtResult == run_key{});
    }
}

/// Guards against runs that are given up, or go on beside their copies, although their worker is only cut off for a moment.
TEST_CASE_FIXTURE(refused_worker_fixture, "runs go on through short cuts that refuse connections")
{
    for (int cut = 0; cut < 4; ++cut) {
        cutOff(milliseconds(120));
        run(retryTime());
        CHECK(supervisor->isReady());
    }
    CHECK(results.empty());
    CHECK(worker.active() == std::set<run_key>{{"job.0.0.0", 1}});
    worker.finish({"job.0.0.0", 1}, run_outcome::done);
    run(milliseconds(50));
    CHECK(resultOf(1) == run_outcome::done);
    CHECK(crashes.empty());
}

/// Guards against orders to a worker that cannot be reached, and against one that waits for its next report to be used again.
TEST_CASE_FIXTURE(refused_worker_fixture, "a worker that refuses connections gets no more orders until it answers again")
{
    for (const milliseconds duration : {milliseconds(200), milliseconds(2'000)}) {
        CAPTURE(duration.count());
        deliver(fake_worker::order_delivery::refused);
        run(retryTime());
        CHECK_FALSE(supervisor->status().ready);
        order(2, "job.0.0.1");
        CHECK(resultOf(2) == run_outcome::closed);
        run(duration - retryTime());
        CHECK_FALSE(supervisor->status().ready);
        deliver(fake_worker::order_delivery::answered);
        run(retryTime());
        CHECK(supervisor->status().ready);
        results.erase({"entry#1", 2});
    }
    order(3, "job.0.0.2");
    run(milliseconds(50));
    CHECK(worker.active().contains({"job.0.0.2", 1}));
}

/// Guards against an agent that spends its processor on a worker that is down.
TEST_CASE_FIXTURE(refused_worker_fixture, "a worker that refuses connections is asked at intervals, also for runs that are to stop")
{
    supervisor->stopAll("entry#1");
    deliver(fake_worker::order_delivery::refused);
    run(retryTime());
    const std::size_t before = worker.requestCount;
    run(milliseconds(1'500));
    CHECK(worker.requestCount - before <= static_cast<std::size_t>(milliseconds(1'500) / leases.renewalInterval) + 1);
    CHECK(worker.requestCount - before >= 5);
}

/// Guards against an innocent task that is charged with a crash because its worker was only cut off.
TEST_CASE_FIXTURE(refused_worker_fixture, "a worker that answers again after its connections were refused has not crashed")
{
    for (const milliseconds duration : {milliseconds(50), milliseconds(300), milliseconds(3'000)}) {
        cutOff(duration);
        run(retryTime() + milliseconds(200));
        REQUIRE(supervisor->isReady());
    }
    // Neither has it when another instance takes its place later, without a refusal.
    supervisor->handleReport(worker.report(true));
    worker.restart("worker-2");
    run(milliseconds(300));
    CHECK(crashes.empty());
}

/// Guards against a crash that goes unnoticed because the runs have ended with the lease before another instance answers.
TEST_CASE_FIXTURE(refused_worker_fixture,
                  "a crash is reported when another instance answers, with the runs and the time of the first refusal")
{
    milliseconds downTime{0};
    bool hasReported = false;
    SUBCASE("within the lease")
    {
        downTime = milliseconds(300);
    }
    SUBCASE("after the lease")
    {
        downTime = milliseconds(3'000);
    }
    SUBCASE("after the lease, when the new instance has reported")
    {
        downTime = milliseconds(3'000);
        hasReported = true;
    }
    const steady_time crashedAt = time.steadyNow();
    worker.restart("worker-2");
    deliver(fake_worker::order_delivery::refused);
    run(downTime);
    CHECK(crashes.empty());
    if (hasReported) {
        supervisor->handleReport(worker.report());
    }
    deliver(fake_worker::order_delivery::answered);
    run(retryTime());
    REQUIRE(crashes.size() == 1);
    CHECK(crashes.front().worker.instance == "worker-1");
    CHECK(crashes.front().noticedAt >= crashedAt);
    CHECK(crashes.front().noticedAt <= crashedAt + leases.renewalInterval);
    REQUIRE(crashes.front().runs.size() == 1);
    const crashed_run &lost = crashes.front().runs.front();
    CHECK(lost.task == "job.0.0.0");
    CHECK(lost.start == start_evidence::confirmed);
    CHECK(milliseconds(lost.ageMilliseconds) <= milliseconds(50) + leases.renewalInterval);
    CHECK(hasResult(1));
    run(seconds(2));
    CHECK(crashes.size() == 1);
}

/// Guards against a crash that goes unnoticed because the next boot has the same identifier, and comes after the end of the lease.
TEST_CASE("a crash is reported when another boot answers under the same identifier after its connections were refused")
{
    for (const milliseconds downTime : {milliseconds(300), milliseconds(3'000)}) {
        CAPTURE(downTime.count());
        supervisor_fixture test;
        test.worker.boot = 1'000;
        test.supervisor->handleReport(test.worker.report());
        test.run(milliseconds(200));
        test.supervisor->handleReport(test.worker.report());
        test.run(milliseconds(200));
        REQUIRE(test.supervisor->isReady());
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        const steady_time crashedAt = test.time.steadyNow();
        test.worker.restart(test.worker.name);
        test.worker.boot = 2'000;
        test.worker.renewalDelivery = fake_worker::order_delivery::refused;
        test.run(downTime);
        CHECK(test.crashes.empty());
        test.worker.renewalDelivery = fake_worker::order_delivery::answered;
        test.run(milliseconds(400));
        REQUIRE(test.crashes.size() == 1);
        CHECK(test.crashes.front().noticedAt <= crashedAt + test.leases.renewalInterval);
        CHECK(test.crashes.front().runs.front().task == "job.0.0.0");
        CHECK(test.hasResult(1));
    }
}

/// Guards against an innocent task that is charged because the late report of a former instance arrives while its worker is cut off.
TEST_CASE_FIXTURE(refused_worker_fixture, "a late report of another instance during a cut shows no crash, and the worker is used again")
{
    for (const milliseconds cut : {milliseconds(300), milliseconds(3'000)}) {
        CAPTURE(cut.count());
        worker_report late = worker.report();
        late.workerInstance = "worker-0";
        late.sequence = 1;
        deliver(fake_worker::order_delivery::refused);
        run(milliseconds(100));
        supervisor->handleReport(late);
        run(cut);
        deliver(fake_worker::order_delivery::answered);
        run(milliseconds(300));
        supervisor->handleReport(worker.report());
        run(milliseconds(400));
        CHECK(supervisor->status().worker == "worker-1");
        CHECK(supervisor->isReady());
    }
    CHECK(activeRunAtResult == run_key{});
    CHECK(crashes.empty());
}

/// Guards against innocent tasks that are suspected because their worker was replaced as planned.
TEST_CASE_FIXTURE(refused_worker_fixture,
                  "a worker that drains, or has announced its departure, has not crashed when it refuses connections")
{
    for (const milliseconds downTime : {milliseconds(300), milliseconds(3'000)}) {
        supervisor_fixture test;
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        if (downTime < seconds(1)) {
            test.supervisor->handleReport(test.worker.report(true));
        } else {
            test.supervisor->handleDeparture(test.worker.name);
        }
        test.worker.restart("worker-2");
        test.worker.renewalDelivery = fake_worker::order_delivery::refused;
        test.run(downTime);
        test.worker.renewalDelivery = fake_worker::order_delivery::answered;
        test.supervisor->handleReport(test.worker.report());
        test.run(milliseconds(400));
        CHECK(test.supervisor->isReady());
        CHECK(test.crashes.empty());
    }
}
