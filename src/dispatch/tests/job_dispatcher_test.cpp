#include <doctest/doctest.h>

#include "dispatch/job_dispatcher.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

/// Counts how often a worker is looked for.
class counting_placement : public earliest_completion_placement
{
public:
    using earliest_completion_placement::earliest_completion_placement;

    pooled_worker *chooseWorker(worker_pool &pool, const placement_request &request) override
    {
        ++searches;
        return earliest_completion_placement::chooseWorker(pool, request);
    }

    std::size_t searches = 0;
};

/// Takes the jobs of an entry that stops, and never returns one.
class accepting_forwarder : public job_forwarder
{
public:
    bool offer(const active_job &, resource_shortage shortage, steady_time) override
    {
        const bool isTaken = shortage == resource_shortage::stopping;
        offered += isTaken ? 1 : 0;
        return isTaken;
    }

    std::string withdraw(std::uint64_t) override
    {
        return {};
    }

    std::size_t offered = 0;
};

/// Callers of whom some have left.
class fake_presence : public caller_presence
{
public:
    bool hasLeft(std::uint64_t request) const override
    {
        return left.contains(request);
    }

    std::set<std::uint64_t> left;
};

/// A dispatcher and its worker pool. Records the messages to agents and the answers.
class dispatcher_fixture : public peer_outbox, public answer_sink
{
public:
    explicit dispatcher_fixture(processor_budget *processor = nullptr)
        : journal(time)
        , pool(time, {}, *this, journal)
        , placement(time, "dc", 1.5, 1)
        , dispatcher(time, pool, placement, admission, stragglers, localLoad, *this, journal, nullptr, nullptr, nullptr, processor)
    {
        pool.setListener(dispatcher);
        jobRoute.name = "queue";
        jobRoute.service = "desk";
        jobRoute.maxAttempts = 2;
        jobRoute.slackFactor = 1.6;
        jobRoute.targetLatency = milliseconds(60);
    }

    void send(const std::string &peer, message value) override
    {
        if (const auto *orders = std::get_if<start_runs>(&value)) {
            for (const run_order &order : orders->orders) {
                orderedRuns.emplace_back(peer, order);
                orderTimes.push_back(orders->agentMicroseconds);
            }
        } else if (const auto *stops = std::get_if<stop_runs>(&value)) {
            stopped.insert(stopped.end(), stops->sequences.begin(), stops->sequences.end());
        } else if (const auto *capacityDemand = std::get_if<room_wish>(&value)) {
            demands.push_back(*capacityDemand);
        } else if (const auto *received = std::get_if<run_results_received>(&value)) {
            acknowledged.push_back(received->lastNumber);
        }
    }

    void answerRequest(std::uint64_t request, const job_answer &answer) override
    {
        REQUIRE_FALSE(answers.contains(request));
        answers[request] = answer;
    }

    void addWorker(const std::string &agent, std::uint32_t milliCores = 4000, std::uint64_t incarnation = 1)
    {
        pool.connectAgent({agent, member_role::agent, incarnation, "dc", ""});
        worker_status status;
        status.ready = true;
        status.worker = agent + "-worker";
        status.service = "desk";
        status.labels = {"a", "r1"};
        status.capacity = {milliCores, 4096, 0};
        status.free = status.capacity;
        pool.updateStatus(agent, status);
    }

    void heartbeat()
    {
        for (const auto &[agent, worker] : pool.workers()) {
            pool.recordHeartbeat(agent, ping{time.steadyNow().time_since_epoch().count(), 0});
        }
    }

    void submit(std::uint64_t request, const std::string &id, std::uint32_t tasks = 1, milliseconds estimate = milliseconds(100))
    {
        job_spec spec;
        spec.id = id;
        step_spec step;
        step.count = tasks;
        step.shape = {1000, 64, 0};
        step.estimate = estimate;
        spec.steps = {step};
        submit(request, spec);
    }

    void submit(std::uint64_t request, const job_spec &spec)
    {
        dispatcher.submit(request, spec, jobRoute, time.steadyNow(), time.steadyNow() + seconds(2));
        dispatcher.placeWaitingTasks();
    }

    /// Reports the outcome of the run at the position in the list of all orders.
    void reportRunEnd(std::size_t position, run_outcome outcome)
    {
        const auto &[agent, order] = orderedRuns.at(position);
        pool.receiveResults(agent, {++m_results[agent], {{order.sequence, outcome}}});
        dispatcher.placeWaitingTasks();
    }

    void advanceTime(milliseconds duration)
    {
        time.run(duration);
        heartbeat();
        pool.tick();
        dispatcher.tick();
        dispatcher.placeWaitingTasks();
    }

    /// Repeats the latest status of the agent's worker, with the progress of one run.
    void reportProgress(const std::string &agent, std::uint64_t sequence, std::uint8_t percent)
    {
        worker_status status = pool.workers().at(agent).status;
        status.appliedOrder = sequence;
        status.progress = {{sequence, percent}};
        pool.updateStatus(agent, status);
    }

    virtual_time time;
    decision_journal journal;
    worker_pool pool;
    counting_placement placement;
    fair_share_admission admission;
    progress_straggler_policy stragglers;
    local_load localLoad;
    job_dispatcher dispatcher;
    route jobRoute;
    std::vector<std::pair<std::string, run_order>> orderedRuns;
    /// Times on the agents' clocks that the orders carried.
    std::vector<std::int64_t> orderTimes;
    std::vector<std::uint64_t> stopped;
    std::vector<room_wish> demands;
    std::vector<std::uint64_t> acknowledged;
    std::map<std::uint64_t, job_answer> answers;

private:
    std::map<std::string, std::uint64_t> m_results;
};

}

TEST_CASE("a job is answered once all of its tasks are done")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job", 2);
    REQUIRE(test.orderedRuns.size() == 2);
    test.reportRunEnd(0, run_outcome::done);
    CHECK(test.answers.empty());
    test.reportRunEnd(1, run_outcome::done);
    CHECK(test.answers.at(1).kind == answer_kind::completed);
    CHECK(test.dispatcher.activeJobs() == 0);
}

TEST_CASE("a step waits for the steps that it depends on")
{
    dispatcher_fixture test;
    test.addWorker("one");
    job_spec spec;
    spec.id = "job";
    step_spec step;
    step.shape = {1000, 64, 0};
    step.estimate = milliseconds(50);
    spec.steps = {step, step};
    spec.steps[1].dependsOn = {0};
    test.submit(1, spec);
    REQUIRE(test.orderedRuns.size() == 1);
    CHECK(test.orderedRuns[0].second.task == "job.0.0.0");
    test.reportRunEnd(0, run_outcome::done);
    REQUIRE(test.orderedRuns.size() == 2);
    CHECK(test.orderedRuns[1].second.task == "job.0.1.0");
}

TEST_CASE("a failed run is repeated on another worker with a higher number, and the job fails after the last attempt")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.addWorker("two");
    test.submit(1, "job");
    test.reportRunEnd(0, run_outcome::failed);
    REQUIRE(test.orderedRuns.size() == 2);
    CHECK(test.orderedRuns[1].first != test.orderedRuns[0].first);
    CHECK(test.orderedRuns[1].second.number == 2);
    test.reportRunEnd(1, run_outcome::failed);
    CHECK(test.answers.at(1).kind == answer_kind::failed);
}

TEST_CASE("a run that never began is repeated without counting as an attempt")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    for (std::size_t round = 0; round < 5; ++round) {
        test.reportRunEnd(round, run_outcome::no_room);
    }
    CHECK(test.answers.empty());
    test.reportRunEnd(5, run_outcome::done);
    CHECK(test.answers.at(1).kind == answer_kind::completed);
}

TEST_CASE("after a stale run number the next run skips to a much higher one")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.reportRunEnd(0, run_outcome::stale_number);
    CHECK(test.orderedRuns.at(1).second.number > 100);
}

TEST_CASE("a silent agent gets no new runs, and its runs are repeated only when they have certainly ended")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.addWorker("two");
    const agent_timeouts timeouts;
    test.time.run(timeouts.runsEndedAfter - milliseconds(1));
    test.pool.recordHeartbeat("two", {});
    test.pool.tick();
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 1);
    test.time.run(milliseconds(1));
    test.pool.recordHeartbeat("two", {});
    test.pool.tick();
    test.dispatcher.placeWaitingTasks();
    REQUIRE(test.orderedRuns.size() == 2);
    CHECK(test.orderedRuns[1].first == "two");
}

/// Guards against a sound job that is shown as failed because agents were paused or cut off, or paused so long that the leases of their
/// workers ended: neither says anything of the worker under a task.
TEST_CASE("a job is not given up because agents fall silent, or because leases end on workers that answer")
{
    for (const bool areAgentsSilent : {false, true}) {
        CAPTURE(areAgentsSilent);
        dispatcher_fixture test;
        test.addWorker("one");
        test.addWorker("two");
        step_spec step;
        step.shape = {1000, 64, 0};
        step.estimate = milliseconds(100);
        job_spec spec;
        spec.id = "job";
        spec.steps = {step};
        test.dispatcher.submit(1, spec, test.jobRoute, test.time.steadyNow(), test.time.steadyNow() + seconds(60));
        test.dispatcher.placeWaitingTasks();
        for (std::size_t run = 1; run <= 6; ++run) {
            REQUIRE(test.orderedRuns.size() == run);
            if (areAgentsSilent) {
                test.time.run(agent_timeouts().runsEndedAfter);
                test.pool.recordHeartbeat(test.orderedRuns.back().first == "one" ? "two" : "one", {});
                test.pool.tick();
            } else {
                test.reportRunEnd(run - 1, run_outcome::lapsed);
            }
            test.heartbeat();
            test.dispatcher.placeWaitingTasks();
        }
        CHECK(test.answers.empty());
    }
}

/// Guards against a task that takes one worker after the other because a worker that falls silent under it is reported by nobody.
TEST_CASE("a job is given up when four workers have fallen silent under runs of one task")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.addWorker("two");
    test.submit(1, "job");
    for (std::size_t run = 1; run <= 4; ++run) {
        CHECK(test.answers.empty());
        REQUIRE(test.orderedRuns.size() == run);
        test.reportRunEnd(run - 1, run_outcome::worker_silent);
    }
    REQUIRE(test.answers.contains(1));
    CHECK(test.answers[1].kind == answer_kind::failed);
    CHECK(test.orderedRuns.size() == 4);
}

TEST_CASE("runs of an agent's earlier process have ended once its new process reports that it is ready")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.pool.disconnectAgent("one");
    test.pool.connectAgent({"one", member_role::agent, 2, "dc", ""});
    worker_status status;
    test.pool.updateStatus("one", status);
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 1);
    test.addWorker("one", 4000, 2);
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 2);
}

/// Guards against runs that are started again because the restarted agent is ready, while their worker, which is another one, goes on.
TEST_CASE("runs of an agent's earlier process go on until their lease ends if its new process has another worker")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.pool.disconnectAgent("one");
    test.pool.connectAgent({"one", member_role::agent, 2, "dc", ""});
    worker_status status = test.pool.workers().at("one").status;
    status.ready = true;
    status.worker = "other-worker";
    status.service = "desk";
    status.labels = {"a", "r1"};
    status.capacity = {4000, 4096, 0};
    status.free = status.capacity;
    test.pool.updateStatus("one", status);
    const agent_timeouts timeouts;
    test.advanceTime(std::chrono::duration_cast<milliseconds>(timeouts.runsEndedAfter) - milliseconds(1));
    CHECK(test.orderedRuns.size() == 1);
    test.advanceTime(milliseconds(1));
    CHECK(test.orderedRuns.size() == 2);
}

/// Guards against runs that are started again because the late introduction of a dead process of their agent was followed by another one
/// of the live process.
TEST_CASE("runs of a live agent go on when a late introduction of an earlier process of it arrives between two of its own")
{
    dispatcher_fixture test;
    test.addWorker("one", 4000, 2);
    test.submit(1, "job");
    REQUIRE(test.orderedRuns.size() == 1);
    worker_status status = test.pool.workers().at("one").status;
    status.appliedOrder = 1;
    test.pool.disconnectAgent("one");
    test.pool.connectAgent({"one", member_role::agent, 1, "dc", ""});
    test.pool.disconnectAgent("one");
    test.pool.connectAgent({"one", member_role::agent, 2, "dc", ""});
    test.pool.updateStatus("one", status);
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 1);
    const agent_timeouts timeouts;
    for (microseconds passed{0}; passed < timeouts.runsEndedAfter; passed += milliseconds(100)) {
        test.advanceTime(milliseconds(100));
    }
    CHECK(test.orderedRuns.size() == 1);
    test.reportRunEnd(0, run_outcome::done);
    CHECK(test.answers.at(1).kind == answer_kind::completed);
}

/// Guards against runs without a caller that go on because their stop was lost with a connection.
TEST_CASE("a stop that was lost with a connection is sent again on the next one, and the job is not begun before its runs have ended")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    worker_status status = test.pool.workers().at("one").status;
    status.appliedOrder = 1;
    test.pool.disconnectAgent("one");
    test.dispatcher.abandonRequest(1);
    test.dispatcher.placeWaitingTasks();
    test.stopped.clear();
    test.pool.connectAgent({"one", member_role::agent, 1, "dc", ""});
    test.pool.updateStatus("one", status);
    test.dispatcher.placeWaitingTasks();
    CHECK(test.stopped == std::vector<std::uint64_t>{1});
    test.submit(2, "job");
    CHECK(test.answers.at(2).kind == answer_kind::refused_unavailable);
    CHECK(test.orderedRuns.size() == 1);
}

TEST_CASE("orders that were lost with a connection are repeated on the next one")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.pool.disconnectAgent("one");
    test.addWorker("one");
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 2);
}

TEST_CASE("an abandoned job has its runs stopped, and a resubmission is refused until they have ended")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job", 2);
    test.dispatcher.abandonRequest(1);
    test.dispatcher.placeWaitingTasks();
    CHECK(test.stopped.size() == 2);
    test.submit(2, "job", 2);
    CHECK(test.answers.at(2).kind == answer_kind::refused_unavailable);
    test.reportRunEnd(0, run_outcome::stopped);
    test.reportRunEnd(1, run_outcome::stopped);
    CHECK(test.dispatcher.activeJobs() == 0);
    test.submit(3, "job", 2);
    CHECK(test.orderedRuns.size() == 4);
}

TEST_CASE("a resubmission joins the active job and gets the same answer")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.submit(2, "job");
    CHECK(test.orderedRuns.size() == 1);
    test.reportRunEnd(0, run_outcome::done);
    CHECK(test.answers.at(1).kind == answer_kind::completed);
    CHECK(test.answers.at(2).kind == answer_kind::completed);
}

/// Guards against orders for a caller whose reset waits to be handled, while the caller has sent the job again to another entry.
TEST_CASE("a job that waited is not begun when its caller has left")
{
    dispatcher_fixture test;
    fake_presence callers;
    test.dispatcher.setCallerPresence(callers);
    test.dispatcher.setWorkersExpectedUntil(test.time.steadyNow() + seconds(1));
    test.submit(1, "left");
    test.submit(2, "joined");
    test.submit(3, "joined");
    callers.left = {1, 2};
    test.time.run(milliseconds(5));
    test.addWorker("one");
    test.dispatcher.placeWaitingTasks();
    REQUIRE(test.orderedRuns.size() == 1);
    CHECK(test.orderedRuns.front().second.task == "joined.0.0.0");
    test.dispatcher.abandonRequest(1);
    CHECK(test.dispatcher.activeJobs() == 1);
}

/// Guards against a submission that is answered by runs of a service to which the configuration in force no longer sends its queue, or by
/// another queue's job of the same identifier.
TEST_CASE("a resubmission after a change of its queue does not join the job of the earlier configuration")
{
    for (std::string route::*changed : {&route::service, &route::name}) {
        dispatcher_fixture test;
        test.addWorker("one");
        test.submit(1, "job");
        test.jobRoute.version = 2;
        test.jobRoute.*changed += "-new";
        test.submit(2, "job");
        REQUIRE(test.answers.contains(2));
        CHECK(test.answers.at(2).kind == answer_kind::refused_unavailable);
        CHECK(test.answers.at(2).retryAt > test.time.steadyNow());
        CHECK(test.orderedRuns.size() == 1);
        test.reportRunEnd(0, run_outcome::done);
        CHECK(test.answers.at(1).kind == answer_kind::completed);
    }
}

/// Guards against refusing resubmissions at each change of the configuration, most of which concern other queues.
TEST_CASE("a resubmission after a change of other queues joins the active job")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    test.jobRoute.version = 2;
    test.submit(2, "job");
    test.reportRunEnd(0, run_outcome::done);
    CHECK(test.orderedRuns.size() == 1);
    CHECK(test.answers.at(2).kind == answer_kind::completed);
}

// Guards against callers that wait for nothing, and against a refusal of callers who have time for the work that waits.
TEST_CASE("burst: jobs that cannot be done while their callers wait are refused immediately with a retry time, and never start")
{
    dispatcher_fixture test;
    test.addWorker("one");
    for (std::uint64_t request = 1; request <= 40; ++request) {
        test.submit(request, "job" + std::to_string(request), 4);
    }
    const auto refused = std::count_if(
        test.answers.begin(), test.answers.end(), [](const auto &entry) { return entry.second.kind == answer_kind::refused_full; });
    // The worker takes 100 ms for each job and the callers wait for 2 s, of which a fifth is a reserve.
    CHECK(refused >= 20);
    CHECK(refused <= 25);
    for (const auto &[request, answer] : test.answers) {
        CHECK(answer.retryAt > test.time.steadyNow());
        for (const auto &[agent, order] : test.orderedRuns) {
            CHECK_FALSE(order.task.starts_with("job" + std::to_string(request) + "."));
        }
    }
}

TEST_CASE("no job is refused while there is free capacity")
{
    dispatcher_fixture test;
    test.addWorker("one", 40'000);
    for (std::uint64_t request = 1; request <= 10; ++request) {
        test.submit(request, "job" + std::to_string(request), 4);
    }
    CHECK(test.answers.empty());
    CHECK(test.orderedRuns.size() == 40);
}

// Guards against refused callers who return and make the entry believe that more is asked of it, so that all others wait for less.
TEST_CASE("burst: a refused job that its caller submits again is no more demand than the first time")
{
    dispatcher_fixture test;
    test.addWorker("one");
    for (std::uint64_t request = 1; request <= 40; ++request) {
        test.submit(request, "job" + std::to_string(request), 4);
    }
    REQUIRE(test.answers.contains(40));
    const double asked = test.localLoad.askedMilliCores(test.time.steadyNow());
    test.submit(41, "job40", 4);
    CHECK(test.answers.at(41).kind == answer_kind::refused_full);
    CHECK(test.localLoad.askedMilliCores(test.time.steadyNow()) == doctest::Approx(asked));
    test.submit(42, "new", 4);
    CHECK(test.localLoad.askedMilliCores(test.time.steadyNow()) > asked);
}

TEST_CASE("short and long jobs: a short job starts before a long one that arrived earlier")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "full", 4, milliseconds(100));
    test.submit(2, "long", 1, milliseconds(900));
    test.submit(3, "short", 1, milliseconds(60));
    REQUIRE(test.orderedRuns.size() == 4);
    // The result frees the capacity of the run.
    test.reportRunEnd(0, run_outcome::done);
    REQUIRE(test.orderedRuns.size() == 5);
    CHECK(test.orderedRuns[4].second.task == "short.0.0.0");
}

TEST_CASE("gray failures: a worker that fails its runs gets fewer than the other workers")
{
    dispatcher_fixture test;
    test.jobRoute.maxAttempts = 100;
    test.addWorker("bad", 8000);
    test.addWorker("good", 400'000);
    int runsOnBad = 0;
    for (std::uint64_t request = 1; request <= 100; ++request) {
        const std::size_t first = test.orderedRuns.size();
        test.submit(request, "job" + std::to_string(request));
        for (std::size_t position = first; position < test.orderedRuns.size(); ++position) {
            const bool isBad = test.orderedRuns[position].first == "bad";
            runsOnBad += isBad ? 1 : 0;
            test.reportRunEnd(position, isBad ? run_outcome::failed : run_outcome::done);
        }
        test.advanceTime(milliseconds(5));
    }
    CHECK(runsOnBad <= 10);
}

TEST_CASE("impossible jobs: a job that no worker can run fails immediately")
{
    dispatcher_fixture test;
    test.addWorker("one", 500);
    test.submit(1, "job");
    CHECK(test.answers.at(1).kind == answer_kind::failed);
    CHECK(test.orderedRuns.empty());
}

TEST_CASE("without any worker, a job is refused as unavailable")
{
    dispatcher_fixture test;
    test.submit(1, "job");
    CHECK(test.answers.at(1).kind == answer_kind::refused_unavailable);
}

TEST_CASE("a durable job is refused as unavailable")
{
    dispatcher_fixture test;
    test.addWorker("one");
    job_spec spec;
    spec.id = "job";
    spec.isDurable = true;
    spec.steps.resize(1);
    test.submit(1, spec);
    CHECK(test.answers.at(1).kind == answer_kind::refused_unavailable);
}

TEST_CASE("a job expires at its deadline and its runs are stopped")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job");
    for (int round = 0; round < 21; ++round) {
        test.advanceTime(milliseconds(100));
    }
    CHECK(test.answers.at(1).kind == answer_kind::expired);
    CHECK(test.stopped.size() == 1);
}

TEST_CASE("an entry that shuts down admits only jobs that can be done in time")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.dispatcher.beginShutdown(test.time.steadyNow() + seconds(1));
    test.submit(1, "short", 1, milliseconds(60));
    test.submit(2, "long", 1, milliseconds(900));
    CHECK(test.orderedRuns.size() == 1);
    CHECK(test.answers.at(2).kind == answer_kind::refused_unavailable);
}

TEST_CASE("no worker runs more tasks of a step than the step allows")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.addWorker("two");
    job_spec spec;
    spec.id = "job";
    step_spec step;
    step.count = 3;
    step.shape = {1000, 64, 0};
    step.estimate = milliseconds(500);
    step.maxTasksPerWorker = 1;
    spec.steps = {step};
    test.submit(1, spec);
    REQUIRE(test.orderedRuns.size() == 2);
    CHECK(test.orderedRuns[0].first != test.orderedRuns[1].first);
}

TEST_CASE("stalled runs: a run without progress is stopped, and repeated on another worker only after it has ended")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job", 1, milliseconds(900));
    test.addWorker("two");
    for (int round = 0; round < 10 && test.stopped.empty(); ++round) {
        test.reportProgress("one", 1, 7);
        test.advanceTime(milliseconds(50));
    }
    CHECK(test.stopped.size() == 1);
    CHECK(test.orderedRuns.size() == 1);
    test.reportRunEnd(0, run_outcome::stopped);
    REQUIRE(test.orderedRuns.size() == 2);
    CHECK(test.orderedRuns[1].first == "two");
}

TEST_CASE("stalled runs: a run that makes progress, or whose agent is silent, is not stopped")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "job", 1, milliseconds(900));
    test.addWorker("two");
    for (std::uint8_t round = 0; round < 16; ++round) {
        test.reportProgress("one", 1, 5 * round);
        test.advanceTime(milliseconds(50));
    }
    test.advanceTime(milliseconds(600));
    CHECK(test.stopped.empty());
}

TEST_CASE("slow worker: long runs are moved when another worker is expected to finish them sooner")
{
    dispatcher_fixture test;
    test.addWorker("slow", 100'000);
    for (std::uint64_t request = 1; request <= 12; ++request) {
        test.submit(request, "job" + std::to_string(request), 1, milliseconds(900));
    }
    test.addWorker("good", 100'000);
    test.addWorker("other", 100'000);
    test.time.run(milliseconds(100));
    for (std::uint64_t sequence = 1; sequence <= 12; ++sequence) {
        // 3 % after 100 ms make about 3.3 s for a run with an estimate of 0.9 s.
        test.reportProgress("slow", sequence, 3);
    }
    test.advanceTime(milliseconds(60));
    for (std::uint64_t sequence = 1; sequence <= 12; ++sequence) {
        test.reportProgress("slow", sequence, 4);
    }
    test.advanceTime(milliseconds(10));
    CHECK(test.stopped.size() == 12);
}

TEST_CASE("burst: a job that can still start in time goes before a late one")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "full", 4, milliseconds(400));
    test.submit(2, "old", 1, milliseconds(400));
    REQUIRE(test.orderedRuns.size() == 4);
    // This is after the latest start of the waiting job, but before its latency objective.
    for (int round = 0; round < 8; ++round) {
        test.advanceTime(milliseconds(50));
    }
    test.submit(3, "fresh", 1, milliseconds(400));
    test.reportRunEnd(0, run_outcome::done);
    REQUIRE(test.orderedRuns.size() == 5);
    CHECK(test.orderedRuns[4].second.task == "fresh.0.0.0");
    CHECK_FALSE(test.answers.contains(2));
}

// Guards against a refusal while the caller has time for the work that is left, and against one that comes when it has none.
TEST_CASE("burst: a job is refused when it can no longer be done for its caller, and not when it misses its latency objective")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "full", 4, milliseconds(400));
    test.submit(2, "old", 1, milliseconds(400));
    for (int round = 0; round < 28; ++round) {
        test.advanceTime(milliseconds(50));
    }
    CHECK_FALSE(test.answers.contains(2));
    // The caller waits for 2 s, and the run takes 440 ms with its reserve.
    for (int round = 0; round < 3; ++round) {
        test.advanceTime(milliseconds(50));
    }
    CHECK(test.answers.at(2).kind == answer_kind::refused_full);
    CHECK(test.answers.at(2).retryAt > test.time.steadyNow());
    CHECK(test.orderedRuns.size() == 4);
}

TEST_CASE("an average rate decays exponentially")
{
    decaying_rate rate(milliseconds(100));
    const steady_time now{seconds(1)};
    rate.add(1000, now);
    CHECK(rate.perMicrosecond(now) == doctest::Approx(0.01));
    CHECK(rate.perMicrosecond(now + milliseconds(100)) < 0.004);
    CHECK(rate.perMicrosecond(now + seconds(2)) < 0.0001);
}

TEST_CASE("slow worker: it gets only a trial task at each interval while other workers are healthy")
{
    dispatcher_fixture test;
    test.addWorker("slow", 100'000);
    test.addWorker("good", 4000);
    test.addWorker("other", 4000);
    for (int sample = 0; sample < 40; ++sample) {
        test.pool.workers().at("slow").performance.recordSpeed(milliseconds(100), milliseconds(700));
    }
    test.submit(1, "first", 20, milliseconds(400));
    const auto onSlow = [&test] {
        return std::count_if(test.orderedRuns.begin(), test.orderedRuns.end(), [](const auto &start) { return start.first == "slow"; });
    };
    CHECK(test.orderedRuns.size() == 9);
    CHECK(onSlow() == 1);
    test.advanceTime(milliseconds(200));
    CHECK(onSlow() == 1);
    test.advanceTime(milliseconds(250));
    CHECK(onSlow() == 2);
}

TEST_CASE("gray failures: no worker is quarantined when all fail equally often")
{
    dispatcher_fixture test;
    test.jobRoute.maxAttempts = 100;
    test.addWorker("one", 4000);
    test.addWorker("two", 4000);
    for (int failure = 0; failure < 10; ++failure) {
        for (auto &[agent, worker] : test.pool.workers()) {
            worker.performance.recordFailure(test.time.steadyNow());
        }
    }
    test.submit(1, "job", 8, milliseconds(400));
    CHECK(test.orderedRuns.size() == 8);
}

TEST_CASE("burst: a job whose orders were all refused has not started, and is refused when it can no longer be done for its caller")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "full", 4, milliseconds(400));
    test.time.run(milliseconds(1));
    test.addWorker("two", 1000);
    test.submit(2, "old", 1, milliseconds(400));
    REQUIRE(test.orderedRuns.size() == 5);
    // Another entry has used the free capacity in the meantime.
    worker_status status = test.pool.workers().at("two").status;
    status.free = {};
    status.appliedOrder = 1;
    test.pool.updateStatus("two", status);
    test.reportRunEnd(4, run_outcome::no_room);
    for (int round = 0; round < 32; ++round) {
        test.advanceTime(milliseconds(50));
    }
    CHECK(test.answers.at(2).kind == answer_kind::refused_full);
    CHECK(test.orderedRuns.size() == 5);
}

TEST_CASE("results of an agent that dropped its session and numbers them from 1 again are accepted")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "first");
    test.reportRunEnd(0, run_outcome::done);
    REQUIRE(test.answers.contains(1));
    test.pool.disconnectAgent("one");
    test.addWorker("one");
    test.submit(2, "second");
    REQUIRE(test.orderedRuns.size() == 2);
    test.pool.receiveResults("one", {1, {{test.orderedRuns[1].second.sequence, run_outcome::done}}});
    CHECK(test.answers.contains(2));
}

TEST_CASE("an entry that terminates answers all jobs as expired and stops their runs")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "running", 1, milliseconds(100));
    test.submit(2, "waiting", 5, milliseconds(100));
    test.dispatcher.expireAllJobs();
    CHECK(test.answers.at(1).kind == answer_kind::expired);
    CHECK(test.answers.at(2).kind == answer_kind::expired);
    CHECK(test.stopped.size() == test.orderedRuns.size());
}

TEST_CASE("agents are told the demand of waiting tasks, and later that there is none")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "first", 4);
    CHECK(test.demands.empty());
    test.submit(2, "second", 2, milliseconds(10));
    REQUIRE(test.demands.size() == 1);
    CHECK(test.demands[0].milliCores == 2000);
    CHECK(test.demands[0].smallestMilliCores == 1000);
    test.advanceTime(milliseconds(5));
    CHECK(test.demands.size() == 1);
    for (std::size_t position = 0; position < 4; ++position) {
        test.reportRunEnd(position, run_outcome::done);
    }
    worker_status status = test.pool.workers().at("one").status;
    test.pool.updateFreeCapacity("one", {status.capacity, 4, {}});
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 6);
    for (int tick = 0; tick < 20; ++tick) {
        test.advanceTime(milliseconds(20));
    }
    REQUIRE(test.demands.size() == 2);
    CHECK(test.demands[1].milliCores == 0);
}

TEST_CASE("an update of free capacity is used immediately, and ignored before the first status")
{
    dispatcher_fixture test;
    test.pool.connectAgent({"early", member_role::agent, 1, "dc", ""});
    test.pool.updateFreeCapacity("early", {{4000, 4096, 0}, 0, {}});
    CHECK(test.pool.workers().at("early").status.free.milliCores == 0);
    test.addWorker("one", 1000);
    test.submit(1, "first");
    test.submit(2, "second", 1, milliseconds(10));
    REQUIRE(test.orderedRuns.size() == 1);
    test.pool.updateFreeCapacity("one", {{1000, 4096, 0}, 1, {}});
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 2);
}

TEST_CASE("a stop request that was lost with its connection is repeated on the next one")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "first");
    REQUIRE(test.orderedRuns.size() == 1);
    test.pool.disconnectAgent("one");
    test.dispatcher.abandonRequest(1);
    test.pool.flush();
    const std::size_t before = test.stopped.size();
    test.pool.connectAgent({"one", member_role::agent, 1, "dc", ""});
    worker_status status = test.pool.workers().at("one").status;
    status.appliedOrder = 1;
    test.pool.updateStatus("one", status);
    test.pool.flush();
    CHECK(test.stopped.size() == before + 1);
}

TEST_CASE("results are acknowledged with the next heartbeat, and again on a new connection")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.submit(1, "first", 3);
    test.reportRunEnd(0, run_outcome::done);
    test.reportRunEnd(1, run_outcome::done);
    CHECK(test.acknowledged.empty());
    test.heartbeat();
    test.heartbeat();
    CHECK(test.acknowledged == std::vector<std::uint64_t>{2});
    test.pool.disconnectAgent("one");
    test.pool.connectAgent({"one", member_role::agent, 1, "dc", ""});
    test.heartbeat();
    CHECK(test.acknowledged == std::vector<std::uint64_t>{2, 2});
}

// Guards against newcomers that keep an admitted job waiting until it is too late for its caller.
TEST_CASE("a job that would keep an admitted one from being done for its caller is refused, and the admitted one is not")
{
    dispatcher_fixture test;
    test.addWorker("one", 1000);
    test.submit(1, "running", 1, milliseconds(200));
    // Must start within 1,100 ms, less the reserve, and is expected to start in 800 ms.
    test.submit(2, "admitted", 1, milliseconds(800));
    CHECK(test.answers.empty());
    test.submit(3, "urgent", 1, milliseconds(700));
    REQUIRE(test.answers.contains(3));
    CHECK(test.answers.at(3).kind == answer_kind::refused_full);
    CHECK_FALSE(test.answers.contains(2));
}

// Guards against an entry with a full fleet that spends its processor on looking for workers again at each message of an agent.
TEST_CASE("full fleet: messages that bring no capacity start no search for a worker, and those that do place a task")
{
    dispatcher_fixture test;
    test.addWorker("one", 1000);
    test.addWorker("two", 1000);
    test.submit(1, "running", 2, milliseconds(400));
    REQUIRE(test.orderedRuns.size() == 2);
    for (std::uint64_t request = 2; request < 8; ++request) {
        test.submit(request, "waiting" + std::to_string(request), 1, milliseconds(100));
    }
    const std::size_t searchesBefore = test.placement.searches;
    for (int update = 0; update < 50; ++update) {
        test.pool.updateFreeCapacity(update % 2 == 0 ? "one" : "two", {{0, 4000, 0}, 1, {}});
        test.dispatcher.placeWaitingTasks();
    }
    CHECK(test.placement.searches == searchesBefore);
    REQUIRE(test.orderedRuns.size() == 2);

    test.pool.updateFreeCapacity("two", {{1000, 4000, 0}, 1, {}});
    test.dispatcher.placeWaitingTasks();
    CHECK(test.orderedRuns.size() == 3);
    CHECK(test.orderedRuns.back().first == "two");
}

// Guards against a job that is taken for tried, and left waiting beside free capacity, although the search ended before its turn.
TEST_CASE("full fleet: a job behind many that cannot be placed is tried when its turn comes")
{
    constexpr std::uint64_t LARGE_JOBS = 12;
    dispatcher_fixture test;
    test.addWorker("one", 4000);
    test.submit(1, "running", 4, milliseconds(900));
    test.addWorker("two", 1000);
    job_spec large;
    step_spec wholeWorker;
    wholeWorker.count = 1;
    wholeWorker.shape = {4000, 64, 0};
    wholeWorker.estimate = milliseconds(4);
    large.steps = {wholeWorker};
    for (std::uint64_t request = 2; request < 2 + LARGE_JOBS; ++request) {
        large.id = "large" + std::to_string(request);
        test.submit(request, large);
    }
    test.submit(100, "small", 1, milliseconds(100));
    REQUIRE(test.answers.empty());
    REQUIRE(test.orderedRuns.size() == 4);

    test.dispatcher.cancel("queue", "large2");
    test.pool.updateFreeCapacity("one", {{0, 4000, 0}, 4, {}});
    test.dispatcher.placeWaitingTasks();
    REQUIRE(test.orderedRuns.size() == 5);
    CHECK(test.orderedRuns.back().first == "two");
}

/// Guards against orders to an idle worker that its agent refuses because the entry's lease has ended meanwhile, and against a lease that
/// an order extends beyond the time until which the entry counts the run as possibly under way.
TEST_CASE("idle worker: an order renews the entry's lease, and the run counts as ended only after that lease")
{
    dispatcher_fixture test;
    test.addWorker("one");
    const std::int64_t agentClock = 5'000'000;
    test.pool.recordHeartbeat("one", ping{agentClock, 0});
    test.time.run(milliseconds(400));
    test.submit(1, "job");
    REQUIRE(test.orderedRuns.size() == 1);
    // 400 ms on a clock that may be 2% slower.
    CHECK(test.orderTimes.back() == agentClock + 392'000);

    // The agent is lost: it gets no more orders after the time in which a heartbeat had to come.
    test.time.run(milliseconds(349));
    test.submit(2, "second");
    CHECK(test.orderedRuns.size() == 2);
    CHECK(test.orderTimes.back() == agentClock + 392'000);
    test.time.run(milliseconds(2));
    test.submit(3, "third");
    CHECK(test.orderedRuns.size() == 2);

    const agent_timeouts timeouts;
    test.time.run(std::chrono::duration_cast<milliseconds>(timeouts.runsEndedAfter) - milliseconds(352));
    test.pool.tick();
    CHECK(test.pool.workers().at("one").runs.size() == 2);
    test.time.run(milliseconds(2));
    test.pool.tick();
    CHECK(test.pool.workers().at("one").runs.empty());
}

TEST_CASE("idle worker: it gets no orders once its less frequent heartbeats are missing")
{
    dispatcher_fixture test;
    test.addWorker("one");
    test.pool.recordHeartbeat("one", ping{5'000'000, 0});
    test.time.run(milliseconds(649));
    CHECK(test.pool.isUsable(test.pool.workers().at("one")));
    test.time.run(milliseconds(2));
    CHECK_FALSE(test.pool.isUsable(test.pool.workers().at("one")));
}

// Guards deployments with --processor-admission off against another admission: there the read delay alone decides.
TEST_CASE("a processor budget refuses a job that waited a little to be read, and without one it is admitted")
{
    constexpr milliseconds READ_DELAY{5};
    for (const bool hasBudget : {false, true}) {
        processor_budget processor;
        dispatcher_fixture test(hasBudget ? &processor : nullptr);
        test.addWorker("agent");
        for (std::uint64_t request = 1; request <= 100; ++request) {
            processor.recordRequest(test.time.steadyNow() - READ_DELAY, test.time.steadyNow());
            test.time.run(milliseconds(1));
        }
        test.heartbeat();
        processor.recordAdmission(1000);
        job_spec spec;
        spec.id = "job";
        step_spec step;
        step.shape = {1000, 64, 0};
        step.estimate = milliseconds(100);
        spec.steps = {step};
        const steady_time now = test.time.steadyNow();
        test.dispatcher.submit(1, spec, test.jobRoute, now - READ_DELAY, now + seconds(2));
        test.dispatcher.placeWaitingTasks();
        CAPTURE(hasBudget);
        CHECK(test.answers.contains(1) == hasBudget);
        CHECK(test.dispatcher.refusals().processor == (hasBudget ? 1 : 0));
        CHECK(test.orderedRuns.size() == (hasBudget ? 0 : 1));
    }
}

// The next four name the load after a loss of power: callers are there before the agents have connected to an entry that has just started.
// Guards against a refusal although the workers connect in time for the job.
TEST_CASE("start of an entry: a job that arrives before the first agent waits for it, and runs although it is late by then")
{
    dispatcher_fixture test;
    test.dispatcher.setWorkersExpectedUntil(test.time.steadyNow() + seconds(1));
    test.submit(1, "job");
    for (int step = 0; step < 5; ++step) {
        test.advanceTime(milliseconds(100));
    }
    CHECK_FALSE(test.answers.contains(1));
    test.addWorker("agent");
    test.advanceTime(milliseconds(1));
    REQUIRE(test.orderedRuns.size() == 1);
    test.reportRunEnd(0, run_outcome::done);
    REQUIRE(test.answers.contains(1));
    CHECK(test.answers.at(1).kind == answer_kind::completed);
}

// Guards against a job that is kept until its deadline when no worker connects.
TEST_CASE("start of an entry: a job without a worker is refused as soon as none is expected any more")
{
    dispatcher_fixture test;
    test.dispatcher.setWorkersExpectedUntil(test.time.steadyNow() + seconds(1));
    test.submit(1, "job");
    test.advanceTime(milliseconds(999));
    CHECK_FALSE(test.answers.contains(1));
    test.advanceTime(milliseconds(1));
    REQUIRE(test.answers.contains(1));
    CHECK(test.answers.at(1).kind == answer_kind::refused_unavailable);
    test.submit(2, "later");
    REQUIRE(test.answers.contains(2));
    CHECK(test.answers.at(2).kind == answer_kind::refused_unavailable);
}

// Guards against "no worker can run it" while only the agents of smaller workers have connected.
TEST_CASE("start of an entry: a job too large for the first workers waits for a larger one")
{
    dispatcher_fixture test;
    test.dispatcher.setWorkersExpectedUntil(test.time.steadyNow() + seconds(1));
    test.addWorker("small", 500);
    test.heartbeat();
    test.submit(1, "job");
    CHECK_FALSE(test.answers.contains(1));
    test.addWorker("large");
    test.advanceTime(milliseconds(1));
    REQUIRE(test.orderedRuns.size() == 1);
    CHECK(test.orderedRuns.front().first == "large");
}

// Guards deployments without the setting against another answer.
TEST_CASE("start of an entry: without a time to wait, a job without a worker is refused at once")
{
    dispatcher_fixture test;
    test.submit(1, "job");
    REQUIRE(test.answers.contains(1));
    CHECK(test.answers.at(1).kind == answer_kind::refused_unavailable);
}

// Guards against a refusal by this entry of a job that another entry may run already.
TEST_CASE("start of an entry: a waiting job that was handed over is not refused at the end of the wait")
{
    dispatcher_fixture test;
    accepting_forwarder forwarder;
    test.dispatcher.setForwarder(forwarder);
    test.dispatcher.setWorkersExpectedUntil(test.time.steadyNow() + seconds(1));
    test.submit(1, "job");
    test.dispatcher.beginShutdown(test.time.steadyNow() + seconds(10));
    test.advanceTime(milliseconds(100));
    CHECK(forwarder.offered == 1);
    test.advanceTime(milliseconds(1000));
    CHECK_FALSE(test.answers.contains(1));
}
