#include <doctest/doctest.h>

#include "runs/run_supervisor.h"
#include "runs/tests/fake_worker.h"

using namespace azuremoor;
using azuremoor::testing::fake_worker;
using azuremoor::testing::virtual_time;

namespace
{

/// A supervisor with its worker in virtual time, and what it reported.
class supervised_worker : public supervisor_listener
{
public:
    explicit supervised_worker(double clockRate = 1)
        : worker(time)
        , journal(time)
        , supervisor(std::make_unique<run_supervisor>(time, rules, worker, *this, journal))
    {
        worker.clockRate = clockRate;
        supervisor->takeReport(worker.report());
        run(milliseconds(100));
    }

    void endRun(const std::string &session, std::uint64_t sequence, run_outcome outcome) override
    {
        results[{session, sequence}] = outcome;
        if (!worker.active().empty()) {
            runningAtResult = *worker.active().begin();
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
        supervisor = std::make_unique<run_supervisor>(time, rules, worker, *this, journal);
        supervisor->takeReport(worker.report());
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
    lease_rules rules;
    fake_worker worker;
    decision_journal journal;
    std::vector<std::unique_ptr<run_supervisor>> former;
    std::unique_ptr<run_supervisor> supervisor;
    std::map<std::pair<std::string, std::uint64_t>, run_outcome> results;
    run_key runningAtResult;
};

}

TEST_CASE("a run that ends is reported once the worker lists its end")
{
    supervised_worker test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    CHECK(test.worker.active().size() == 1);
    test.worker.finish({"job.0.0.0", 1}, run_outcome::done);
    test.run(milliseconds(50));
    CHECK(test.resultOf(1) == run_outcome::done);
    CHECK(test.supervisor->size() == 0);
}

TEST_CASE("an order that is carried out seconds late starts nothing")
{
    supervised_worker test;
    test.worker.startFate = fake_worker::fate::late;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(100));
    CHECK_FALSE(test.hasResult(1));
    test.worker.startFate = fake_worker::fate::answered;
    test.run(seconds(12));
    CHECK(test.resultOf(1) == run_outcome::stopped);
    CHECK(test.worker.started.empty());
}

TEST_CASE("an order that was carried out without an answer is stopped before it is reported")
{
    supervised_worker test;
    test.worker.startFate = fake_worker::fate::late;
    test.worker.lateBy = milliseconds(5);
    test.order(1, "job.0.0.0");
    test.run(milliseconds(600));
    CHECK(test.worker.started.size() == 1);
    CHECK(test.resultOf(1) == run_outcome::stopped);
    CHECK(test.worker.active().empty());
    CHECK(test.runningAtResult.task.empty());
}

TEST_CASE("a run whose stops all go unanswered is reported only after its order cannot begin any more")
{
    supervised_worker test;
    test.worker.startFate = fake_worker::fate::lost;
    test.worker.stopFate = fake_worker::fate::lost;
    test.order(1, "job.0.0.0");
    test.run(test.rules.workerLease);
    CHECK_FALSE(test.hasResult(1));
    test.run(milliseconds(400));
    CHECK(test.resultOf(1) == run_outcome::stopped);
}

TEST_CASE("room is never exceeded, and a run that is being stopped still counts")
{
    supervised_worker test;
    for (std::uint64_t sequence = 1; sequence <= 5; ++sequence) {
        test.order(sequence, "job.0.0." + std::to_string(sequence));
    }
    CHECK(test.resultOf(5) == run_outcome::no_room);
    test.run(milliseconds(50));
    test.worker.stopFate = fake_worker::fate::lost;
    test.supervisor->stop("entry#1", 1);
    test.order(6, "job.0.0.6");
    CHECK(test.resultOf(6) == run_outcome::no_room);
}

TEST_CASE("a worker that drains gets no new run")
{
    supervised_worker test;
    test.supervisor->takeReport(test.worker.report(true));
    test.order(1, "job.0.0.0");
    CHECK(test.resultOf(1) == run_outcome::closed);
    CHECK(test.supervisor->status().draining);
}

TEST_CASE("a worker that falls silent loses its runs only when its own slow clock has ended its lease")
{
    supervised_worker test(0.98);
    test.run(seconds(1));
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.renewalFate = fake_worker::fate::lost;
    test.worker.stopFate = fake_worker::fate::lost;
    while (!test.hasResult(1)) {
        test.run(supervised_worker::TICK);
        REQUIRE((test.hasResult(1) ? test.worker.active().empty() : true));
    }
    CHECK(test.resultOf(1) == run_outcome::lapsed);
    CHECK_FALSE(test.supervisor->isReady());
    test.worker.renewalFate = fake_worker::fate::answered;
    test.run(milliseconds(500));
    CHECK(test.supervisor->isReady());
}

TEST_CASE("a worker that falls silent loses its runs within the time that entries count on")
{
    supervised_worker test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.renewalFate = fake_worker::fate::lost;
    test.run(std::chrono::duration_cast<milliseconds>(test.rules.runsEndedAfter()));
    CHECK(test.resultOf(1) == run_outcome::lapsed);
}

TEST_CASE("another life of the worker ends the runs of the earlier one, whose late reports count for nothing")
{
    supervised_worker test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    const worker_report late = test.worker.report();
    test.worker.restart("worker-2");
    CHECK(test.supervisor->takeReport(test.worker.report()));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
    CHECK_FALSE(test.supervisor->takeReport(late));
    test.run(milliseconds(50));
    CHECK(test.supervisor->status().worker == "worker-2");
    CHECK(test.supervisor->isReady());
}

TEST_CASE("an answer from another life ends the runs before the new life has reported")
{
    supervised_worker test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.restart("worker-2");
    test.run(milliseconds(300));
    CHECK(test.resultOf(1) == run_outcome::worker_lost);
}

TEST_CASE("a new process of the agent stops what its predecessor started before it is ready")
{
    supervised_worker test;
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
    for (const fake_worker::fate renewal : {fake_worker::fate::answered, fake_worker::fate::late}) {
        supervised_worker test;
        test.order(1, "job.0.0.0");
        test.run(milliseconds(50));
        test.worker.stopFate = fake_worker::fate::lost;
        test.worker.renewalFate = renewal;
        test.restartSupervisor();
        test.run(test.rules.workerLease + milliseconds(100));
        CHECK(test.worker.active().empty());
        test.worker.renewalFate = fake_worker::fate::answered;
        test.run(milliseconds(400));
        CHECK(test.supervisor->isReady());
    }
}

TEST_CASE("a late order of an earlier process of the agent is fenced off")
{
    supervised_worker test;
    test.worker.startFate = fake_worker::fate::late;
    test.worker.lateBy = milliseconds(400);
    test.order(1, "job.0.0.0");
    test.restartSupervisor();
    test.run(seconds(1));
    CHECK(test.worker.started.empty());
}

TEST_CASE("a run whose stops are all lost ends with the lease, which is not renewed for the other runs either")
{
    supervised_worker test;
    test.order(1, "job.0.0.0");
    test.order(2, "job.0.0.1");
    test.run(milliseconds(50));
    test.worker.stopFate = fake_worker::fate::lost;
    test.supervisor->stop("entry#1", 1);
    constexpr milliseconds PATIENCE{150};
    test.run(PATIENCE + test.rules.workerLease + milliseconds(150));
    CHECK(test.worker.active().empty());
    CHECK(test.hasResult(1));
    test.run(milliseconds(200));
    CHECK(test.supervisor->isReady());
}

TEST_CASE("runs of an entry that is gone end within the lease that the worker has then, though all stops are lost")
{
    supervised_worker test;
    test.order(1, "job.0.0.0");
    test.run(milliseconds(50));
    test.worker.stopFate = fake_worker::fate::lost;
    test.supervisor->stopAll("entry#1");
    constexpr milliseconds SLACK{70};
    test.run(test.rules.workerLease + SLACK);
    CHECK(test.worker.active().empty());
}
