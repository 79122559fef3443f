#include <doctest/doctest.h>

#include "runs/run_supervisor.h"
#include "runs/tests/fake_worker.h"

using namespace azuremoor;
using azuremoor::testing::fake_worker;
using azuremoor::testing::virtual_time;

namespace
{

/// A supervisor with its worker in virtual time, and what it reported.
class supervisor_fixture : public run_result_listener
{
public:
    explicit supervisor_fixture(double clockRate = 1)
        : worker(time)
        , journal(time)
        , supervisor(std::make_unique<run_supervisor>(time, leases, worker, *this, journal))
    {
        worker.clockRate = clockRate;
        supervisor->handleReport(worker.report());
        run(milliseconds(100));
    }

    void handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome) override
    {
        results[{session, sequence}] = outcome;
        if (!worker.active().empty()) {
            activeRunAtResult = *worker.active().begin();
        }
    }

    void run(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += TICK) {
            time.run(TICK);
            supervisor->tick();
        }
    }

    /// Replaces the supervisor by that of a new process. Answers to the earlier one go nowhere.
    void restartSupervisor()
    {
        former.push_back(std::move(supervisor));
        supervisor = std::make_unique<run_supervisor>(time, leases, worker, *this, journal);
        supervisor->handleReport(worker.report());
    }

    void order(std::uint64_t sequence, const std::string &task, std::uint32_t number = 1, std::uint32_t milliCores = 1000)
    {
        supervisor->start("entry#1", worker.name, {sequence, task, number, "payload", {milliCores, 64, 0}});
    }

    run_outcome resultOf(std::uint64_t sequence) const
    {
        return results.at({"entry#1", sequence});
    }

    bool hasResult(std::uint64_t sequence) const
    {
        return results.contains({"entry#1", sequence});
    }

    static constexpr milliseconds TICK{25};
    virtual_time time;
    lease_timing leases;
    fake_worker worker;
    decision_journal journal;
    std::vector<std::unique_ptr<run_supervisor>> former;
    std::unique_ptr<run_supervisor> supervisor;
    std::map<std::pair<std::string, std::uint64_t>, run_outcome> results;
    run_key activeRunAtResult;
};

}

TEST_CASE("a run that ends is reported once the worker lists its end")
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

TEST_CASE("an order that is carried out seconds late starts nothing")
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

TEST_CASE("an order that was carried out without an answer is stopped before it is reported")
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

TEST_CASE("a run whose stops all go unanswered is reported only after its order cannot begin any more")
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

TEST_CASE("room is never exceeded, and a run that is being stopped still counts")
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

TEST_CASE("a worker that drains gets no new run")
{
    supervisor_fixture test;
    test.supervisor->handleReport(test.worker.report(true));
    test.order(1, "job.0.0.0");
    CHECK(test.resultOf(1) == run_outcome::closed);
    CHECK(test.supervisor->status().draining);
}

TEST_CASE("a worker that falls silent loses its runs only when its own slow clock has ended its lease")
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
    CHECK(test.resultOf(1) == run_outcome::lapsed);
    CHECK_FALSE(test.supervisor->isReady());
    test.worker.renewalDelivery = fake_worker::order_delivery::answered;
    test.run(milliseconds(500));
    CHECK(test.supervisor->isReady());
}

TEST_CASE("a worker that falls silent loses its runs within the time that entries count on")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.renewalDelivery = fake_worker::order_delivery::lost;
    test.run(std::chrono::duration_cast<milliseconds>(test.leases.maxOrphanedRunTime()));
    CHECK(test.resultOf(1) == run_outcome::lapsed);
}

TEST_CASE("another life of the worker ends the runs of the earlier one, whose late reports count for nothing")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    const worker_report late = test.worker.report();
    test.worker.restart("worker-2");
    CHECK(test.supervisor->handleReport(test.worker.report()));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
    CHECK_FALSE(test.supervisor->handleReport(late));
    test.run(milliseconds(50));
    CHECK(test.supervisor->status().worker == "worker-2");
    CHECK(test.supervisor->isReady());
}

TEST_CASE("an answer from another life ends the runs before the new life has reported")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.restart("worker-2");
    test.run(milliseconds(300));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
}

TEST_CASE("a new process of the agent stops what its predecessor started before it is ready")
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

TEST_CASE("a new process of the agent does not renew the lease of runs that its predecessor started")
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

TEST_CASE("a late order of an earlier process of the agent is fenced off")
{
    supervisor_fixture test;
    test.worker.startDelivery = fake_worker::order_delivery::delayed;
    test.worker.orderDelay = milliseconds(400);
    test.order(1, "job.0.0.0");
    test.restartSupervisor();
    test.run(seconds(1));
    CHECK(test.worker.started.empty());
}

TEST_CASE("a run whose stops are all lost ends with the lease, which is not renewed for the other runs either")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.order(2, "job.0.0.1");
    test.run(milliseconds(50));
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    test.supervisor->stop("entry#1", 1);
    constexpr milliseconds PATIENCE{150};
    test.run(PATIENCE + test.leases.workerLease + milliseconds(150));
    CHECK(test.worker.active().empty());
    CHECK(test.hasResult(1));
    test.run(milliseconds(200));
    CHECK(test.supervisor->isReady());
}

TEST_CASE("runs of an entry that is gone end within the lease that the worker has then, though all stops are lost")
{
    supervisor_fixture test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.stopDelivery = fake_worker::order_delivery::lost;
    test.supervisor->stopAll("entry#1");
    constexpr milliseconds SLACK{70};
    test.run(test.leases.workerLease + SLACK);
    CHECK(test.worker.active().empty());
}
