#include "dispatch/tests/crash_fleet.h"

#include <algorithm>
#include <utility>

namespace azuremoor::testing
{

namespace
{

constexpr microseconds MESSAGE_DELAY = milliseconds(1);
constexpr microseconds TICK_INTERVAL = milliseconds(15);
constexpr task_shape WORKER_CAPACITY{4000, 4096, 0};
constexpr task_shape TASK_SHAPE{500, 64, 0};
/// Number of workers that may crash under a task before it must not be started again.
constexpr std::size_t CRASH_BUDGET = 3;

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

}

/// The decisions of one entry. Passes messages to agents on with a delay.
class crash_fleet::entry_process : public peer_outbox, public answer_sink
{
public:
    entry_process(crash_fleet &fleet, std::size_t number)
        : m_fleet(fleet)
        , m_placement(fleet.time, "dc", 1, number + 1)
        , m_number(number)
        , pool(fleet.time, {}, *this, fleet.journal)
        , guard(fleet.time, pool, fleet.journal)
        , dispatcher(fleet.time, pool, m_placement, m_admission, m_stragglers, m_localLoad, *this, fleet.journal)
    {
        pool.setListener(dispatcher);
        dispatcher.setCrashGuard(guard);
    }

    void send(const std::string &peer, message value) override
    {
        const auto agent = std::ranges::find(m_fleet.m_agents, peer, &agent_state::name);
        m_fleet.time.after(MESSAGE_DELAY, [this, agent, value = std::move(value)] { m_fleet.receive(m_number, *agent, value); });
    }

    void answerRequest(std::uint64_t request, const job_answer &answer) override
    {
        m_fleet.m_answers[request] = answer;
    }

private:
    crash_fleet &m_fleet;
    earliest_completion_placement m_placement;
    fair_share_admission m_admission;
    progress_straggler_policy m_stragglers;
    local_load m_localLoad;
    std::size_t m_number;

public:
    worker_pool pool;
    crash_guard guard;
    job_dispatcher dispatcher;
    bool isAlive = true;
};

crash_fleet::crash_fleet(std::size_t entryCount, std::size_t workerCount)
    : journal(time)
{
    for (std::size_t worker = 0; worker < workerCount; ++worker) {
        agent_state agent;
        agent.name = "agent" + std::to_string(worker);
        m_agents.push_back(std::move(agent));
    }
    for (std::size_t number = 0; number < entryCount; ++number) {
        m_entries.push_back(std::make_unique<entry_process>(*this, number));
        for (const agent_state &agent : m_agents) {
            m_entries.back()->pool.connectAgent({agent.name, member_role::agent, 1, "dc", ""});
        }
    }
    for (agent_state &agent : m_agents) {
        sendStatus(agent);
    }
    tick();
    run(milliseconds(20));
}

crash_fleet::~crash_fleet() = default;

void crash_fleet::submit(std::size_t entry, const std::string &id, task_behaviour behaviour, std::uint32_t tasks, const std::string &queue)
{
    m_behaviours[id] = behaviour;
    m_requests[id] = m_nextRequest;
    route jobRoute;
    jobRoute.name = queue;
    jobRoute.service = "desk";
    jobRoute.slackFactor = 3;
    jobRoute.targetLatency = seconds(2);
    job_spec spec;
    spec.id = id;
    step_spec step;
    step.count = tasks;
    step.shape = TASK_SHAPE;
    step.estimate = behaviour.duration;
    spec.steps = {step};
    m_entries[entry]->dispatcher.submit(m_nextRequest++, spec, jobRoute, time.steadyNow(), time.steadyNow() + seconds(20));
    m_entries[entry]->dispatcher.placeWaitingTasks();
}

void crash_fleet::crashWorker(std::size_t worker)
{
    crash(m_agents[worker]);
}

void crash_fleet::crashWorkers(std::size_t count, milliseconds noticeInterval)
{
    for (std::size_t worker = 0; worker < count; ++worker) {
        crash(m_agents[worker], noticeInterval * static_cast<std::int64_t>(worker + 1));
    }
}

void crash_fleet::killEntry(std::size_t entry)
{
    m_entries[entry]->isAlive = false;
}

void crash_fleet::restartEntry(std::size_t entry)
{
    m_endedEntries.push_back(std::exchange(m_entries[entry], std::make_unique<entry_process>(*this, entry)));
    for (agent_state &agent : m_agents) {
        m_entries[entry]->pool.connectAgent({agent.name, member_role::agent, 1, "dc", ""});
        std::erase_if(agent.runs, [entry](const active_run &run) { return run.entry == entry; });
        agent.appliedOrder[entry] = 0;
        agent.results[entry] = 0;
        sendStatus(agent);
    }
    for (const noticed_crash &crash : m_crashes) {
        crash_report report = crash.report;
        const auto age = std::chrono::duration_cast<milliseconds>(time.steadyNow() - crash.at);
        report.ageMilliseconds = static_cast<std::uint32_t>(age.count());
        time.after(MESSAGE_DELAY, [this, entry, agent = crash.agent, report] { m_entries[entry]->guard.recordCrash(agent, report); });
    }
}

void crash_fleet::run(microseconds duration)
{
    time.run(duration);
}

std::optional<job_answer> crash_fleet::answerOf(const std::string &id) const
{
    const auto found = m_answers.find(m_requests.at(id));
    return found == m_answers.end() ? std::nullopt : std::optional(found->second);
}

std::size_t crash_fleet::crashesUnder(const std::string &id) const
{
    const auto found = m_crashesByJob.find(id);
    return found == m_crashesByJob.end() ? 0 : found->second.size();
}

std::size_t crash_fleet::workersUp() const
{
    return std::ranges::count_if(m_agents, &agent_state::isUp);
}

const std::set<std::string> &crash_fleet::startsOverBudget() const
{
    return m_startsOverBudget;
}

void crash_fleet::receive(std::size_t from, agent_state &agent, const message &value)
{
    if (const auto *orders = std::get_if<start_runs>(&value)) {
        for (const run_order &order : orders->orders) {
            agent.appliedOrder[from] = order.sequence;
            start(from, agent, orders->worker, order);
        }
    } else if (const auto *stops = std::get_if<stop_runs>(&value)) {
        for (const std::uint64_t sequence : stops->sequences) {
            endRun(agent, from, sequence, run_outcome::stopped);
        }
    }
}

void crash_fleet::start(std::size_t from, agent_state &agent, const std::string &worker, const run_order &order)
{
    if (agent.isKnownDown || worker != agent.name + '-' + std::to_string(agent.instance)) {
        sendResult(agent, from, order.sequence, run_outcome::closed);
        return;
    }
    if (!agent.isUp) {
        agent.runs.push_back(
            {from, order.sequence, order.task, order.queue, time.steadyNow(), order.isWorkerAskedFirst, start_evidence::none});
        return;
    }
    if (m_crashesByTask[order.task] >= CRASH_BUDGET) {
        m_startsOverBudget.insert(order.task);
    }
    if (isAtWorkElsewhere(order.task, agent)) {
        m_startsBesideRuns.insert(order.task);
    }
    agentsByQueue[order.queue].insert(agent.name);
    const task_behaviour &behaviour = m_behaviours.at(jobOf(order.task));
    const start_evidence unconfirmed = order.isWorkerAskedFirst ? start_evidence::asked : start_evidence::none;
    const start_evidence evidence = behaviour.isConfirmed ? start_evidence::confirmed : unconfirmed;
    agent.runs.push_back({from, order.sequence, order.task, order.queue, time.steadyNow(), false, evidence});
    if (const auto cut = m_cutsByTask.find(order.task); cut != m_cutsByTask.end() && cut->second.times > 0) {
        --cut->second.times;
        const auto number = static_cast<std::size_t>(&agent - m_agents.data());
        time.after(milliseconds(20), [this, number, duration = cut->second.duration] { cutOff(number, duration); });
    }
    const bool isDeadly = behaviour.crashesAfter > milliseconds(0);
    time.after(isDeadly ? behaviour.crashesAfter : behaviour.duration,
               [this, &agent, from, sequence = order.sequence, instance = agent.instance, isDeadly] {
                   completeRun(agent, from, sequence, instance, isDeadly);
               });
}

void crash_fleet::completeRun(agent_state &agent, std::size_t from, std::uint64_t sequence, std::uint64_t instance, bool isDeadly)
{
    const bool isAtWork = agent.isUp && agent.instance == instance
        && std::ranges::any_of(agent.runs, [&](const active_run &run) { return run.entry == from && run.sequence == sequence; });
    if (!isAtWork) {
        return;
    }
    if (isDeadly) {
        crash(agent);
    } else if (agent.isCutOff) {
        // The agent learns of the end when it reaches the worker, if the lease has not ended by then.
        time.after(milliseconds(5), [this, &agent, from, sequence, instance] { completeRun(agent, from, sequence, instance, false); });
    } else {
        endRun(agent, from, sequence, run_outcome::done);
    }
}

void crash_fleet::endRun(agent_state &agent, std::size_t from, std::uint64_t sequence, run_outcome outcome)
{
    const std::size_t ended
        = std::erase_if(agent.runs, [&](const active_run &run) { return run.entry == from && run.sequence == sequence; });
    if (ended > 0) {
        sendResult(agent, from, sequence, outcome);
        sendStatus(agent);
    }
}

void crash_fleet::crash(agent_state &agent, milliseconds noticeDelay)
{
    if (!agent.isUp) {
        return;
    }
    agent.isUp = false;
    for (const active_run &run : agent.runs) {
        m_crashesByJob[jobOf(run.task)].insert(agent.name + '-' + std::to_string(agent.instance));
        ++m_crashesByTask[run.task];
    }
    if (noticeDelay > milliseconds(0)) {
        time.after(noticeDelay, [this, &agent] { noticeRefusal(agent); });
    } else {
        noticeRefusal(agent);
    }
    time.after(returnTime, [this, &agent] {
        settleSuspicion(agent, crash_state::proved);
        endLease(agent, agent.instance);
        agent.isUp = true;
        agent.isKnownDown = false;
        ++agent.instance;
        sendStatus(agent);
    });
}

void crash_fleet::cutOff(std::size_t worker, milliseconds duration)
{
    agent_state &agent = m_agents[worker];
    if (!agent.isUp || agent.isCutOff) {
        return;
    }
    agent.isCutOff = true;
    noticeRefusal(agent);
    time.after(duration, [this, &agent] {
        agent.isCutOff = false;
        agent.isKnownDown = false;
        settleSuspicion(agent, crash_state::withdrawn);
        sendStatus(agent);
    });
}

void crash_fleet::cutOffUnder(const std::string &task, milliseconds duration, int times)
{
    m_cutsByTask[task] = {duration, times};
}

bool crash_fleet::isContained(const std::string &queue) const
{
    return std::ranges::any_of(m_entries, [&queue](const auto &each) { return each->guard.containment().isContained(queue); });
}

void crash_fleet::noticeRefusal(agent_state &agent)
{
    agent.isKnownDown = true;
    crash_report report{agent.name + '-' + std::to_string(m_crashes.size()), crash_state::suspected, 0, {}};
    for (const active_run &run : agent.runs) {
        if (!run.isHeld) {
            const auto age = std::chrono::duration_cast<milliseconds>(time.steadyNow() - run.startedAt);
            report.runs.push_back({run.task, run.queue, static_cast<std::uint32_t>(age.count()), run.evidence});
        }
    }
    for (const active_run &run : agent.runs) {
        if (run.isHeld) {
            sendResult(agent, run.entry, run.sequence, run_outcome::closed);
        }
    }
    std::erase_if(agent.runs, &active_run::isHeld);
    m_crashes.push_back({agent.name, report, time.steadyNow(), agent.instance});
    sendReport(m_crashes.back());
    time.after(leaseTime, [this, &agent, instance = agent.instance] {
        if (agent.instance == instance && agent.isKnownDown) {
            endLease(agent, instance);
        }
    });
    sendStatus(agent);
}

void crash_fleet::settleSuspicion(agent_state &agent, crash_state state)
{
    for (noticed_crash &crash : m_crashes) {
        if (crash.agent == agent.name && crash.instance == agent.instance && crash.report.state == crash_state::suspected) {
            crash.report.state = state;
            sendReport(crash);
        }
    }
}

void crash_fleet::sendReport(const noticed_crash &crash)
{
    crash_report report = crash.report;
    const auto age = std::chrono::duration_cast<milliseconds>(time.steadyNow() - crash.at);
    report.ageMilliseconds = static_cast<std::uint32_t>(age.count());
    for (const std::unique_ptr<entry_process> &each : m_entries) {
        time.after(MESSAGE_DELAY, [&each, name = crash.agent, report] {
            if (each->isAlive) {
                each->guard.recordCrash(name, report);
            }
        });
    }
}

void crash_fleet::endLease(agent_state &agent, std::uint64_t instance)
{
    if (agent.instance != instance) {
        return;
    }
    for (const active_run &run : std::exchange(agent.runs, {})) {
        sendResult(agent, run.entry, run.sequence, run_outcome::lapsed);
    }
}

bool crash_fleet::isAtWorkElsewhere(const std::string &task, const agent_state &agent) const
{
    return std::ranges::any_of(m_agents, [&](const agent_state &other) {
        return &other != &agent && other.isUp && std::ranges::find(other.runs, task, &active_run::task) != other.runs.end();
    });
}

const std::set<std::string> &crash_fleet::startsBesideRuns() const
{
    return m_startsBesideRuns;
}

std::uint64_t crash_fleet::containments() const
{
    std::uint64_t count = 0;
    for (const std::unique_ptr<entry_process> &each : m_entries) {
        count += each->guard.containment().containments();
    }
    return count;
}

void crash_fleet::sendResult(agent_state &agent, std::size_t to, std::uint64_t sequence, run_outcome outcome)
{
    const run_results results{++agent.results[to], {{sequence, outcome}}};
    time.after(MESSAGE_DELAY, [this, to, name = agent.name, results] {
        if (m_entries[to]->isAlive) {
            m_entries[to]->pool.receiveResults(name, results);
            m_entries[to]->dispatcher.placeWaitingTasks();
        }
    });
}

void crash_fleet::sendStatus(agent_state &agent)
{
    worker_status status;
    if (!agent.isKnownDown) {
        status.ready = true;
        status.worker = agent.name + '-' + std::to_string(agent.instance);
        status.service = "desk";
        status.capacity = WORKER_CAPACITY;
        status.free = WORKER_CAPACITY;
        status.free.milliCores -= static_cast<std::uint32_t>(agent.runs.size()) * TASK_SHAPE.milliCores;
    }
    for (std::size_t to = 0; to < m_entries.size(); ++to) {
        status.appliedOrder = agent.appliedOrder[to];
        time.after(MESSAGE_DELAY, [this, to, name = agent.name, status] {
            if (m_entries[to]->isAlive) {
                m_entries[to]->pool.updateStatus(name, status);
                m_entries[to]->dispatcher.placeWaitingTasks();
            }
        });
    }
}

void crash_fleet::tick()
{
    for (const std::unique_ptr<entry_process> &each : m_entries) {
        if (!each->isAlive) {
            continue;
        }
        for (const agent_state &agent : m_agents) {
            each->pool.recordHeartbeat(agent.name, ping{time.steadyNow().time_since_epoch().count(), 0});
        }
        each->pool.tick();
        each->guard.tick();
        each->dispatcher.tick();
        each->dispatcher.placeWaitingTasks();
    }
    time.after(TICK_INTERVAL, [this] { tick(); });
}

}
