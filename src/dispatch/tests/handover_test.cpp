#include <doctest/doctest.h>

#include <ctime>

#include "dispatch/handover_codec.h"
#include "dispatch/tests/handover_fleet.h"
#include "messages/codec.h"

using namespace azuremoor;
using namespace azuremoor::testing;

namespace
{

handover_job shortJob(resource_shortage shortage = resource_shortage::share)
{
    return {shortage, false, false, 1e9, milliseconds(200)};
}

handover_peer idlePeer()
{
    handover_peer peer;
    peer.reportAge = milliseconds(100);
    peer.acceptsJobs = true;
    peer.hasSameRouting = true;
    peer.shareMilliCores = 100'000;
    peer.maxHandedWork = 0.5 * 100'000 * 100'000;
    return peer;
}

handover_fleet_settings settingsOf(std::size_t entries, const handover_policy *policy)
{
    handover_fleet_settings result;
    result.slowness = std::vector<double>(entries, 0);
    result.milliCoresPerWorker = 31'200;
    result.policy = policy;
    return result;
}

}

/// Guards against hops under normal load, second hops, and runs of one task at two entries.
TEST_CASE("handover policy: only jobs that lack a resource here, without orders and not taken from elsewhere, are candidates")
{
    const spare_time_handover policy;
    CHECK(policy.isCandidate(shortJob(resource_shortage::processor)));
    CHECK(policy.isCandidate(shortJob(resource_shortage::link)));
    CHECK(policy.isCandidate(shortJob(resource_shortage::stopping)));
    CHECK_FALSE(policy.isCandidate(shortJob(resource_shortage::none)));
    handover_job job = shortJob();
    job.hasOrders = true;
    CHECK_FALSE(policy.isCandidate(job));
    job = shortJob();
    job.isTaken = true;
    CHECK_FALSE(policy.isCandidate(job));
    job = shortJob();
    job.timeToStart = microseconds(0);
    CHECK_FALSE(policy.isCandidate(job));
}

/// Guards against jobs for entries that are short themselves, would start them too late, stop, or know another configuration.
TEST_CASE("handover policy: an entry gets a job only if it would start it in time by a fresh report")
{
    const spare_time_handover policy;
    const handover_job job = shortJob();
    CHECK(policy.canTake(idlePeer(), job));
    const auto changed = [&policy, &job](const std::function<void(handover_peer &)> &change) {
        handover_peer peer = idlePeer();
        change(peer);
        return policy.canTake(peer, job);
    };
    CHECK_FALSE(changed([](handover_peer &peer) { peer.reportAge = milliseconds(1001); }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.acceptsJobs = false; }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.hasSameRouting = false; }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.isShort = true; }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.processorDelay = milliseconds(20); }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.linkDelay = milliseconds(200); }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.waitingWork = 100'000 * 200'000.0; }));
    CHECK_FALSE(changed([](handover_peer &peer) { peer.shareMilliCores = 0; }));
    CHECK_FALSE(changed([](handover_peer &peer) {
        peer.linkDelay = milliseconds(100);
        peer.waitingWork = 100'000 * 100'000.0;
    }));
    CHECK(changed([](handover_peer &peer) { peer.processorDelay = milliseconds(19); }));
}

/// Guards against a rush of all entries to the one that reported least load.
TEST_CASE("handover policy: between two reports an entry gets half of what its share orders")
{
    const spare_time_handover policy;
    handover_peer peer = idlePeer();
    handover_job job = shortJob();
    const double limit = peer.maxHandedWork;
    peer.handedWork = limit - job.work;
    CHECK(policy.canTake(peer, job));
    peer.handedWork = limit - job.work + 1;
    CHECK_FALSE(policy.canTake(peer, job));
    // A job that is larger than that goes alone.
    job.work = 2 * limit;
    peer.handedWork = 0;
    CHECK(policy.canTake(peer, job));
}

TEST_CASE("handover: the receiver runs the job, and the origin relays the answer")
{
    chosen_handover policy;
    handover_fleet fleet(settingsOf(2, &policy));
    policy.isChosen = true;
    fleet.submit(0, "job", 3, milliseconds(100));
    fleet.run(milliseconds(300));
    CHECK(fleet.job("job").answer == answer_kind::completed);
    CHECK(fleet.job("job").answeredAt < fleet.job("job").objective);
    CHECK(fleet.ordersOf(0) == 0);
    CHECK(fleet.ordersOf(1) == 3);
    CHECK(fleet.sentMessages("job_handover") == 1);
    CHECK(fleet.sentMessages("handover_answer") == 1);
    CHECK(fleet.receiver(1).counters().taken == 1);
}

/// Guards against decisions that change where handover is switched off.
TEST_CASE("handover: nothing is handed over when it is off")
{
    chosen_handover policy;
    policy.isChosen = true;
    handover_fleet_settings settings = settingsOf(2, &policy);
    settings.isHandoverOn = false;
    handover_fleet fleet(settings);
    fleet.submit(0, "job", 3, milliseconds(100));
    fleet.run(milliseconds(300));
    CHECK(fleet.job("job").answer == answer_kind::completed);
    CHECK(fleet.sentMessages("job_handover") == 0);
    CHECK(fleet.ordersOf(0) == 3);
}

/// Guards against a caller that is refused although its own entry can serve it.
TEST_CASE("handover: a job that the receiver refuses is decided at the origin at once")
{
    chosen_handover policy;
    handover_fleet fleet(settingsOf(2, &policy));
    // The receiver stops within 10 s, and its report does not say so.
    fleet.stop(1);
    fleet.reportInstead(1, [](entry_load load) {
        load.acceptsJobs = true;
        return load;
    });
    fleet.run(milliseconds(300));
    policy.isChosen = true;
    fleet.submit(0, "job", 2, seconds(6), seconds(20));
    fleet.run(milliseconds(20));
    CHECK(fleet.origin(0).counters().refused == 1);
    CHECK(fleet.origin(0).awaitedJobs() == 0);
    CHECK(fleet.ordersOf(0) == 2);
    CHECK(fleet.sentMessages("job_handover") == 1);
}

TEST_CASE("handover: a resubmission to the origin joins the job that was handed over")
{
    chosen_handover policy;
    handover_fleet fleet(settingsOf(2, &policy));
    policy.isChosen = true;
    fleet.submit(0, "job", 2, milliseconds(400));
    fleet.run(milliseconds(50));
    fleet.submit(0, "job", 2, milliseconds(400));
    fleet.run(milliseconds(600));
    CHECK(fleet.sentMessages("job_handover") == 1);
    CHECK(fleet.ordersOf(1) == 2);
    CHECK(fleet.job("job").answer == answer_kind::completed);
}

/// Guards against a caller's job at the receiver that ends with the origin which has nothing to do with this caller.
TEST_CASE("handover: a caller that joins the job at the receiver gets its answer although the origin is lost")
{
    chosen_handover policy;
    handover_fleet fleet(settingsOf(2, &policy));
    policy.isChosen = true;
    fleet.submit(0, "job", 2, milliseconds(800), seconds(4));
    fleet.run(milliseconds(50));
    policy.isChosen = false;
    fleet.submit(1, "job", 2, milliseconds(800), seconds(4));
    fleet.run(milliseconds(10));
    fleet.kill(0, true);
    fleet.run(seconds(4));
    CHECK(fleet.job("job").answer == answer_kind::completed);
    CHECK(fleet.mostConcurrentRuns() == 1);
}

TEST_CASE("handover: the end of a caller's connection ends the job at the receiver")
{
    chosen_handover policy;
    handover_fleet fleet(settingsOf(2, &policy));
    policy.isChosen = true;
    fleet.submit(0, "job", 2, milliseconds(800));
    fleet.run(milliseconds(50));
    REQUIRE(fleet.activeRuns("job") == 2);
    fleet.abandon(0, "job");
    fleet.run(milliseconds(20));
    CHECK(fleet.activeRuns("job") == 0);
    CHECK(fleet.origin(0).awaitedJobs() == 0);
}

/// Guards against the refusal of admitted jobs by an entry that stops, and against a second run of those that have begun.
TEST_CASE("handover: an entry that stops hands over the jobs that have not begun")
{
    handover_fleet_settings settings = settingsOf(2, nullptr);
    settings.agents = 1;
    settings.milliCoresPerWorker = 24'000;
    handover_fleet fleet(settings);
    fleet.submit(0, "first", 10, milliseconds(400));
    fleet.run(milliseconds(10));
    fleet.submit(0, "second", 1, milliseconds(700));
    fleet.run(milliseconds(5));
    REQUIRE(fleet.activeRuns("first") == 10);
    REQUIRE(fleet.activeRuns("second") == 0);
    fleet.stop(0);
    fleet.run(milliseconds(60));
    CHECK(fleet.receiver(1).counters().taken == 1);
    fleet.run(seconds(2));
    CHECK(fleet.job("first").answer == answer_kind::completed);
    CHECK(fleet.job("second").answer == answer_kind::completed);
    CHECK(fleet.ordersOf(0) == 10);
    CHECK(fleet.ordersOf(1) >= 1);
    CHECK(fleet.mostConcurrentRuns() == 1);
}

/// Guards against an entry whose false report draws all jobs of the others.
TEST_CASE("handover: false reports draw a bounded number of jobs, and no refusal")
{
    handover_fleet_settings settings = settingsOf(3, nullptr);
    settings.milliCoresPerWorker = 24'000;
    handover_fleet fleet(settings);
    // The entry claims a huge share and no load, but has another configuration in force by the time a job arrives.
    fleet.reportInstead(1, [](entry_load load) {
        load.askedMilliCores = ~std::uint64_t(0);
        load.waiting.clear();
        load.processorDelayMicroseconds = 0;
        load.linkDelayMicroseconds = 0;
        load.acceptsJobs = true;
        return load;
    });
    fleet.run(seconds(1));
    for (int job = 0; job < 300; ++job) {
        fleet.submit(0, "job" + std::to_string(job), 2, milliseconds(100));
    }
    fleet.run(milliseconds(5));
    // Twice 24,000 thousandths of a core for three entries; at most four times that share, and half of 100 ms of it, is 3,200 core-ms,
    // and a job has 480.
    CHECK(fleet.receiver(1).counters().taken + fleet.receiver(1).counters().refused <= 8);
    fleet.run(seconds(3));
    CHECK(fleet.mostConcurrentRuns() == 1);
    CHECK(fleet.totals().other == 0);
}

/// Guards against reports of nonsense: infinite delays and no rate at all.
TEST_CASE("handover: an entry that reports the largest delays gets nothing")
{
    handover_fleet_settings settings = settingsOf(2, nullptr);
    settings.milliCoresPerWorker = 4800;
    handover_fleet fleet(settings);
    fleet.reportInstead(1, [](entry_load load) {
        load.processorDelayMicroseconds = ~std::uint32_t(0);
        load.waiting = {{0, ~std::uint64_t(0)}};
        return load;
    });
    fleet.run(seconds(1));
    for (int job = 0; job < 50; ++job) {
        fleet.submit(0, "job" + std::to_string(job), 2, milliseconds(100));
    }
    fleet.run(seconds(2));
    CHECK(fleet.totals().refused > 0);
    CHECK(fleet.sentMessages("job_handover") == 0);
}

/// Prints what a job costs the origin and the receiver, in messages and processor time of this machine, against serving it.
TEST_CASE("handover: handing a job over costs the origin fewer messages and less processor time than serving it")
{
    constexpr int JOBS = 2000;
    constexpr std::uint32_t TASKS = 8;
    job_spec spec;
    spec.id = "5c0e7a21d94b36f8";
    spec.payload = std::string(1000, 'x');
    step_spec step;
    step.count = TASKS;
    step.shape = {2400, 64, 0};
    step.estimate = milliseconds(60);
    spec.steps = {step};
    route jobRoute;
    jobRoute.name = "queue";
    jobRoute.service = "desk";
    jobRoute.slackFactor = 1.6;
    jobRoute.targetLatency = milliseconds(60);

    /// Encodes what is sent and counts it, as a connection does.
    class counting_outbox : public peer_outbox, public answer_sink
    {
    public:
        void send(const std::string &peer, message value) override
        {
            ++messages;
            bytes += encodeMessage(value).size();
            sent.emplace_back(peer, std::move(value));
        }

        void answerRequest(std::uint64_t, const job_answer &) override
        {
            ++answers;
        }

        std::size_t messages = 0;
        std::size_t bytes = 0;
        int answers = 0;
        std::vector<std::pair<std::string, message>> sent;
    };

    const auto measure = [&](bool isHandedOver) {
        virtual_time time;
        decision_journal journal(time);
        counting_outbox outbox;
        worker_pool pool(time, {}, outbox, journal);
        earliest_completion_placement placement(time, "dc", 1, 1);
        const fair_share_admission admission;
        const progress_straggler_policy stragglers;
        local_load localLoad;
        entry_load_table loads(time);
        route_table routes;
        routes.replace({1, {jobRoute}});
        job_dispatcher dispatcher(time, pool, placement, admission, stragglers, localLoad, outbox, journal);
        const spare_time_handover policy;
        handover_origin origin(time, loads, pool, routes, policy, dispatcher, outbox, journal, 1);
        pool.setListener(dispatcher);
        dispatcher.setForwarder(origin);
        for (int agent = 0; agent < 16; ++agent) {
            const std::string name = "agent-" + std::to_string(agent);
            pool.connectAgent({name, member_role::agent, 1, "dc", ""});
            worker_status status;
            status.ready = true;
            status.worker = name;
            status.service = "desk";
            status.capacity = {32'000, 64'000, 0};
            status.free = status.capacity;
            pool.updateStatus(name, status);
            pool.recordHeartbeat(name, {});
        }
        for (int entry = 0; entry < 8; ++entry) {
            const std::string name = "entry-" + std::to_string(entry);
            loads.connectEntry(name);
            origin.connectEntry(name);
        }
        std::map<std::string, std::uint64_t> results;
        outbox = {};
        std::clock_t used = 0;
        for (int job = 0; job < JOBS; ++job) {
            time.run(milliseconds(10));
            for (int entry = 0; entry < 8; ++entry) {
                const std::string name = "entry-" + std::to_string(entry);
                entry_heartbeat heartbeat{1, {}, 1};
                heartbeat.load.acceptsJobs = true;
                loads.record(name, heartbeat.load);
                origin.recordHeartbeat(name, heartbeat);
            }
            for (const auto &[agent, worker] : pool.workers()) {
                pool.recordHeartbeat(agent, {});
            }
            if (job == 0) {
                origin.sendLeases();
            }
            spec.id = "job" + std::to_string(job);
            // The read delay of a request that is handed over is that of a busy processor.
            const steady_time arrival = time.steadyNow() - (isHandedOver ? milliseconds(60) : milliseconds(0));
            outbox.sent.clear();
            const std::clock_t begin = std::clock();
            dispatcher.submit(job + 1, spec, jobRoute, arrival, arrival + seconds(2));
            dispatcher.placeWaitingTasks();
            const auto sent = std::exchange(outbox.sent, {});
            for (const auto &[peer, value] : sent) {
                if (const auto *handover = std::get_if<job_handover>(&value)) {
                    origin.handleAnswer(peer, handover_answer{handover->number, handover_answer_kind::completed, "", 0});
                } else if (const auto *orders = std::get_if<start_runs>(&value)) {
                    for (const run_order &order : orders->orders) {
                        pool.receiveResults(peer, {++results[peer], {{order.sequence, run_outcome::done}}});
                        pool.updateFreeCapacity(peer, {{32'000, 64'000, 0}, order.sequence, {}});
                        dispatcher.placeWaitingTasks();
                    }
                }
            }
            used += std::clock() - begin;
        }
        CHECK(outbox.answers == JOBS);
        const double microsecondsPerJob = static_cast<double>(used) * 1e6 / CLOCKS_PER_SEC / JOBS;
        MESSAGE(std::string(isHandedOver ? "handing over" : "serving")
                << ": " << microsecondsPerJob << " us of processor time, " << static_cast<double>(outbox.messages) / JOBS
                << " messages and " << outbox.bytes / JOBS << " bytes sent for each job of " << TASKS << " tasks");
        return std::pair(microsecondsPerJob, outbox.messages);
    };
    const auto [servingTime, servingMessages] = measure(false);
    const auto [handingTime, handingMessages] = measure(true);
    CHECK(handingTime < servingTime);
    CHECK(handingMessages < servingMessages);
}
