#include <doctest/doctest.h>

#include <set>

#include "runs/tests/supervisor_fixture.h"

using namespace azuremoor;
using azuremoor::testing::fake_worker;
using azuremoor::testing::supervisor_fixture;
using azuremoor::testing::virtual_time;

TEST_CASE("the result of a run is reported once the worker lists its end")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    CHECK(test.worker.active().size() == 1);
    test.worker.finish({"job.0.0.0", 1}, run_outcome::done);
    test.run(milliseconds(50));
    CHECK(test.resultOf(1) == run_outcome::done);
    CHECK(test.supervisor->runCount() == 0);
}

TEST_CASE("a start request that arrives seconds late is refused")
{
    supervisor_fixture test;
    test.worker.startDelivery = fake_worker::order_delivery::delayed;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(100));
    CHECK_FALSE(test.hasResult(1));
    test.worker.startDelivery = fake_worker::order_delivery::answered;
    test.run(seconds(12));
    CHECK(test.resultOf(1) == run_outcome::stopped);
    CHECK(test.worker.started.empty());
}

TEST_CASE("a run whose start request was not answered is stopped before its result is reported")
{
    supervisor_fixture test;
    test.worker.startDelivery = fake_worker::order_delivery::delayed;
    test.worker.orderDelay = milliseconds(5);
    test.order(1, "job.0.0.0");
    test.run(milliseconds(600));
    CHECK(test.worker.started.size() == 1);
    CHECK(test.resultOf(1) == run_outcome::stopped);
    CHECK(test.worker.active().empty());
    CHECK(test.activeRunAtResult.task.empty());
}

TEST_CASE("a run whose stops are all lost is reported only after its start request has certainly expired")
{
    supervisor_fixture test;
    test.worker.startDelivery = fake_worker::order_delivery::lost;
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    test.order(1, "job.0.0.0");
    test.run(test.leases.workerLease);
    CHECK_FALSE(test.hasResult(1));
    test.run(milliseconds(400));
    CHECK(test.resultOf(1) == run_outcome::stopped);
}

TEST_CASE("capacity is never exceeded, and a run that is being stopped still uses capacity")
{
    supervisor_fixture test;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        test.order(sequence, "job.0.0." + std::to_string(sequence));
    }
    CHECK(test.resultOf(5) == run_outcome::no_room);
    test.run(milliseconds(50));
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    test.supervisor->stop("entry#1", 1);
    test.order(6, "job.0.0.6");
    CHECK(test.resultOf(6) == run_outcome::no_room);
}

TEST_CASE("a draining worker gets no new runs")
{
    supervisor_fixture test;
    test.supervisor->handleReport(test.worker.report(true));
    test.order(1, "job.0.0.0");
    CHECK(test.resultOf(1) == run_outcome::closed);
    CHECK(test.supervisor->status().draining);
}

TEST_CASE("runs of an unresponsive worker are reported as ended only after the lease expired on the worker's slow clock")
{
    supervisor_fixture test(0.98);
    test.run(seconds(1));
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.renewalDelivery = fake_worker::order_delivery::lost;
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    while (!test.hasResult(1)) {
        test.run(supervisor_fixture::TICK);
        REQUIRE((test.hasResult(1) ? test.worker.active().empty() : true));
    }
    CHECK(test.resultOf(1) == run_outcome::worker_silent);
    CHECK_FALSE(test.supervisor->isReady());
    test.worker.renewalDelivery = fake_worker::order_delivery::answered;
    test.run(milliseconds(500));
    CHECK(test.supervisor->isReady());
}

TEST_CASE("runs of an unresponsive worker are reported as ended within the time that entries rely on")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.renewalDelivery = fake_worker::order_delivery::lost;
    test.run(std::chrono::duration_cast<milliseconds>(test.leases.maxOrphanedRunTime()));
    CHECK(test.resultOf(1) == run_outcome::worker_silent);
}

namespace
{

/// A worker whose answers arrive when the test hands them over, as after a pause of the agent's process.
class late_answers : public worker_client, public run_result_listener, public worker_crash_listener
{
public:
    late_answers()
        : journal(time)
        , supervisor(time, {}, *this, *this, *this, journal)
    {
        worker_report report;
        report.workerInstance = "worker";
        report.address = "127.0.0.1:1";
        report.service = "desk";
        report.capacity = {4000, 4096, 0};
        report.clock = CLOCK;
        report.sequence = 1;
        supervisor.handleReport(report);
        answerRenewals();
        answerRenewals();
        REQUIRE(supervisor.isReady());
    }

    void startRun(const request_context &,
                  const run_order &,
                  worker_milliseconds,
                  std::function<void(worker_reply, worker_milliseconds)> done) override
    {
        starts.push_back(std::move(done));
    }

    void stopRun(const request_context &, const run_key &, std::function<void(worker_reply)>) override
    {
    }

    void renewLease(const request_context &, const lease_request &, std::function<void(const lease_response &)> done) override
    {
        renewals.push_back(std::move(done));
    }

    void handleRunResult(const std::string &, std::uint64_t, run_outcome outcome) override
    {
        results.push_back(outcome);
    }

    void handleWorkerCrash(const worker_crash &) override
    {
    }

    /// Answers the renewals that have been sent so far.
    void answerRenewals()
    {
        for (const auto &done : std::exchange(renewals, {})) {
            lease_response response;
            response.reply = worker_reply::accepted;
            response.clock = CLOCK + (time.steadyNow() - m_begin) / milliseconds(1);
            done(response);
        }
    }

    void order(bool isWorkerAskedFirst)
    {
        run_order ordered{1, "job.0.0.0", 1, "payload", {500, 64, 0}};
        ordered.isWorkerAskedFirst = isWorkerAskedFirst;
        supervisor.start("entry#1", "worker", ordered);
        supervisor.askForHeldStarts();
    }

    static constexpr worker_milliseconds CLOCK = 1000;
    virtual_time time;
    decision_journal journal;
    std::vector<std::function<void(worker_reply, worker_milliseconds)>> starts;
    std::vector<std::function<void(const lease_response &)>> renewals;
    std::vector<run_outcome> results;
    run_supervisor supervisor;

private:
    steady_time m_begin = time.steadyNow();
};

}

/// Guards against a task that runs twice: after a pause of the agent its entry may have presumed the end of an order whose start is held.
TEST_CASE("a start that is held is not sent when the worker's answer is handled late")
{
    late_answers test;
    test.order(true);
    SUBCASE("in time")
    {
        test.time.run(milliseconds(10));
        test.answerRenewals();
        CHECK(test.starts.size() == 1);
        CHECK(test.results.empty());
    }
    SUBCASE("late")
    {
        test.time.run(lease_timing().requestTimeout + milliseconds(1));
        test.answerRenewals();
        CHECK(test.starts.empty());
        CHECK(test.results == std::vector<run_outcome>{run_outcome::closed});
    }
}

/// Guards against a job that is given up for workers that fell silent, although their agents had been paused.
TEST_CASE("an agent that was paused does not say that its worker fell silent")
{
    late_answers test;
    test.order(false);
    REQUIRE(test.starts.size() == 1);
    test.starts.front()(worker_reply::accepted, late_answers::CLOCK);
    test.time.run(seconds(2));
    test.supervisor.tick();
    CHECK(test.results == std::vector<run_outcome>{run_outcome::lapsed});
}

/// Guards against a job that is given up for workers that fell silent before its runs had begun there, or that were paused with their
/// agent.
TEST_CASE("a run that was not confirmed, or that its worker lists as ended with its lease, is not one under which a worker fell silent")
{
    supervisor_fixture test;
    test.worker.startDelivery = fake_worker::order_delivery::lost;
    SUBCASE("not confirmed")
    {
        test.order(1, "job.0.0.0");
        test.worker.renewalDelivery = fake_worker::order_delivery::lost;
        test.worker.stopDelivery = fake_worker::order_delivery::lost;
        test.run(seconds(1));
    }
    SUBCASE("listed by its worker")
    {
        test.worker.startDelivery = fake_worker::order_delivery::answered;
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        test.worker.finish({"job.0.0.0", 1}, run_outcome::lapsed);
        test.run(milliseconds(50));
    }
    CHECK(test.resultOf(1) == run_outcome::lapsed);
}

TEST_CASE("a new worker instance ends the runs of the former one, whose late reports are refused")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    const worker_report late = test.worker.report();
    test.worker.restart("worker-2");
    CHECK(test.supervisor->handleReport(test.worker.report()));
    test.run(supervisor_fixture::TICK);
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
    CHECK_FALSE(test.supervisor->handleReport(late));
    test.run(milliseconds(50));
    CHECK(test.supervisor->status().worker == "worker-2");
    CHECK(test.supervisor->isReady());
}

TEST_CASE("an answer from a new worker instance ends the runs before the instance has sent a report")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.restart("worker-2");
    test.run(milliseconds(300));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
}

TEST_CASE("a new agent process stops the runs of its predecessor before it is ready")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.restartSupervisor();
    CHECK_FALSE(test.supervisor->isReady());
    test.run(milliseconds(400));
    CHECK(test.supervisor->isReady());
    CHECK(test.worker.active().empty());
}

TEST_CASE("a new agent process does not extend the lease for runs of its predecessor")
{
    for (const fake_worker::order_delivery renewal : {fake_worker::order_delivery::answered, fake_worker::order_delivery::delayed}) {
        supervisor_fixture test;
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        test.worker.stopDelivery = fake_worker::order_delivery::lost;
        test.worker.renewalDelivery = renewal;
        test.restartSupervisor();
        test.run(test.leases.workerLease + milliseconds(100));
        CHECK(test.worker.active().empty());
        test.worker.renewalDelivery = fake_worker::order_delivery::answered;
        test.run(milliseconds(400));
        CHECK(test.supervisor->isReady());
    }
}

TEST_CASE("a late start request of an earlier agent process is refused by its fencing token")
{
    supervisor_fixture test;
    test.worker.startDelivery = fake_worker::order_delivery::delayed;
    test.worker.orderDelay = milliseconds(400);
    test.order(1, "job.0.0.0");
    test.restartSupervisor();
    test.run(seconds(1));
    CHECK(test.worker.started.empty());
}

TEST_CASE("if all stops of a run are lost, the lease is not renewed and the other runs end with it as well")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.order(2, "job.0.0.1");
    test.run(milliseconds(50));
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    test.supervisor->stop("entry#1", 1);
    constexpr milliseconds STOP_TIMEOUT{150};
    test.run(STOP_TIMEOUT + test.leases.workerLease + milliseconds(150));
    CHECK(test.worker.active().empty());
    CHECK(test.hasResult(1));
    test.run(milliseconds(200));
    CHECK(test.supervisor->isReady());
}

TEST_CASE("runs of a lost entry end with the worker's current lease even if all stops are lost")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    test.supervisor->stopAll("entry#1");
    constexpr milliseconds STOP_MARGIN{70};
    test.run(test.leases.workerLease + STOP_MARGIN);
    CHECK(test.worker.active().empty());
}

/// Guards against a live worker that is given up because a connection to it could not be opened in time.
TEST_CASE("a start that could not be sent ends that run alone, and the worker's other runs go on")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.startDelivery = fake_worker::order_delivery::unsent;
    test.order(2, "job.0.0.1");
    test.run(milliseconds(300));
    CHECK(test.resultOf(2) == run_outcome::closed);
    CHECK_FALSE(test.hasResult(1));
    CHECK(test.supervisor->isReady());
    CHECK(test.worker.active() == std::set<run_key>{{"job.0.0.0", 1}});
}

/// Guards against runs that are reported as lost while their worker's lease still holds, and a worker that is refused for good afterwards.
TEST_CASE("runs of a worker to which nothing can be sent are reported only after its lease, and the worker is used again when it answers")
{
    supervisor_fixture test(0.98);
    test.run(seconds(1));
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.renewalDelivery = fake_worker::order_delivery::unsent;
    test.worker.stopDelivery = fake_worker::order_delivery::unsent;
    test.supervisor->stop("entry#1", 1);
    while (!test.hasResult(1)) {
        test.run(supervisor_fixture::TICK);
        REQUIRE((test.hasResult(1) ? test.worker.active().empty() : true));
    }
    CHECK(test.resultOf(1) == run_outcome::lapsed);
    test.worker.renewalDelivery = fake_worker::order_delivery::answered;
    CHECK(test.supervisor->handleReport(test.worker.report()));
    test.run(milliseconds(500));
    CHECK(test.supervisor->isReady());
}

namespace
{

/// Returns a report of an instance that is not at the worker's address any more.
worker_report lateReport(supervisor_fixture &test)
{
    worker_report report = test.worker.report();
    report.workerInstance = "worker-0";
    report.sequence = 1;
    return report;
}

}

/// Guards against a live worker that is given up for the late report of a crashed one, so that its runs go on beside their copies.
TEST_CASE("a late report of an instance that was never seen leaves the live worker in place, and is refused")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.supervisor->handleReport(lateReport(test));
    test.run(milliseconds(50));
    CHECK_FALSE(test.hasResult(1));
    CHECK(test.supervisor->status().worker == "worker-1");
    CHECK(test.supervisor->isReady());
    CHECK_FALSE(test.supervisor->handleReport(lateReport(test)));
    CHECK(test.supervisor->handleReport(test.worker.report()));
}

/// Guards against runs that are reported as lost, for the report of another instance, while their worker only hangs.
TEST_CASE("a worker that hangs gives way to another instance only at the end of its lease, and is used again when it answers")
{
    for (const fake_worker::order_delivery trouble : {fake_worker::order_delivery::unsent, fake_worker::order_delivery::lost}) {
        supervisor_fixture test(0.98);
        test.run(seconds(1));
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        test.worker.renewalDelivery = trouble;
        test.supervisor->handleReport(lateReport(test));
        while (!test.hasResult(1)) {
            test.run(supervisor_fixture::TICK);
            REQUIRE((test.hasResult(1) ? test.worker.active().empty() : true));
        }
        test.run(milliseconds(300));
        test.worker.renewalDelivery = fake_worker::order_delivery::answered;
        test.run(milliseconds(200));
        CHECK(test.supervisor->handleReport(test.worker.report()));
        test.run(milliseconds(500));
        CHECK(test.supervisor->status().worker == "worker-1");
        CHECK(test.supervisor->isReady());
    }
}

/// Guards against an agent that takes a crashed instance for the live one because its late report arrives first after a restart.
TEST_CASE("after a restart of the agent, the live worker is used in whatever order the reports of two instances arrive")
{
    for (const std::string_view order :
         {"late live", "live late", "late late live", "live late late", "late live late", "live late live"}) {
        CAPTURE(order);
        supervisor_fixture test;
        test.former.push_back(std::move(test.supervisor));
        test.supervisor = std::make_unique<run_supervisor>(test.time, test.leases, test.worker, test, test, test.journal);
        for (std::size_t begin = 0; begin < order.size(); begin += 5) {
            test.supervisor->handleReport(order.substr(begin, 4) == "late" ? lateReport(test) : test.worker.report());
        }
        test.run(milliseconds(50));
        test.supervisor->handleReport(test.worker.report());
        test.run(milliseconds(100));
        CHECK(test.supervisor->status().worker == "worker-1");
        CHECK(test.supervisor->isReady());
    }
}

/// Guards against an agent that, after a freeze, keeps a crashed instance because its late reports arrive with those of the new one.
TEST_CASE("after a freeze of the agent, the live worker is used in whatever order the reports of two instances arrive")
{
    for (const bool isLateFirst : {true, false}) {
        CAPTURE(isLateFirst);
        supervisor_fixture test;
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        const worker_report late = test.worker.report();
        test.worker.restart("worker-2");
        test.supervisor->handleReport(isLateFirst ? late : test.worker.report());
        test.supervisor->handleReport(isLateFirst ? test.worker.report() : late);
        test.run(milliseconds(50));
        test.supervisor->handleReport(test.worker.report());
        test.run(milliseconds(100));
        CHECK(test.resultOf(1) == run_outcome::worker_lost);
        CHECK(test.supervisor->status().worker == "worker-2");
        CHECK(test.supervisor->isReady());
    }
}

/// Guards against a live worker that is refused for good because it was given up once.
TEST_CASE("a worker that was given up is used again when it answers, also if a late report names it first")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    const worker_report late = test.worker.report();
    test.worker.renewalDelivery = fake_worker::order_delivery::refused;
    test.run(seconds(1));
    CHECK(test.resultOf(1) == run_outcome::lapsed);
    CHECK(test.activeRunAtResult == run_key{});
    test.worker.renewalDelivery = fake_worker::order_delivery::answered;
    CHECK(test.supervisor->handleReport(late));
    test.run(milliseconds(200));
    CHECK(test.supervisor->handleReport(test.worker.report()));
    test.run(milliseconds(300));
    CHECK(test.supervisor->isReady());
    CHECK(test.worker.active().empty());
}

/// Guards against the announcement of a departure that counts as the end of all runs, so that they go on beside their copies.
TEST_CASE("runs of a worker whose departure was announced are reported only when they cannot go on")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.supervisor->handleDeparture("worker-1");
    test.run(milliseconds(100));
    CHECK_FALSE(test.hasResult(1));
    CHECK(test.supervisor->status().draining);
    test.order(2, "job.0.0.1");
    CHECK(test.resultOf(2) == run_outcome::closed);
    test.activeRunAtResult = {};
    test.worker.renewalDelivery = fake_worker::order_delivery::refused;
    test.run(seconds(1));
    CHECK(test.resultOf(1) == run_outcome::lapsed);
    CHECK(test.activeRunAtResult == run_key{});
    CHECK(test.crashes.empty());
    CHECK(test.supervisor->status().worker.empty());
}

/// Guards against runs that are reported as lost, for an announced departure, while their worker only hangs.
TEST_CASE("runs of a worker that does not answer after its departure was announced are reported only after its lease")
{
    for (const fake_worker::order_delivery trouble : {fake_worker::order_delivery::unsent, fake_worker::order_delivery::lost}) {
        supervisor_fixture test(0.98);
        test.run(seconds(1));
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        test.worker.renewalDelivery = trouble;
        test.supervisor->handleDeparture("worker-1");
        while (!test.hasResult(1)) {
            test.run(supervisor_fixture::TICK);
        }
        CHECK(test.activeRunAtResult == run_key{});
        CHECK(test.supervisor->status().worker.empty());
    }
}

/// Guards against a live worker that is lost for good because somebody announced its departure.
TEST_CASE("a worker that reports after its departure was announced is used again, and keeps its runs")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.supervisor->handleDeparture("worker-1");
    test.run(milliseconds(50));
    CHECK(test.supervisor->handleReport(test.worker.report()));
    test.order(2, "job.0.0.1");
    test.run(milliseconds(50));
    CHECK(test.results.empty());
    CHECK(test.worker.active().size() == 2);
    CHECK_FALSE(test.supervisor->status().draining);
}

/// Guards against a live worker that is given up because nothing listens at an address that another writer has reported for it.
TEST_CASE("a report that names another address for the current worker leaves its runs in place, and is refused")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    worker_report misleading = test.worker.report();
    misleading.address = "127.0.0.1:2";
    test.supervisor->handleReport(misleading);
    test.run(milliseconds(100));
    CHECK(test.results.empty());
    CHECK(test.supervisor->isReady());
    CHECK(test.worker.active().size() == 1);
    CHECK_FALSE(test.supervisor->handleReport(misleading));
    CHECK(test.supervisor->handleReport(test.worker.report()));
}

/// Guards against a worker that is lost for good because it has moved to another address.
TEST_CASE("a worker that has moved to another address is used there once its former address refuses connections")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.restart("worker-1");
    test.worker.address = "127.0.0.1:2";
    test.supervisor->handleReport(test.worker.report());
    test.run(seconds(1));
    CHECK(test.resultOf(1) == run_outcome::lapsed);
    CHECK(test.supervisor->handleReport(test.worker.report()));
    test.run(milliseconds(100));
    CHECK(test.supervisor->isReady());
}

namespace
{

/// The first boot of a worker, and others under its name. The time of a later boot is earlier, as after a clock that was set back.
constexpr std::int64_t FIRST_BOOT = 1'000;
constexpr std::int64_t LATER_BOOT = 900;

/// A supervisor whose worker states its boot, has one run, and starts again under its name without that being noticed.
class reboot_fixture : public supervisor_fixture
{
public:
    reboot_fixture()
    {
        worker.boot = FIRST_BOOT;
        supervisor->handleReport(worker.report());
        run(milliseconds(200));
        supervisor->handleReport(worker.report());
        run(milliseconds(100));
        order(1, "job.0.0.0");
        run(milliseconds(50));
        late = worker.report();
    }

    void reboot()
    {
        worker.restart("worker-1");
        worker.boot = LATER_BOOT;
        worker.labels = {"b", "r1"};
    }

    /// The last report of the first boot.
    worker_report late;
};

}

/// Guards against runs of a former boot that are taken for those of the present one, and against tasks for the former boot's labels.
TEST_CASE("a boot under the name of the one before ends its runs, and is used with its own labels once it has reported")
{
    reboot_fixture test;
    REQUIRE(test.supervisor->isReady());
    test.reboot();
    test.run(milliseconds(300));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
    CHECK_FALSE(test.supervisor->isReady());
    test.order(2, "job.0.0.1");
    CHECK(test.resultOf(2) == run_outcome::closed);
    CHECK(test.supervisor->handleReport(test.worker.report()));
    test.run(milliseconds(100));
    CHECK(test.supervisor->isReady());
    CHECK(test.supervisor->status().labels == test.worker.labels);
}

/// Guards against a late report of a former boot that replaces the present one of the same name, in whatever order the two report.
TEST_CASE("of two boots under one name the one that answers is used, in whatever order their reports arrive")
{
    for (const std::string_view order :
         {"late live", "live late", "late late live", "live late late", "late live late", "live late live", "live late late live"}) {
        for (const bool hasAgentRestarted : {false, true}) {
            CAPTURE(order);
            CAPTURE(hasAgentRestarted);
            reboot_fixture test;
            test.reboot();
            if (hasAgentRestarted) {
                test.worker.dropPendingAnswers();
                // The calls of the former process arrive before the new one begins.
                test.time.run(milliseconds(20));
                test.former.push_back(std::move(test.supervisor));
                test.supervisor = std::make_unique<run_supervisor>(test.time, test.leases, test.worker, test, test, test.journal);
            }
            for (std::size_t begin = 0; begin < order.size(); begin += 5) {
                test.supervisor->handleReport(order.substr(begin, 4) == "late" ? test.late : test.worker.report());
            }
            test.run(milliseconds(100));
            CHECK(test.supervisor->handleReport(test.worker.report()));
            test.run(milliseconds(100));
            CHECK(test.supervisor->isReady());
            CHECK(test.supervisor->status().labels == test.worker.labels);
            test.order(2, "job.0.0.1");
            test.run(milliseconds(50));
            test.supervisor->handleReport(test.late);
            test.run(milliseconds(100));
            CHECK_FALSE(test.hasResult(2));
            CHECK(test.supervisor->isReady());
        }
    }
}

/// Guards against a run that is given to another worker although its start has reached the new boot of the same name.
TEST_CASE("a run whose start has reached a new boot goes on there, and its end is reported")
{
    reboot_fixture test;
    test.reboot();
    test.order(2, "job.0.0.1");
    test.run(milliseconds(150));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
    REQUIRE(test.worker.active() == std::set<run_key>{{"job.0.0.1", 1}});
    CHECK_FALSE(test.hasResult(2));
    test.supervisor->handleReport(test.worker.report());
    test.run(milliseconds(100));
    CHECK(test.supervisor->isReady());
    test.worker.finish({"job.0.0.1", 1}, run_outcome::done);
    test.run(milliseconds(150));
    CHECK(test.resultOf(2) == run_outcome::done);
}

/// Guards against a start to the former boot that the new one carries out late, after the run has been given to another worker.
TEST_CASE("a late start to a former boot is refused by the new one once its run is reported as lost")
{
    for (const milliseconds delay : {milliseconds(50), milliseconds(100), milliseconds(200), milliseconds(500)}) {
        CAPTURE(delay.count());
        reboot_fixture test;
        test.worker.startDelivery = fake_worker::order_delivery::delayed;
        test.worker.orderDelay = delay;
        test.order(2, "job.0.0.1");
        test.reboot();
        for (int tick = 0; tick < 60; ++tick) {
            test.run(supervisor_fixture::TICK);
            REQUIRE((test.hasResult(2) ? test.worker.active().empty() : true));
        }
        CHECK(test.hasResult(2));
    }
}

namespace
{

/// Silences a worker from a decision of its agent on.
class silencing_listener : public journal_listener
{
public:
    silencing_listener(fake_worker &worker, std::string event)
        : m_worker(worker)
        , m_event(std::move(event))
    {
    }

    void handleDecision(const journal_entry &entry) override
    {
        if (entry.event == m_event) {
            m_worker.renewalDelivery = fake_worker::order_delivery::lost;
        }
    }

private:
    fake_worker &m_worker;
    std::string m_event;
};

}

/// Guards against runs on a new boot that are given to another worker while the new boot is silent but runs on, also if its departure was
/// announced or another worker reports.
TEST_CASE("a run that has reached a new boot is reported only after its lease if the new boot does not answer any more")
{
    for (const std::string event : {"worker_rebooted", "worker_held"}) {
        for (const bool isMisled : {false, true}) {
            CAPTURE(event);
            CAPTURE(isMisled);
            reboot_fixture test;
            silencing_listener listener(test.worker, event);
            test.reboot();
            test.order(2, "job.0.0.1");
            test.journal.setListener(&listener);
            test.run(supervisor_fixture::TICK);
            REQUIRE(test.worker.renewalDelivery == fake_worker::order_delivery::lost);
            REQUIRE(test.worker.active() == std::set<run_key>{{"job.0.0.1", 1}});
            if (isMisled) {
                test.supervisor->handleDeparture("worker-1");
                test.supervisor->handleReport(test.late);
            }
            for (int tick = 0; tick < 100; ++tick) {
                test.run(supervisor_fixture::TICK);
                REQUIRE((test.hasResult(2) ? test.worker.active().empty() : true));
            }
            CHECK(test.hasResult(2));
            test.journal.setListener(nullptr);
        }
    }
}

/// Guards against an agent that can use its worker only after hours, because a call of the agent's former process has taken a token on the
/// former boot's clock to the new boot, before the new process begins or later.
TEST_CASE("a new agent process uses a new boot although it has seen a token on the former boot's clock")
{
    for (const milliseconds delay : {milliseconds(5), milliseconds(800)}) {
        CAPTURE(delay.count());
        reboot_fixture test;
        test.run(seconds(30));
        test.supervisor->handleReport(test.worker.report());
        test.worker.startDelivery = fake_worker::order_delivery::delayed;
        test.worker.orderDelay = delay;
        test.order(2, "job.0.0.1");
        test.reboot();
        test.worker.dropPendingAnswers();
        test.former.push_back(std::move(test.supervisor));
        test.supervisor = std::make_unique<run_supervisor>(test.time, test.leases, test.worker, test, test, test.journal);
        test.supervisor->handleReport(test.worker.report());
        test.run(seconds(3));
        CHECK(test.supervisor->isReady());
        CHECK(test.worker.active().empty());
    }
}
