#include "dispatch/tests/dispatch_history.h"

#include <algorithm>
#include <iostream>

namespace azuremoor::testing
{

namespace
{

constexpr milliseconds TICK{20};
constexpr milliseconds HEARTBEAT{100};
constexpr milliseconds LINK_SILENCE{600};
constexpr milliseconds REPORT_INTERVAL{500};
constexpr microseconds LINK_DELAY{900};

/// Time after a drain from which on no run may begin.
constexpr milliseconds DRAIN_SLACK{200};

/// Time in which a caller waits for an answer.
constexpr milliseconds CALLER_PATIENCE{2200};

route testRoute()
{
    route result;
    result.name = "queue";
    result.service = "desk";
    result.maxAttempts = 3;
    result.slackFactor = 4;
    result.targetLatency = milliseconds(400);
    return result;
}

/// Prints the decisions of one process.
class journal_printer : public journal_listener
{
public:
    journal_printer(std::string process, const virtual_time &time)
        : m_process(std::move(process))
        , m_time(time)
    {
    }

    void handleDecision(const journal_entry &line) override
    {
        const auto at = std::chrono::duration_cast<milliseconds>(m_time.steadyNow().time_since_epoch() - seconds(1000));
        std::cout << at.count() << " ms " << m_process << ' ' << line.event;
        for (const auto &[name, value] : line.fields) {
            std::cout << ' ' << name << '=' << value;
        }
        std::cout << '\n';
    }

private:
    std::string m_process;
    const virtual_time &m_time;
};

class no_routing : public routing_reader
{
public:
    std::optional<routing> read(std::string_view) const override
    {
        return std::nullopt;
    }
};

}

/// One process of an entry.
class dispatch_history::entry_process : public simulated_process, public peer_outbox, public answer_sink
{
public:
    entry_process(dispatch_history &history, std::size_t index, std::uint64_t incarnation)
        : simulated_process(history.m_time)
        , introduction{"entry-" + std::to_string(index), member_role::entry, incarnation, "dc", ""}
        , m_history(history)
        , m_index(index)
        , m_printer(introduction.name, history.m_time)
        , m_journal(history.m_time)
        , m_directory(history.m_time, introduction.name, {})
        , m_pool(history.m_time, silenceRules(history.m_settings), *this, m_journal)
        , m_placement(history.m_time, "dc", 1, incarnation)
        , dispatcher(history.m_time, m_pool, m_placement, m_admission, m_stragglers, *this, m_journal)
        , node(history.m_time, m_directory, m_routes, m_reader, m_pool, dispatcher, *this, m_journal)
    {
        m_journal.setListener(history.m_settings.isTraced ? &m_printer : nullptr);
        m_pool.setListener(dispatcher);
        repeat();
    }

    static silence_rules silenceRules(const dispatch_history_settings &settings)
    {
        silence_rules rules;
        rules.runsEnded = settings.presumedEnd.count() > 0 ? settings.presumedEnd : settings.leases.runsEndedAfter();
        return rules;
    }

    void send(const std::string &peer, message value) override;

    void answerRequest(std::uint64_t request, const job_answer &answer) override
    {
        const auto found = requests.find(request);
        if (found != requests.end()) {
            const std::size_t job = found->second.first;
            requests.erase(found);
            m_history.settle(job, answer);
        }
    }

    void receive(const std::string &agent, const message &value)
    {
        whenAwake([this, agent, value] {
            node.handleMessage(agent, value);
            dispatcher.placeWaiting();
        });
    }

    hello introduction;
    /// The job and the number of tries of each request that is not answered.
    std::map<std::uint64_t, std::pair<std::size_t, int>> requests;

private:
    void repeat()
    {
        m_history.m_time.after(TICK, [this] {
            if (!isAlive) {
                return;
            }
            if (isAwake()) {
                m_pool.tick();
                dispatcher.tick();
                dispatcher.placeWaiting();
            }
            repeat();
        });
    }

    dispatch_history &m_history;
    std::size_t m_index;
    journal_printer m_printer;
    decision_journal m_journal;
    entry_directory m_directory;
    route_table m_routes;
    no_routing m_reader;
    worker_pool m_pool;
    earliest_done_placement m_placement;
    fair_share_admission m_admission;
    progress_straggler_policy m_stragglers;

public:
    job_dispatcher dispatcher;
    dispatch_entry node;
};

/// One process of an agent. Its calls to the worker, and the answers, end with the process.
class dispatch_history::agent_process : public simulated_process, public peer_outbox, public worker_port
{
public:
    agent_process(dispatch_history &history, std::size_t index, std::uint64_t incarnation)
        : simulated_process(history.m_time)
        , introduction{"agent-" + std::to_string(index), member_role::agent, incarnation, "dc", ""}
        , m_history(history)
        , m_index(index)
        , m_printer(introduction.name, history.m_time)
        , m_journal(history.m_time)
        , m_ticks(static_cast<int>(history.random(REPORT_INTERVAL / TICK)))
        , agent(history.m_time, history.m_settings.leases, *this, *this, m_journal)
    {
        m_journal.setListener(history.m_settings.isTraced ? &m_printer : nullptr);
        repeat();
    }

    void send(const std::string &peer, message value) override;

    void startRun(const order_context &context,
                  const run_order &order,
                  worker_milliseconds deadline,
                  std::function<void(order_reply, worker_milliseconds)> done) override
    {
        if (isAwake()) {
            worker().startRun(context, order, deadline, [this, done](order_reply reply, worker_milliseconds clock) {
                whenAwake([done, reply, clock] { done(reply, clock); });
            });
        }
    }

    void stopRun(const order_context &context, const run_key &run, std::function<void(order_reply)> done) override
    {
        if (isAwake()) {
            worker().stopRun(context, run, [this, done](order_reply reply) { whenAwake([done, reply] { done(reply); }); });
        }
    }

    void renewLease(const order_context &context, const lease_request &request, std::function<void(const lease_reply &)> done) override
    {
        if (isAwake()) {
            worker().renewLease(context, request, [this, done](const lease_reply &reply) {
                whenAwake([this, done, reply] {
                    done(reply);
                    agent.flush();
                });
            });
        }
    }

    void receive(const std::string &entry, const message &value)
    {
        whenAwake([this, entry, value] {
            agent.handleMessage(entry, value);
            agent.flush();
        });
    }

    hello introduction;

private:
    fake_worker &worker()
    {
        return *m_history.m_workers[m_index];
    }

    void repeat()
    {
        m_history.m_time.after(TICK, [this] {
            if (!isAlive) {
                return;
            }
            if (isAwake()) {
                agent.tick();
                if (++m_ticks % (HEARTBEAT / TICK) == 0) {
                    agent.sendHeartbeats();
                }
                if (m_ticks % (REPORT_INTERVAL / TICK) == 0) {
                    agent.supervisor().takeReport(m_history.reportOf(m_index));
                }
                agent.flush();
            }
            repeat();
        });
    }

    dispatch_history &m_history;
    std::size_t m_index;
    journal_printer m_printer;
    decision_journal m_journal;
    int m_ticks;

public:
    run_agent agent;
};

void dispatch_history::entry_process::send(const std::string &peer, message value)
{
    const std::size_t agent = std::stoul(peer.substr(peer.rfind('-') + 1));
    if (!isAwake()) {
        return;
    }
    m_history.link(m_index, agent).carry(0, std::move(value), [this, agent](const message &arrived) {
        m_history.m_agents[agent]->receive(introduction.name, arrived);
    });
}

void dispatch_history::agent_process::send(const std::string &peer, message value)
{
    const std::size_t entry = std::stoul(peer.substr(peer.rfind('-') + 1));
    if (!isAwake()) {
        return;
    }
    m_history.link(entry, m_index).carry(1, std::move(value), [this, entry](const message &arrived) {
        m_history.m_entries[entry]->receive(introduction.name, arrived);
    });
}

dispatch_history::dispatch_history(const dispatch_history_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_drainedSince(settings.agents)
    , m_workerLives(settings.agents, 1)
{
    for (std::size_t index = 0; index < settings.agents; ++index) {
        auto worker = std::make_unique<fake_worker>(m_time);
        worker->restart("worker-" + std::to_string(index) + "-1");
        worker->clockRate = 0.98 + 0.04 * static_cast<double>(random(100)) / 100;
        worker->checksToken = settings.missingGuard != history_guard::token;
        worker->checksLife = settings.missingGuard != history_guard::life;
        worker->checksRunNumber = settings.missingGuard != history_guard::run_number;
        worker->checksOrderDeadline = settings.missingGuard != history_guard::order_deadline;
        worker->onStart = [this, index](const run_key &run, const task_shape &shape) { noteStart(index, run, shape); };
        m_workers.push_back(std::move(worker));
    }
    for (std::size_t index = 0; index < settings.entries * settings.agents; ++index) {
        m_links.push_back(std::make_unique<simulated_link>(m_time, LINK_DELAY + microseconds(random(900))));
    }
    m_entries.resize(settings.entries);
    m_agents.resize(settings.agents);
}

dispatch_history::~dispatch_history()
{
    for (const auto &processes : {m_entries, m_formerEntries}) {
        for (const std::shared_ptr<entry_process> &entry : processes) {
            entry->clearWaiting();
        }
    }
    for (const auto &processes : {m_agents, m_formerAgents}) {
        for (const std::shared_ptr<agent_process> &agent : processes) {
            agent->clearWaiting();
        }
    }
}

dispatch_history_result dispatch_history::run()
{
    for (std::size_t index = 0; index < m_settings.entries; ++index) {
        startEntry(index);
    }
    for (std::size_t index = 0; index < m_settings.agents; ++index) {
        startAgent(index);
    }
    openLinks();
    checkSilence();
    m_time.after(seconds(1), [this] {
        scheduleJobs();
        scheduleFaults();
    });
    m_time.run(m_settings.length + seconds(8));
    for (const caller_job &job : m_jobs) {
        if (!job.isSettled) {
            violate("job " + job.id + " was never answered nor given up");
        }
    }
    return m_result;
}

worker_report dispatch_history::reportOf(std::size_t worker)
{
    const bool isDraining = m_drainedSince[worker] != steady_time{} && m_settings.missingGuard != history_guard::drain;
    worker_report report = m_workers[worker]->report(isDraining);
    if (m_settings.missingGuard == history_guard::room) {
        report.capacity.milliCores *= 2;
    }
    return report;
}

void dispatch_history::startEntry(std::size_t index)
{
    m_entries[index] = std::make_shared<entry_process>(*this, index, m_nextIncarnation++);
}

void dispatch_history::startAgent(std::size_t index)
{
    m_agents[index] = std::make_shared<agent_process>(*this, index, m_nextIncarnation++);
}

void dispatch_history::scheduleJobs()
{
    if (m_time.steadyNow().time_since_epoch() > seconds(1000) + m_settings.length) {
        return;
    }
    caller_job job;
    job.id = "job" + std::to_string(m_jobs.size());
    job.tasks = 1 + static_cast<std::uint32_t>(random(4));
    m_byId[job.id] = m_jobs.size();
    m_jobs.push_back(job);
    ++m_result.jobs;
    submit(m_jobs.size() - 1, 0);
    m_time.after(milliseconds(10 + random(120)), [this] { scheduleJobs(); });
}

void dispatch_history::submit(std::size_t job, int tries)
{
    const std::size_t index = random(m_entries.size());
    const std::shared_ptr<entry_process> entry = m_entries[index];
    if (!entry->isAlive) {
        lose(job, tries);
        return;
    }
    const std::uint64_t request = m_nextRequest++;
    entry->requests[request] = {job, tries};
    job_spec spec;
    spec.id = m_jobs[job].id;
    spec.payload = "payload";
    step_spec step;
    step.count = m_jobs[job].tasks;
    step.shape = {1000, 64, 0};
    step.estimate = milliseconds(100);
    spec.steps.push_back(step);
    entry->whenAwake([this, entry, request, spec] {
        entry->dispatcher.submit(request, spec, testRoute(), m_time.steadyNow() + CALLER_PATIENCE);
        entry->dispatcher.placeWaiting();
    });
    m_time.after(CALLER_PATIENCE + milliseconds(50), [this, entry, request, job, tries] {
        if (entry->requests.erase(request) > 0) {
            entry->whenAwake([entry, request] { entry->dispatcher.abandon(request); });
            lose(job, tries);
        }
    });
}

void dispatch_history::settle(std::size_t job, const job_answer &answer)
{
    caller_job &settled = m_jobs[job];
    if (settled.isSettled) {
        violate("job " + settled.id + " was answered twice");
    }
    settled.isSettled = true;
    switch (answer.kind) {
    case answer_kind::completed:
        ++m_result.completed;
        if (settled.done.size() < settled.tasks) {
            violate("job " + settled.id + " was answered as completed with tasks that are not done");
        }
        break;
    case answer_kind::refused_full:
    case answer_kind::refused_unavailable:
        ++m_result.refused;
        settled.isRefusedForGood = !settled.isStarted;
        break;
    case answer_kind::expired:
        ++m_result.expired;
        break;
    case answer_kind::failed:
    case answer_kind::cancelled:
        ++m_result.failed;
        break;
    }
}

void dispatch_history::lose(std::size_t job, int tries)
{
    constexpr int MOST_TRIES = 3;
    if (tries >= MOST_TRIES) {
        m_jobs[job].isSettled = true;
        return;
    }
    ++m_result.resubmitted;
    m_time.after(m_settings.resend, [this, job, tries] { submit(job, tries + 1); });
}

void dispatch_history::scheduleFaults()
{
    if (m_settings.faultInterval.count() == 0 || m_time.steadyNow().time_since_epoch() > seconds(1000) + m_settings.length) {
        return;
    }
    injectFault();
    const auto mean = static_cast<std::uint64_t>(m_settings.faultInterval.count());
    m_time.after(microseconds(random(2 * mean)), [this] { scheduleFaults(); });
}

void dispatch_history::injectFault()
{
    ++m_result.faults;
    const std::size_t entry = random(m_entries.size());
    const std::size_t agent = random(m_agents.size());
    fake_worker &worker = *m_workers[agent];
    const milliseconds length(100 + random(3000));
    const std::uint64_t kind = random(11);
    if (m_settings.isTraced) {
        std::cout << m_time.steadyNow().time_since_epoch().count() / 1000 - 1'000'000 << " ms fault " << kind << " entry-" << entry
                  << " agent-" << agent << " for " << length.count() << " ms\n";
    }
    switch (kind) {
    case 0:
        killEntry(entry, false);
        break;
    case 1:
        killEntry(entry, true);
        break;
    case 2:
        killAgent(agent);
        break;
    case 3:
        m_entries[entry]->suspendedUntil = std::max(m_entries[entry]->suspendedUntil, m_time.steadyNow() + length);
        break;
    case 4:
        m_agents[agent]->suspendedUntil = std::max(m_agents[agent]->suspendedUntil, m_time.steadyNow() + length);
        break;
    case 5:
        link(entry, agent).cutUntil[0] = m_time.steadyNow() + length;
        link(entry, agent).cutUntil[1] = random(2) == 0 ? m_time.steadyNow() + length : steady_time{};
        break;
    case 6:
        closeLink(entry, agent);
        break;
    case 7:
        restartWorker(agent);
        break;
    case 8:
        worker.startFate = random(2) == 0 ? fake_worker::fate::late : fake_worker::fate::lost;
        worker.stopFate = random(2) == 0 ? fake_worker::fate::late : fake_worker::fate::answered;
        worker.lateBy = random(2) == 0 ? microseconds(random(600'000)) : microseconds(2'000'000 + random(4'000'000));
        m_time.after(length, [&worker] {
            worker.startFate = fake_worker::fate::answered;
            worker.stopFate = fake_worker::fate::answered;
        });
        break;
    case 9:
        // The last orders of a process arrive when its successor is at work.
        worker.startFate = fake_worker::fate::late;
        worker.lateBy = microseconds(100'000 + random(450'000));
        m_time.after(milliseconds(20 + random(40)), [this, agent, &worker] {
            killAgent(agent);
            worker.startFate = fake_worker::fate::answered;
        });
        break;
    default:
        worker.renewalFate = random(2) == 0 ? fake_worker::fate::late : fake_worker::fate::lost;
        m_time.after(length, [&worker] { worker.renewalFate = fake_worker::fate::answered; });
        break;
    }
}

void dispatch_history::killEntry(std::size_t index, bool powerLoss)
{
    const std::shared_ptr<entry_process> entry = m_entries[index];
    if (!entry->isAlive) {
        return;
    }
    entry->isAlive = false;
    m_formerEntries.push_back(entry);
    const milliseconds noticed = powerLoss ? LINK_SILENCE : milliseconds(2);
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        simulated_link &connection = link(index, agent);
        m_time.after(noticed, [this, index, agent, number = connection.connectionNumber] {
            if (link(index, agent).connectionNumber == number) {
                closeLink(index, agent);
            }
        });
    }
    const auto requests = std::move(entry->requests);
    entry->requests.clear();
    for (const auto &[request, job] : requests) {
        lose(job.first, job.second);
    }
    m_time.after(milliseconds(200 + random(1500)) + (powerLoss ? LINK_SILENCE : milliseconds(0)), [this, index] { startEntry(index); });
}

void dispatch_history::killAgent(std::size_t index)
{
    const std::shared_ptr<agent_process> agent = m_agents[index];
    if (!agent->isAlive) {
        return;
    }
    agent->isAlive = false;
    m_formerAgents.push_back(agent);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        closeLink(entry, index);
    }
    const milliseconds away = random(3) == 0 ? milliseconds(20 + random(60)) : milliseconds(200 + random(1500));
    m_time.after(away, [this, index] { startAgent(index); });
}

void dispatch_history::restartWorker(std::size_t index)
{
    m_drainedSince[index] = {};
    m_workers[index]->restart("worker-" + std::to_string(index) + '-' + std::to_string(++m_workerLives[index]));
    if (random(3) == 0) {
        m_time.after(milliseconds(random(1500)), [this, index] {
            m_drainedSince[index] = m_time.steadyNow();
            m_agents[index]->whenAwake([this, index] {
                m_agents[index]->agent.supervisor().takeReport(reportOf(index));
                m_agents[index]->agent.flush();
            });
            m_time.after(seconds(2), [this, index] { restartWorker(index); });
        });
    }
}

void dispatch_history::closeLink(std::size_t entry, std::size_t agent)
{
    simulated_link &connection = link(entry, agent);
    if (!connection.isOpen) {
        return;
    }
    connection.isOpen = false;
    const std::shared_ptr<entry_process> left = m_entries[entry];
    const std::shared_ptr<agent_process> right = m_agents[agent];
    left->whenAwake([left, right] { left->node.disconnectPeer(right->introduction.name); });
    right->whenAwake([left, right] { right->agent.disconnectEntry(left->introduction.name); });
}

void dispatch_history::openLinks()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
            simulated_link &connection = link(entry, agent);
            const std::shared_ptr<entry_process> left = m_entries[entry];
            const std::shared_ptr<agent_process> right = m_agents[agent];
            if (connection.isOpen || connection.isCut() || !left->isAwake() || !right->isAwake()) {
                continue;
            }
            connection.isOpen = true;
            ++connection.connectionNumber;
            connection.silentSince = {};
            left->node.connectPeer(right->introduction);
            right->agent.connectEntry(left->introduction);
        }
    }
    m_time.after(milliseconds(100), [this] { openLinks(); });
}

void dispatch_history::checkSilence()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
            simulated_link &connection = link(entry, agent);
            const bool isSilent = connection.isCut() || !m_entries[entry]->isAwake() || !m_agents[agent]->isAwake();
            if (!isSilent) {
                connection.silentSince = {};
            } else if (connection.silentSince == steady_time{}) {
                connection.silentSince = m_time.steadyNow();
            } else if (m_time.steadyNow() >= connection.silentSince + LINK_SILENCE) {
                closeLink(entry, agent);
            }
        }
    }
    m_time.after(milliseconds(50), [this] { checkSilence(); });
}

void dispatch_history::noteStart(std::size_t worker, const run_key &run, const task_shape &)
{
    ++m_result.starts;
    if (m_settings.isTraced) {
        std::cout << m_time.steadyNow().time_since_epoch().count() / 1000 - 1'000'000 << " ms " << m_workers[worker]->name << " starts "
                  << run.task << " run " << run.number << '\n';
    }
    caller_job &job = m_jobs[m_byId.at(run.task.substr(0, run.task.find('.')))];
    job.isStarted = true;
    if (job.isRefusedForGood) {
        violate(run.task + " started after its job was refused");
    }
    std::size_t copies = 0;
    for (const auto &each : m_workers) {
        copies
            += std::count_if(each->active().begin(), each->active().end(), [&run](const run_key &other) { return other.task == run.task; });
    }
    if (copies > 1) {
        violate(run.task + " runs twice at the same time");
    }
    constexpr std::size_t ROOM = 4;
    if (m_workers[worker]->active().size() > ROOM) {
        violate("worker " + std::to_string(worker) + " runs more than it has room for");
    }
    const steady_time drained = m_drainedSince[worker];
    if (drained != steady_time{} && m_agents[worker]->isAwake() && m_time.steadyNow() > drained + DRAIN_SLACK + REPORT_INTERVAL) {
        violate(run.task + " started on a worker that drains");
    }
    const std::string life = m_workers[worker]->name;
    const run_outcome outcome = random(50) == 0 ? run_outcome::failed : run_outcome::done;
    const bool isLong = random(8) == 0;
    m_time.after(milliseconds(isLong ? 1200 + random(1200) : 20 + random(250)), [this, worker, run, life, outcome] {
        fake_worker &ended = *m_workers[worker];
        if (ended.name != life || !ended.active().contains(run)) {
            return;
        }
        if (outcome == run_outcome::done) {
            m_jobs[m_byId.at(run.task.substr(0, run.task.find('.')))].done.insert(run.task);
        }
        ended.finish(run, outcome);
    });
}

void dispatch_history::violate(const std::string &what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(m_time.steadyNow().time_since_epoch() - seconds(1000));
    m_result.violations.push_back(std::to_string(at.count()) + " ms: " + what);
}

std::uint64_t dispatch_history::random(std::uint64_t below)
{
    return m_random() % below;
}

simulated_link &dispatch_history::link(std::size_t entry, std::size_t agent)
{
    return *m_links[entry * m_settings.agents + agent];
}

}
