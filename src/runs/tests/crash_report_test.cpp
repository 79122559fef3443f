#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include "runs/run_agent.h"
#include "runs/tests/fake_worker.h"

using namespace azuremoor;
using azuremoor::testing::fake_worker;
using azuremoor::testing::virtual_time;

namespace
{

/// An agent with its worker and two entries in virtual time. All runs are those of the entry "one". Entries answer heartbeats, and record
/// the other messages.
class crash_fixture : public peer_outbox
{
public:
    crash_fixture()
        : worker(time)
        , journal(time)
        , agent(time, {}, worker, *this, journal, {"agent-1", member_role::agent, 7, "dc", ""})
    {
        agent.supervisor().handleReport(worker.report());
        connect("one");
        connect("two");
        run(milliseconds(150));
    }

    void send(const std::string &entry, message value) override
    {
        if (const auto *heartbeat = std::get_if<ping>(&value)) {
            agent.handleMessage(entry, pong{heartbeat->sentMicroseconds, 0, -1, {}, false});
        } else {
            received[entry].push_back(std::move(value));
        }
    }

    void connect(const std::string &entry)
    {
        agent.connectEntry({entry, member_role::entry, 1, "dc", ""});
    }

    void run(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += TICK) {
            time.run(TICK);
            agent.sendHeartbeats();
            agent.tick();
            agent.flush();
        }
    }

    void order(std::uint64_t sequence, const std::string &task, const std::string &queue = "queue", bool isWorkerAskedFirst = false)
    {
        run_order ordered{sequence, task, 1, "payload", {500, 64, 0}};
        ordered.queue = queue;
        ordered.isWorkerAskedFirst = isWorkerAskedFirst;
        agent.handleMessage("one", start_runs{worker.name, {ordered}});
        agent.flush();
    }

    /// Crashes the worker: its runs are gone, connections are refused for a while, and then another instance answers.
    void crash()
    {
        goDown();
        run(milliseconds(50));
        comeBack();
    }

    /// Ends the worker, so that its runs are gone and connections are refused.
    void goDown()
    {
        worker.restart("worker-" + std::to_string(++m_boots));
        deliver(fake_worker::order_delivery::refused);
    }

    /// Lets another instance answer after goDown(). Nobody is charged with a crash before it does.
    void comeBack()
    {
        const std::uint64_t crashesBefore = agent.crashCount();
        run(milliseconds(25));
        REQUIRE(agent.crashCount() == crashesBefore);
        deliver(fake_worker::order_delivery::answered);
        run(milliseconds(175));
    }

    /// Lets the worker answer again after a crash, and report.
    void recover()
    {
        deliver(fake_worker::order_delivery::answered);
        agent.supervisor().handleReport(worker.report());
        run(milliseconds(150));
    }

    /// Sets what becomes of all requests to the worker.
    void deliver(fake_worker::order_delivery delivery)
    {
        worker.startDelivery = delivery;
        worker.stopDelivery = delivery;
        worker.renewalDelivery = delivery;
    }

    /// Returns the crashes in this state that the entry was told.
    std::vector<crash_report> reportsTo(const std::string &entry, crash_state state = crash_state::proved) const
    {
        std::vector<crash_report> result;
        for (const message &each : messagesTo(entry)) {
            if (const auto *report = std::get_if<crash_report>(&each); report != nullptr && report->state == state) {
                result.push_back(*report);
            }
        }
        return result;
    }

    /// Returns the outcome of an order of the entry "one", as it was told.
    run_outcome outcomeOf(std::uint64_t sequence) const
    {
        for (const message &each : messagesTo("one")) {
            if (const auto *ended = std::get_if<run_results>(&each)) {
                const auto found = std::ranges::find(ended->results, sequence, &run_result::sequence);
                if (found != ended->results.end()) {
                    return found->outcome;
                }
            }
        }
        FAIL("no result");
        return run_outcome::closed;
    }

    const std::vector<message> &messagesTo(const std::string &entry) const
    {
        static const std::vector<message> none;
        const auto found = received.find(entry);
        return found == received.end() ? none : found->second;
    }

    static constexpr milliseconds TICK{25};
    virtual_time time;
    fake_worker worker;
    decision_journal journal;
    std::map<std::string, std::vector<message>> received;
    run_agent agent;

private:
    int m_boots = 1;
};

template<typename Message>
std::size_t positionOf(const std::vector<message> &messages)
{
    return std::ranges::find_if(messages, [](const message &each) { return std::holds_alternative<Message>(each); }) - messages.begin();
}

std::vector<std::string> tasksOf(const crash_report &report)
{
    std::vector<std::string> result;
    for (const crashed_run &run : report.runs) {
        result.push_back(run.task);
    }
    return result;
}

}

/// Guards against an entry that starts a lost run again elsewhere before it knows that the run may have crashed its worker.
TEST_CASE_FIXTURE(crash_fixture, "a crash is reported to all entries, before the results of its runs")
{
    order(1, "job.0.0.0", "deadly");
    run(milliseconds(100));
    order(2, "job.0.0.1", "other");
    run(milliseconds(50));
    received.clear();
    crash();
    CHECK(outcomeOf(1) == run_outcome::worker_lost);
    CHECK(outcomeOf(2) == run_outcome::worker_lost);
    CHECK(positionOf<crash_report>(messagesTo("one")) < positionOf<run_results>(messagesTo("one")));
    for (const std::string entry : {"one", "two"}) {
        REQUIRE(reportsTo(entry).size() == 1);
        const crash_report report = reportsTo(entry).front();
        CHECK(report.crash == "agent-1/7/1");
        // It was noticed with the first refusal, and proved when another instance was asked.
        CHECK(report.ageMilliseconds >= 50);
        CHECK(report.ageMilliseconds <= 200);
        REQUIRE(report.runs.size() == 2);
        CHECK(report.runs[0].task == "job.0.0.1");
        CHECK(report.runs[0].queue == "other");
        CHECK(report.runs[0].ageMilliseconds >= 50);
        CHECK(report.runs[0].ageMilliseconds <= 100);
        CHECK(report.runs[1].task == "job.0.0.0");
        CHECK(report.runs[1].queue == "deadly");
        CHECK(report.runs[1].ageMilliseconds == report.runs[0].ageMilliseconds + 100);
    }
    CHECK(agent.crashCount() == 1);
}

/// Guards against a crash that cannot be traced to its runs in the logs.
TEST_CASE_FIXTURE(crash_fixture, "the journal says which worker crashed, with how many runs and which one began last")
{
    order(1, "job.0.0.0");
    order(2, "job.0.0.1");
    run(milliseconds(50));
    crash();
    const auto entry = std::ranges::find(journal.entries(), "worker_crashed", &journal_entry::event);
    REQUIRE(entry != journal.entries().end());
    const std::map<std::string, std::string> fields(entry->fields.begin(), entry->fields.end());
    CHECK(fields.at("worker") == "worker-1");
    CHECK(fields.at("crash") == "agent-1/7/1");
    CHECK(fields.at("runs") == "2");
    CHECK(fields.at("youngest_task") == "job.0.0.0");
    CHECK(std::stoi(fields.at("youngest_age_ms")) >= 50);
    CHECK(fields.at("confirmed_runs") == "2");
    CHECK(fields.at("youngest_confirmed") == "yes");
    CHECK(std::stoi(fields.at("noticed_ms_ago")) >= 50);
    const auto refusal = std::ranges::find(journal.entries(), "worker_refuses", &journal_entry::event);
    REQUIRE(refusal != journal.entries().end());
    const std::map<std::string, std::string> refusalFields(refusal->fields.begin(), refusal->fields.end());
    CHECK(std::stoi(refusalFields.at("last_answer_ms")) <= 50);
    CHECK(refusalFields.at("crash_suspected") == "yes");
    CHECK(std::ranges::count(journal.entries(), "worker_lost", &journal_entry::event) == 1);
}

/// Guards against a crash that is put down to a task whose worker had crashed before the order reached it.
TEST_CASE_FIXTURE(crash_fixture, "the report says which runs the worker had confirmed")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    worker.startDelivery = fake_worker::order_delivery::lost;
    order(2, "job.0.0.1");
    crash();
    REQUIRE(reportsTo("one").size() == 1);
    const std::vector<crashed_run> runs = reportsTo("one").front().runs;
    REQUIRE(runs.size() == 2);
    CHECK(runs[0].start == start_evidence::none);
    CHECK(runs[1].start == start_evidence::confirmed);
}

/// Guards against an entry that starts a task again which has crashed workers, because it was not connected when they crashed.
TEST_CASE_FIXTURE(crash_fixture, "an entry that connects later gets all crashes with their ages, after the status")
{
    agent.disconnectEntry("two");
    for (std::uint64_t crashes = 1; crashes <= 2; ++crashes) {
        order(crashes, "job.0.0." + std::to_string(crashes));
        run(milliseconds(50));
        crash();
        recover();
    }
    run(seconds(2));
    received.clear();
    connect("two");
    CHECK(positionOf<worker_status>(messagesTo("two")) < positionOf<crash_report>(messagesTo("two")));
    const std::vector<crash_report> reports = reportsTo("two");
    REQUIRE(reports.size() == 2);
    CHECK(tasksOf(reports[0]) == std::vector<std::string>{"job.0.0.1"});
    CHECK(tasksOf(reports[1]) == std::vector<std::string>{"job.0.0.2"});
    CHECK(reports[0].crash != reports[1].crash);
    CHECK(reports[1].ageMilliseconds >= 2'000);
    CHECK(reports[0].ageMilliseconds > reports[1].ageMilliseconds);
    CHECK(reportsTo("one").empty());
}

/// Guards against a crash that is told to entries long after it was.
TEST_CASE_FIXTURE(crash_fixture, "an entry that connects long after a crash gets no report of it")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    crash();
    recover();
    run(crash_log::RETENTION);
    received.clear();
    connect("two");
    CHECK(reportsTo("two").empty());
}

/// Guards against a crash without a culprit: a stopped run may crash its worker before the stop arrives, one without an answer at any time.
TEST_CASE_FIXTURE(crash_fixture, "the report has the runs that were being stopped, and those whose start was not answered")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    worker.stopDelivery = fake_worker::order_delivery::lost;
    agent.handleMessage("one", stop_runs{{1}});
    worker.startDelivery = fake_worker::order_delivery::lost;
    order(2, "job.0.0.1");
    crash();
    REQUIRE(reportsTo("one").size() == 1);
    CHECK(tasksOf(reportsTo("one").front()) == std::vector<std::string>{"job.0.0.1", "job.0.0.0"});
}

/// Guards against a task that is charged with a crash after its run was stopped, before the worker could list the end.
TEST_CASE_FIXTURE(crash_fixture, "a run whose stop the worker has confirmed is not reported as begun")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    worker.renewalDelivery = fake_worker::order_delivery::lost;
    agent.handleMessage("one", stop_runs{{1}});
    time.run(milliseconds(1));
    crash();
    REQUIRE(reportsTo("one").size() == 1);
    CHECK(reportsTo("one").front().runs.front().start == start_evidence::none);
}

/// Guards against a task that is suspected because its start was refused by a host whose worker had crashed before.
TEST_CASE_FIXTURE(crash_fixture, "a run whose own start reached no worker is not in the report")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    deliver(fake_worker::order_delivery::refused);
    order(2, "job.0.0.1");
    time.run(milliseconds(1));
    agent.flush();
    CHECK(outcomeOf(2) == run_outcome::worker_lost);
    goDown();
    comeBack();
    REQUIRE(reportsTo("one").size() == 1);
    CHECK(tasksOf(reportsTo("one").front()) == std::vector<std::string>{"job.0.0.0"});
}

/// Guards against reports that only say that a worker without runs is gone.
TEST_CASE_FIXTURE(crash_fixture, "the crash of a worker without runs is not reported")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    worker.finish({"job.0.0.0", 1}, run_outcome::done);
    run(milliseconds(50));
    crash();
    CHECK(reportsTo("one").empty());
    CHECK(agent.crashCount() == 0);
}

/// Guards against a crash that goes unnoticed because another instance is there at once.
TEST_CASE_FIXTURE(crash_fixture, "a crash is reported when another instance answers, before or after its own report")
{
    for (const bool hasReported : {false, true}) {
        CAPTURE(hasReported);
        received.clear();
        order(hasReported ? 2 : 1, "job.0.0.0");
        run(milliseconds(50));
        worker.restart(hasReported ? "worker-3" : "worker-2");
        if (hasReported) {
            agent.supervisor().handleReport(worker.report());
        }
        run(milliseconds(150));
        CHECK(reportsTo("one").size() == 1);
        agent.supervisor().handleReport(worker.report());
        run(milliseconds(150));
    }
}

/// Guards against innocent tasks that are suspected because their worker was replaced as planned.
TEST_CASE_FIXTURE(crash_fixture, "a worker that drains, or has announced its departure, is not reported as crashed")
{
    SUBCASE("draining")
    {
        order(1, "job.0.0.0");
        run(milliseconds(50));
        agent.supervisor().handleReport(worker.report(true));
    }
    SUBCASE("departing")
    {
        order(1, "job.0.0.0");
        run(milliseconds(50));
        agent.supervisor().handleDeparture(worker.name);
    }
    crash();
    CHECK(outcomeOf(1) == run_outcome::worker_lost);
    CHECK(reportsTo("one").empty());
    CHECK(agent.crashCount() == 0);
}

/// Guards against a crash that is taken for a planned departure because somebody announced one before the worker reported again.
TEST_CASE_FIXTURE(crash_fixture, "a worker that has reported after its announced departure is reported when it crashes")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    agent.supervisor().handleDeparture(worker.name);
    agent.supervisor().handleReport(worker.report());
    crash();
    CHECK(reportsTo("one").size() == 1);
}

/// Guards against innocent tasks that are suspected because their worker, or the path to it, went silent.
TEST_CASE_FIXTURE(crash_fixture, "runs that end with the lease of a silent worker are not reported as lost in a crash")
{
    for (const fake_worker::order_delivery trouble : {fake_worker::order_delivery::lost, fake_worker::order_delivery::unsent}) {
        received.clear();
        order(trouble == fake_worker::order_delivery::lost ? 1 : 2, "job.0.0." + std::to_string(static_cast<int>(trouble)));
        run(milliseconds(50));
        deliver(trouble);
        run(seconds(1));
        CHECK(outcomeOf(trouble == fake_worker::order_delivery::lost ? 1 : 2) == run_outcome::worker_silent);
        // Another instance is there when the silence ends.
        worker.restart(trouble == fake_worker::order_delivery::lost ? "worker-2" : "worker-3");
        recover();
        recover();
        CHECK(agent.supervisor().isReady());
        CHECK(reportsTo("one").empty());
    }
}

/// Guards against innocent tasks that are suspected because a worker that had gone silent came back as another instance within its lease.
TEST_CASE_FIXTURE(crash_fixture, "a worker that was silent before another instance answered is not reported as crashed")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    deliver(fake_worker::order_delivery::lost);
    run(milliseconds(400));
    REQUIRE(agent.supervisor().runCount() == 1);
    worker.restart("worker-2");
    deliver(fake_worker::order_delivery::answered);
    run(milliseconds(100));
    CHECK(outcomeOf(1) == run_outcome::worker_lost);
    CHECK(reportsTo("one").empty());
}

/// Guards against innocent tasks that are suspected because they were stopped, failed, or lost their entry.
TEST_CASE_FIXTURE(crash_fixture, "runs that end on a live worker are not reported as lost in a crash")
{
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        order(sequence, "job.0.0." + std::to_string(sequence));
    }
    run(milliseconds(50));
    agent.handleMessage("one", stop_runs{{1}});
    worker.finish({"job.0.0.2", 1}, run_outcome::failed);
    run(milliseconds(100));
    CHECK(outcomeOf(1) == run_outcome::stopped);
    CHECK(outcomeOf(2) == run_outcome::failed);
    agent.disconnectEntry("one");
    run(seconds(1));
    CHECK(worker.active().empty());
    CHECK(reportsTo("two").empty());
    CHECK(agent.crashCount() == 0);
}

/// Guards against an order to a worker that has crashed at the same moment as another one, which is charged to the task as a crash.
TEST_CASE_FIXTURE(crash_fixture, "an order that asks a crashed worker first is not started, and is not in the report")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    goDown();
    order(2, "job.0.0.1", "queue", true);
    run(milliseconds(50));
    comeBack();
    REQUIRE(reportsTo("one").size() == 1);
    CHECK(tasksOf(reportsTo("one").front()) == std::vector<std::string>{"job.0.0.0"});
    CHECK(outcomeOf(2) == run_outcome::closed);
    CHECK(std::ranges::count(worker.started, run_key{"job.0.0.1", 1}) == 0);
}

/// Guards against a start that is held for good, or one that is sent before the worker has answered.
TEST_CASE_FIXTURE(crash_fixture, "an order that asks its worker first starts when the worker has answered")
{
    order(1, "job.0.0.0", "queue", true);
    CHECK(worker.active().empty());
    CHECK(agent.supervisor().runCount() == 1);
    time.run(milliseconds(1));
    CHECK(worker.active() == std::set<run_key>{{"job.0.0.0", 1}});
    run(milliseconds(50));
    worker.finish({"job.0.0.0", 1}, run_outcome::done);
    run(milliseconds(50));
    CHECK(outcomeOf(1) == run_outcome::done);
}

/// Guards against a task that crashes each worker before it can confirm the start, and is never charged for that.
TEST_CASE_FIXTURE(crash_fixture, "the report says that a worker without an answer to a start had answered just before it")
{
    worker.startDelivery = fake_worker::order_delivery::lost;
    order(1, "job.0.0.0", "queue", true);
    time.run(milliseconds(1));
    crash();
    REQUIRE(reportsTo("one").size() == 1);
    CHECK(reportsTo("one").front().runs.front().start == start_evidence::asked);
    CHECK(outcomeOf(1) == run_outcome::worker_lost);
}

/// Guards against a sound job that fails because its worker crashed between its last answer and the starts of two of its tasks, of which
/// the first was refused.
TEST_CASE_FIXTURE(crash_fixture, "a start that was sent after a refused one is not taken for one that reached its worker")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    std::vector<run_order> orders{{2, "job.0.0.1", 1, "payload", {500, 64, 0}}, {3, "job.0.0.2", 1, "payload", {500, 64, 0}}};
    for (run_order &each : orders) {
        each.isWorkerAskedFirst = true;
    }
    worker.startDelivery = fake_worker::order_delivery::refused;
    std::vector<std::string> expected{"job.0.0.0"};
    SUBCASE("it was refused, too")
    {
    }
    SUBCASE("it was not answered")
    {
        worker.startDeliveryByTask["job.0.0.2"] = fake_worker::order_delivery::lost;
        expected = {"job.0.0.2", "job.0.0.0"};
    }
    agent.handleMessage("one", start_runs{worker.name, orders});
    time.run(microseconds(100));
    goDown();
    comeBack();
    REQUIRE(reportsTo("one").size() == 1);
    const crash_report report = reportsTo("one").front();
    CHECK(tasksOf(report) == expected);
    CHECK(report.runs.front().start == (expected.size() == 2 ? start_evidence::none : start_evidence::confirmed));
    CHECK(report.runs.back().start == start_evidence::confirmed);
}

/// Guards against a run that begins after its entry was told that it never will, or after it was stopped.
TEST_CASE_FIXTURE(crash_fixture, "a start that is held is never sent if the worker does not answer, or the run is stopped before")
{
    SUBCASE("silent worker")
    {
        worker.renewalDelivery = fake_worker::order_delivery::lost;
        order(1, "job.0.0.0", "queue", true);
        run(milliseconds(200));
        CHECK(outcomeOf(1) == run_outcome::closed);
    }
    SUBCASE("stopped run")
    {
        order(1, "job.0.0.0", "queue", true);
        agent.handleMessage("one", stop_runs{{1}});
        run(milliseconds(100));
        CHECK(outcomeOf(1) == run_outcome::stopped);
    }
    SUBCASE("planned stop of the agent")
    {
        order(1, "job.0.0.0", "queue", true);
        agent.beginStop();
        run(milliseconds(100));
        CHECK(outcomeOf(1) == run_outcome::closed);
    }
    SUBCASE("lost entry")
    {
        order(1, "job.0.0.0", "queue", true);
        agent.connectEntry({"one", member_role::entry, 2, "dc", ""});
        run(milliseconds(100));
    }
    deliver(fake_worker::order_delivery::answered);
    run(milliseconds(300));
    CHECK(worker.started.empty());
    CHECK(agent.supervisor().runCount() == 0);
    CHECK(reportsTo("one").empty());
}

namespace
{

/// The worker states its boot, and starts again under its identifier without refusing a connection.
class reboot_crash_fixture : public crash_fixture
{
public:
    reboot_crash_fixture()
    {
        worker.boot = 1'000;
        agent.supervisor().handleReport(worker.report());
        run(milliseconds(150));
        agent.supervisor().handleReport(worker.report());
        run(milliseconds(100));
        REQUIRE(agent.supervisor().isReady());
        order(1, "job.0.0.0");
        run(milliseconds(50));
    }

    void reboot()
    {
        worker.restart(worker.name);
        worker.boot += 1'000;
    }
};

}

/// Guards against a crash that goes unnoticed because the next boot has the same identifier.
TEST_CASE_FIXTURE(reboot_crash_fixture, "a crash is reported when another boot answers under the same identifier, before the results")
{
    received.clear();
    reboot();
    run(milliseconds(150));
    CHECK(outcomeOf(1) == run_outcome::worker_lost);
    REQUIRE(reportsTo("two").size() == 1);
    CHECK(tasksOf(reportsTo("two").front()) == std::vector<std::string>{"job.0.0.0"});
    CHECK(positionOf<crash_report>(messagesTo("one")) < positionOf<run_results>(messagesTo("one")));
}

/// Guards against a task that is suspected although it runs on the next boot, which its start has reached.
TEST_CASE_FIXTURE(reboot_crash_fixture, "a run that goes on at the next boot is not reported as lost in the crash of the former one")
{
    reboot();
    order(2, "job.0.0.1");
    run(milliseconds(150));
    REQUIRE(worker.active() == std::set<run_key>{{"job.0.0.1", 1}});
    REQUIRE(reportsTo("one").size() == 1);
    CHECK(tasksOf(reportsTo("one").front()) == std::vector<std::string>{"job.0.0.0"});
}

/// Guards against innocent tasks that are suspected because their worker was restarted as planned, under the same identifier.
TEST_CASE_FIXTURE(reboot_crash_fixture, "another boot under the identifier of a worker that drained is not the sign of a crash")
{
    agent.supervisor().handleReport(worker.report(true));
    reboot();
    run(milliseconds(150));
    CHECK(outcomeOf(1) == run_outcome::worker_lost);
    CHECK(reportsTo("one").empty());
}

/// Guards against a task that is suspected of the crash of a former boot although it was ordered from the next one, and never began.
TEST_CASE_FIXTURE(reboot_crash_fixture, "a run that was ordered after the crash of a former boot is not reported as lost in it")
{
    reboot();
    run(milliseconds(150));
    agent.supervisor().handleReport(worker.report());
    run(milliseconds(100));
    REQUIRE(agent.supervisor().isReady());
    worker.startDelivery = fake_worker::order_delivery::lost;
    order(2, "job.0.0.1");
    run(milliseconds(500));
    CHECK(outcomeOf(2) == run_outcome::stopped);
    CHECK(reportsTo("one").size() == 1);
}

/// Guards against an innocent task that stays suspected because its worker was cut off, also at an entry that learns of it later.
TEST_CASE_FIXTURE(crash_fixture, "a suspicion is told at once, and withdrawn when the worker answers again")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    agent.disconnectEntry("two");
    // The run goes on through the first cut.
    for (const milliseconds cut : {milliseconds(100), milliseconds(3'000)}) {
        CAPTURE(cut.count());
        received.clear();
        deliver(fake_worker::order_delivery::refused);
        run(milliseconds(50));
        REQUIRE(reportsTo("one", crash_state::suspected).size() == 1);
        CHECK(tasksOf(reportsTo("one", crash_state::suspected).front()) == std::vector<std::string>{"job.0.0.0"});
        run(cut - milliseconds(50));
        CHECK(reportsTo("one", crash_state::withdrawn).empty());
        deliver(fake_worker::order_delivery::answered);
        run(milliseconds(200));
        REQUIRE(reportsTo("one", crash_state::withdrawn).size() == 1);
        CHECK(reportsTo("one", crash_state::withdrawn).front().crash == reportsTo("one", crash_state::suspected).front().crash);
        connect("two");
        CHECK(reportsTo("two", crash_state::suspected).empty());
        agent.disconnectEntry("two");
        received.clear();
        run(milliseconds(500));
        CHECK(reportsTo("one", crash_state::suspected).empty());
    }
    CHECK(reportsTo("one").empty());
    CHECK(agent.crashCount() == 0);
}

/// Guards against a crash that counts twice because it was suspected first.
TEST_CASE_FIXTURE(crash_fixture, "a crash is proved under the identifier with which it was suspected")
{
    order(1, "job.0.0.0");
    run(milliseconds(50));
    goDown();
    run(seconds(2));
    CHECK(outcomeOf(1) == run_outcome::lapsed);
    CHECK(reportsTo("one").empty());
    comeBack();
    REQUIRE(reportsTo("one").size() == 1);
    REQUIRE(reportsTo("one", crash_state::suspected).size() == 1);
    CHECK(reportsTo("one").front().crash == reportsTo("one", crash_state::suspected).front().crash);
    CHECK(tasksOf(reportsTo("one").front()) == std::vector<std::string>{"job.0.0.0"});
    CHECK(reportsTo("one").front().ageMilliseconds >= 2'000);
    CHECK(agent.crashCount() == 1);
}
