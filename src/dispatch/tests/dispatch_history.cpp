#include "dispatch/tests/dispatch_history.h"

#include <algorithm>
#include <iostream>
#include <utility>

namespace azuremoor::testing
{

namespace
{

constexpr milliseconds TICK{20};
constexpr milliseconds HEARTBEAT{100};
constexpr milliseconds LINK_TIMEOUT{600};
constexpr milliseconds ENTRY_LINK_TIMEOUT{1800};
constexpr milliseconds REPORT_INTERVAL{500};
constexpr microseconds LINK_DELAY{900};

/// Time after the report of the drain for which a run may still start.
constexpr milliseconds MAX_START_DELAY_AFTER_DRAIN{200};

/// One in this number of jobs is handed over, if there is another entry for it.
constexpr std::uint64_t HANDOVER_RATE = 3;

/// Time from the begin of a planned stop of an entry to the end of its process.
constexpr milliseconds STOP_TIME{2500};

/// Time for which jobs are collected at an entry before a fault in their handover.
constexpr milliseconds RUSH_TIME{400};

/// Time that a caller waits for an answer.
constexpr milliseconds CALLER_TIMEOUT{2200};

/// One in this number of submissions loses its connection within the time, and comes back to the same entry after the delay at most.
constexpr std::uint64_t RETURN_RATE = 6;
constexpr milliseconds MAX_LOSS_TIME{400};
constexpr milliseconds MAX_RETURN_DELAY{30};

/// Number of priorities, and the estimate of a task of each one, where jobs have different priorities.
constexpr std::uint32_t PRIORITIES = 3;
constexpr milliseconds ESTIMATES[PRIORITIES] = {milliseconds(60), milliseconds(200), milliseconds(900)};

/// One in this number of jobs with different priorities is wide and urgent. Its work is more than what a long run of the lowest priority
/// has done after half of its time, and it must start before such a run ends, so that only the limit keeps the run from being stopped.
constexpr std::uint64_t URGENT_RATE = 8;
constexpr std::uint32_t URGENT_TASKS = 12;

route testRoute(std::uint32_t priority, bool isUrgent)
{
    route result;
    result.name = "queue";
    result.priority = priority;
    result.service = "desk";
    result.maxAttempts = 3;
    result.slackFactor = 4;
    result.targetLatency = milliseconds(400);
    if (isUrgent) {
        result.slackFactor = 1.6;
        result.targetLatency = milliseconds(60);
    }
    return result;
}

/// Prints the journal of one process with the time since the start of the history.
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

class null_routing_reader : public routing_reader
{
public:
    std::optional<routing> read(std::string_view) const override
    {
        return std::nullopt;
    }
};

}

/// Hands over a random part of all jobs, to any entry that is known to accept jobs.
class forced_handover : public handover_policy
{
public:
    forced_handover(std::uint64_t seed, safety_check disabledCheck, std::function<bool()> isRushed)
        : m_random(seed)
        , m_disabledCheck(disabledCheck)
        , m_isRushed(std::move(isRushed))
    {
    }

    bool isCandidate(const handover_job &job) const override
    {
        if ((job.hasOrders && m_disabledCheck != safety_check::no_handover_after_orders)
            || (job.isTaken && m_disabledCheck != safety_check::one_hop)) {
            return false;
        }
        return job.shortage != resource_shortage::none || m_isRushed() || m_random() % HANDOVER_RATE == 0;
    }

    bool canTake(const handover_peer &peer, const handover_job &) const override
    {
        return peer.acceptsJobs && peer.hasSameRouting;
    }

    bool isBetter(const handover_peer &, const handover_peer &) const override
    {
        return m_random() % 2 == 0;
    }

private:
    mutable std::mt19937_64 m_random;
    safety_check m_disabledCheck;
    std::function<bool()> m_isRushed;
};

/// A simulated process of an entry.
class dispatch_history::entry_process : public simulated_process, public peer_outbox, public answer_sink, public journal_listener
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
        , m_pool(history.m_time, agentTimeouts(history.m_settings), *this, m_journal)
        , m_placement(history.m_time, "dc", 1, incarnation)
        , m_loads(history.m_time)
        , m_policy(
              history.m_settings.seed * 1000 + incarnation, history.m_settings.disabledCheck, [&history] { return history.isRushed(); })
        , m_answers(*this)
        , m_priorities(history.m_time, m_routes, m_loads, m_localLoad)
        , m_preemption(history.m_settings.preemption)
        , dispatcher(history.m_time,
                     m_pool,
                     m_placement,
                     m_admission,
                     m_stragglers,
                     m_localLoad,
                     m_answers,
                     m_journal,
                     &m_priorities,
                     &m_preemption)
        , m_routing(history.m_time, m_routes, m_reader, *this, m_journal, incarnation)
        , origin(history.m_time, m_loads, m_pool, m_routes, m_policy, dispatcher, *this, m_journal, incarnation)
        , receiver(history.m_time, m_routes, dispatcher, *this, m_journal)
        , m_handover(origin, receiver)
        , m_ticks(static_cast<int>(incarnation) % (HEARTBEAT / TICK))
        , peerHandler(history.m_time, m_directory, m_routing, m_pool, dispatcher, m_loads, *this, m_journal)
    {
        m_localLoad.setAcceptsJobs(true);
        m_answers.setHandovers(receiver);
        m_pool.setOrigins(receiver);
        dispatcher.setForwarder(origin);
        dispatcher.setRemovalListener(receiver);
        peerHandler.setHandover(m_handover);
        m_journal.setListener(this);
        m_pool.setListener(dispatcher);
        if (history.m_hasPriorities) {
            m_routes.replace({1, {testRoute(0, false), testRoute(1, false), testRoute(2, false)}});
        } else {
            m_routes.replace({1, {testRoute(0, false)}});
        }
        scheduleTick();
    }

    static agent_timeouts agentTimeouts(const dispatch_history_settings &settings)
    {
        agent_timeouts timeouts;
        timeouts.runsEndedAfter
            = settings.runsEndedAfterOverride.count() > 0 ? settings.runsEndedAfterOverride : settings.leases.maxOrphanedRunTime();
        return timeouts;
    }

    void send(const std::string &peer, message value) override;

    void answerRequest(std::uint64_t request, const job_answer &answer) override
    {
        const auto found = requests.find(request);
        if (found != requests.end()) {
            const auto [job, tries] = found->second;
            requests.erase(found);
            m_answered.insert(request);
            m_history.recordAnswer(job, tries, answer);
        } else if (m_answered.contains(request)) {
            m_history.recordViolation("request " + std::to_string(request) + " was answered twice");
        }
    }

    void handleDecision(const journal_entry &decision) override
    {
        if (m_history.m_settings.isTraced) {
            m_printer.handleDecision(decision);
        }
        const std::string process = introduction.name + '#' + std::to_string(introduction.incarnation);
        if (decision.event == "job_admitted") {
            m_history.resetPreemptions(process, decision);
        } else if (decision.event == "run_preempted") {
            m_history.checkPreemption(process, decision);
            m_isPreempting = true;
        }
    }

    void receive(const std::string &agent, const message &value)
    {
        runWhenResumed([this, agent, value] {
            peerHandler.handleMessage(agent, withoutHold(withoutBegin(value)));
            dispatcher.placeWaitingTasks();
        });
    }

    /// Stops taking jobs, as a process does that is told to stop.
    void beginStop()
    {
        m_localLoad.setAcceptsJobs(false);
        dispatcher.beginShutdown(m_history.m_time.steadyNow() + STOP_TIME);
    }

    hello introduction;
    /// Index of the job and number of its earlier submissions, for each unanswered request.
    std::map<std::uint64_t, std::pair<std::size_t, int>> requests;
    /// Called once after the next heartbeats, if set.
    std::function<void()> afterHeartbeats;
    /// Cancels of handed-over jobs are lost until then.
    steady_time cancelsLostUntil{};

private:
    /// Requests that were answered, to notice a second answer.
    std::set<std::uint64_t> m_answered;

    void sendToAgent(std::size_t agent, message value);
    void sendToEntry(std::size_t entry, message value);
    /// Returns the message as the entry would understand it if stopped runs did not count as begun.
    message withoutBegin(const message &value) const
    {
        const auto *results = std::get_if<run_results>(&value);
        if (results == nullptr || m_history.m_settings.disabledCheck != safety_check::preempted_begin) {
            return value;
        }
        run_results changed = *results;
        for (run_result &result : changed.results) {
            result.outcome = result.outcome == run_outcome::stopped ? run_outcome::no_room : result.outcome;
        }
        return changed;
    }

    /// Returns the message as the origin of a job would understand it if nothing said that runs may go on at the receiver.
    message withoutHold(const message &value) const
    {
        const auto *answer = std::get_if<handover_answer>(&value);
        const safety_check disabled = m_history.m_settings.disabledCheck;
        // Most copies that would run beside those of a second hop meet them at a handover, and would be refused.
        const bool isHoldDisabled = disabled == safety_check::handover_hold || disabled == safety_check::one_hop;
        if (answer == nullptr || !isHoldDisabled) {
            return value;
        }
        handover_answer changed = *answer;
        changed.mayRun = false;
        return changed;
    }

    /// Loses the stops of a preemption and ends the runs all the same, if the entry is not to wait for their ends. Returns whether it did.
    bool endStoppedRuns(const std::string &agent, const stop_runs &stops)
    {
        if (m_history.m_settings.disabledCheck != safety_check::preempted_end || !std::exchange(m_isPreempting, false)) {
            return false;
        }
        m_history.m_time.after(microseconds(0), [this, agent, stops] {
            for (const std::uint64_t sequence : stops.sequences) {
                const std::uint64_t number = m_pool.workers().at(agent).lastResultNumber + 1;
                m_pool.receiveResults(agent, {number, {{sequence, run_outcome::stopped}}});
            }
            dispatcher.placeWaitingTasks();
        });
        return true;
    }

    void scheduleTick()
    {
        m_history.m_time.after(TICK, [this] {
            if (!isAlive) {
                return;
            }
            if (isRunning()) {
                m_pool.tick();
                m_handover.tick();
                dispatcher.tick();
                if (++m_ticks % (HEARTBEAT / TICK) == 0) {
                    peerHandler.sendHeartbeats();
                    if (const auto function = std::exchange(afterHeartbeats, nullptr)) {
                        function();
                    }
                }
                dispatcher.placeWaitingTasks();
            }
            scheduleTick();
        });
    }

    dispatch_history &m_history;
    std::size_t m_index;
    journal_printer m_printer;
    decision_journal m_journal;
    entry_directory m_directory;
    route_table m_routes;
    null_routing_reader m_reader;
    worker_pool m_pool;
    earliest_completion_placement m_placement;
    fair_share_admission m_admission;
    progress_straggler_policy m_stragglers;
    local_load m_localLoad;
    entry_load_table m_loads;
    forced_handover m_policy;
    answer_router m_answers;
    priority_control m_priorities;
    least_loss_preemption m_preemption;
    bool m_isPreempting = false;

public:
    job_dispatcher dispatcher;

private:
    routing_replica m_routing;

public:
    handover_origin origin;
    handover_receiver receiver;

private:
    entry_handover m_handover;
    int m_ticks;
    /// Latest epochs by entry, which a mutation hides from them.
    std::map<std::size_t, std::uint64_t> m_hiddenEpochs;

public:
    entry_peer_handler peerHandler;
};

/// A simulated process of an agent. When it is killed, its requests to the worker and the replies to it are lost.
class dispatch_history::agent_process : public simulated_process, public peer_outbox, public worker_client
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
        , agent(history.m_time, history.m_settings.leases, *this, *this, m_journal, introduction)
    {
        m_journal.setListener(history.m_settings.isTraced ? &m_printer : nullptr);
        scheduleTick();
    }

    void send(const std::string &peer, message value) override;

    void startRun(const request_context &context,
                  const run_order &order,
                  worker_milliseconds deadline,
                  std::function<void(worker_reply, worker_milliseconds)> done) override
    {
        if (isRunning()) {
            worker().startRun(context, order, deadline, [this, done](worker_reply reply, worker_milliseconds clock) {
                runWhenResumed([done, reply, clock] { done(reply, clock); });
            });
        }
    }

    void stopRun(const request_context &context, const run_key &run, std::function<void(worker_reply)> done) override
    {
        if (isRunning()) {
            worker().stopRun(context, run, [this, done](worker_reply reply) { runWhenResumed([done, reply] { done(reply); }); });
        }
    }

    void renewLease(const request_context &context, const lease_request &request, std::function<void(const lease_response &)> done) override
    {
        if (isRunning()) {
            worker().renewLease(context, request, [this, done](const lease_response &reply) {
                runWhenResumed([this, done, reply] {
                    done(reply);
                    agent.flush();
                });
            });
        }
    }

    void receive(const std::string &entry, const message &value)
    {
        runWhenResumed([this, entry, value] {
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

    void scheduleTick()
    {
        m_history.m_time.after(TICK, [this] {
            if (!isAlive) {
                return;
            }
            if (isRunning()) {
                agent.tick();
                if (++m_ticks % (HEARTBEAT / TICK) == 0) {
                    agent.sendHeartbeats();
                }
                if (m_ticks % (REPORT_INTERVAL / TICK) == 0) {
                    agent.supervisor().handleReport(m_history.reportOf(m_index));
                }
                agent.flush();
            }
            scheduleTick();
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
    const std::size_t index = std::stoul(peer.substr(peer.rfind('-') + 1));
    if (!isRunning()) {
        return;
    }
    if (peer.starts_with("entry")) {
        sendToEntry(index, std::move(value));
    } else {
        sendToAgent(index, std::move(value));
    }
}

void dispatch_history::entry_process::sendToEntry(std::size_t entry, message value)
{
    if (std::holds_alternative<handover_cancel>(value) && m_history.m_time.steadyNow() < cancelsLostUntil) {
        return;
    }
    if (m_history.m_settings.disabledCheck == safety_check::handover_epoch) {
        if (auto *job = std::get_if<job_handover>(&value)) {
            m_hiddenEpochs[entry] = std::exchange(job->epoch, 1);
        } else if (auto *lease = std::get_if<handover_lease>(&value); lease != nullptr && !lease->isAnswer) {
            m_hiddenEpochs[entry] = std::exchange(lease->epoch, 1);
        }
    }
    if (auto *heartbeat = std::get_if<entry_heartbeat>(&value); heartbeat != nullptr && m_history.isRefusedByRush(m_index, entry)) {
        heartbeat->load.acceptsJobs = false;
    }
    const int direction = m_index < entry ? 0 : 1;
    m_history.entryLink(m_index, entry).transmit(direction, std::move(value), [this, entry](message arrived) {
        const std::shared_ptr<entry_process> peer = m_history.m_entries[entry];
        if (auto *lease = std::get_if<handover_lease>(&arrived);
            lease != nullptr && lease->isAnswer && peer->m_hiddenEpochs.contains(m_index)) {
            lease->epoch = peer->m_hiddenEpochs.at(m_index);
        }
        peer->receive(introduction.name, arrived);
    });
}

void dispatch_history::entry_process::sendToAgent(std::size_t agent, message value)
{
    if (auto *orders = std::get_if<start_runs>(&value);
        orders != nullptr && m_history.m_settings.disabledCheck == safety_check::origin_lease) {
        for (run_order &order : orders->orders) {
            order.origin.clear();
        }
    }
    if (const auto *stops = std::get_if<stop_runs>(&value)) {
        if (endStoppedRuns("agent-" + std::to_string(agent), *stops)) {
            return;
        }
    }
    m_history.link(m_index, agent).transmit(0, std::move(value), [this, agent](const message &arrived) {
        m_history.m_agents[agent]->receive(introduction.name, arrived);
    });
}

void dispatch_history::agent_process::send(const std::string &peer, message value)
{
    const std::size_t entry = std::stoul(peer.substr(peer.rfind('-') + 1));
    if (!isRunning()) {
        return;
    }
    m_history.link(entry, m_index).transmit(1, std::move(value), [this, entry](const message &arrived) {
        m_history.m_entries[entry]->receive(introduction.name, arrived);
    });
}

dispatch_history::dispatch_history(const dispatch_history_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_returnRandom(settings.seed)
    , m_drainedSince(settings.agents)
    , m_workerInstances(settings.agents, 1)
    , m_formerReports(settings.agents)
    , m_areBootsStated(settings.seed % 3 != 0)
    , m_identityRandom(settings.seed)
    , m_refusalRandom(settings.seed)
    , m_hasPriorities(settings.priorities == dispatch_history_settings::priority_mode::always || settings.seed % 2 == 0)
{
    for (std::size_t index = 0; index < settings.agents; ++index) {
        auto worker = std::make_unique<fake_worker>(m_time);
        worker->restart("worker-" + std::to_string(index) + "-1");
        worker->boot = m_areBootsStated ? 1 : 0;
        worker->clockRate = 0.98 + 0.04 * static_cast<double>(random(100)) / 100;
        worker->checksFencingToken = settings.disabledCheck != safety_check::fencing_token;
        worker->checksInstance = settings.disabledCheck != safety_check::worker_instance;
        worker->checksRunNumber = settings.disabledCheck != safety_check::run_number;
        worker->checksStartDeadline = settings.disabledCheck != safety_check::start_deadline;
        worker->tellsRefusalFromEnd = settings.disabledCheck != safety_check::refused_connection;
        worker->onStart = [this, index](const run_key &run, const task_shape &shape) { checkStart(index, run, shape); };
        m_workers.push_back(std::move(worker));
    }
    for (std::size_t index = 0; index < settings.entries * settings.agents; ++index) {
        m_links.push_back(std::make_unique<simulated_link>(m_time, LINK_DELAY + microseconds(random(900))));
    }
    for (std::size_t index = 0; index < settings.entries * settings.entries; ++index) {
        m_entryLinks.push_back(std::make_unique<simulated_link>(m_time, LINK_DELAY + microseconds(random(900))));
    }
    m_entries.resize(settings.entries);
    m_agents.resize(settings.agents);
}

dispatch_history::~dispatch_history()
{
    for (const auto &processes : {m_entries, m_endedEntries}) {
        for (const std::shared_ptr<entry_process> &entry : processes) {
            entry->clearQueuedFunctions();
        }
    }
    for (const auto &processes : {m_agents, m_endedAgents}) {
        for (const std::shared_ptr<agent_process> &agent : processes) {
            agent->clearQueuedFunctions();
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
    openEntryLinks();
    closeSilentLinks();
    closeSilentEntryLinks();
    m_time.after(seconds(1), [this] {
        scheduleJobs();
        scheduleFaults();
        scheduleMisleadingReports();
        scheduleRefusedConnections();
    });
    // The last jobs are settled in the additional time: a caller tries four times, and waits for the answer and before the next try.
    m_time.run(m_settings.length + seconds(16));
    for (const std::shared_ptr<entry_process> &entry : m_entries) {
        countHandovers(*entry);
        if (entry->isAlive && entry->origin.heldJobs() > 0) {
            recordViolation(entry->introduction.name + " still holds ended jobs for other entries");
        }
    }
    for (const caller_job &job : m_jobs) {
        if (!job.isSettled) {
            recordViolation("job " + job.id + " was neither answered nor abandoned by its caller");
        }
    }
    return m_result;
}

worker_report dispatch_history::reportOf(std::size_t worker)
{
    const bool isDraining = m_drainedSince[worker] != steady_time{} && m_settings.disabledCheck != safety_check::drain;
    worker_report report = m_workers[worker]->report(isDraining);
    if (m_settings.disabledCheck == safety_check::capacity) {
        report.capacity.milliCores *= 2;
    }
    return report;
}

void dispatch_history::startEntry(std::size_t index)
{
    for (std::size_t other = 0; m_entries[index] != nullptr && other < m_entries.size(); ++other) {
        if (other != index) {
            // The new process answers for connections that it does not know with a reset.
            closeEntryLink(index, other);
        }
    }
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
    const std::string number = std::to_string(m_jobs.size());
    // Entries hand over jobs with identifiers of 16 hexadecimal digits only.
    job.id = std::string(16 - number.size(), '0') + number;
    job.tasks = 1 + static_cast<std::uint32_t>(random(4));
    job.priority = m_hasPriorities ? static_cast<std::uint32_t>(random(PRIORITIES)) : 0;
    job.isUrgent = m_hasPriorities && random(URGENT_RATE) == 0;
    if (job.isUrgent) {
        job.tasks = URGENT_TASKS;
        job.priority = 0;
    }
    m_byId[job.id] = m_jobs.size();
    m_jobs.push_back(job);
    ++m_result.jobs;
    submit(m_jobs.size() - 1, 0);
    m_time.after(milliseconds(10 + random(120)), [this] { scheduleJobs(); });
}

void dispatch_history::submit(std::size_t job, int tries)
{
    const bool isSentToRushed = isRushed() && tries == 0 && random(4) != 0;
    const std::size_t index = isSentToRushed ? m_rushedEntry : random(m_entries.size());
    const std::shared_ptr<entry_process> entry = m_entries[index];
    if (!entry->isAlive) {
        handleLostRequest(job, tries);
        return;
    }
    submitTo(entry, job, tries);
}

void dispatch_history::submitTo(const std::shared_ptr<entry_process> &entry, std::size_t job, int tries)
{
    const std::uint64_t request = m_nextRequest++;
    entry->requests[request] = {job, tries};
    job_spec spec;
    spec.id = m_jobs[job].id;
    spec.payload = "payload";
    step_spec step;
    step.count = m_jobs[job].tasks;
    step.shape = {1000, 64, 0};
    const std::uint32_t priority = m_jobs[job].priority;
    step.estimate = m_hasPriorities ? ESTIMATES[priority] : milliseconds(100);
    spec.steps.push_back(step);
    const route jobRoute = testRoute(priority, m_jobs[job].isUrgent);
    entry->runWhenResumed([this, entry, request, spec, jobRoute] {
        entry->dispatcher.submit(request, spec, jobRoute, m_time.steadyNow(), m_time.steadyNow() + CALLER_TIMEOUT);
        entry->dispatcher.placeWaitingTasks();
    });
    m_time.after(CALLER_TIMEOUT + milliseconds(50), [this, entry, request, job, tries] {
        if (entry->requests.erase(request) > 0) {
            entry->runWhenResumed([entry, request] { entry->dispatcher.abandonRequest(request); });
            handleLostRequest(job, tries);
        }
    });
    if (m_settings.doCallersReturn && m_returnRandom() % RETURN_RATE == 0) {
        scheduleReturn(entry, request, job, tries);
    }
}

void dispatch_history::scheduleReturn(const std::shared_ptr<entry_process> &entry, std::uint64_t request, std::size_t job, int tries)
{
    const milliseconds lostAfter(m_returnRandom() % MAX_LOSS_TIME.count());
    const milliseconds delay(m_returnRandom() % MAX_RETURN_DELAY.count());
    m_time.after(lostAfter, [this, entry, request, job, tries, delay] {
        if (!entry->isAlive || entry->requests.erase(request) == 0) {
            return;
        }
        entry->runWhenResumed([this, entry, request, job] {
            entry->dispatcher.abandonRequest(request);
            m_jobs[job].lossHandledAt = m_time.steadyNow();
        });
        m_time.after(delay, [this, entry, job, tries] {
            if (entry->isAlive) {
                ++m_result.returned;
                submitTo(entry, job, tries + 1);
            } else {
                handleLostRequest(job, tries);
            }
        });
    });
}

void dispatch_history::recordAnswer(std::size_t job, int tries, const job_answer &answer)
{
    caller_job &answeredJob = m_jobs[job];
    if (answeredJob.isSettled) {
        recordViolation("job " + answeredJob.id + " was answered twice");
    }
    if (answer.kind == answer_kind::expired) {
        // The caller does not know whether the job has run, and submits it again.
        ++m_result.expired;
        handleLostRequest(job, tries);
        return;
    }
    answeredJob.isSettled = true;
    switch (answer.kind) {
    case answer_kind::completed:
        ++m_result.completed;
        if (answeredJob.done.size() < answeredJob.tasks) {
            recordViolation("job " + answeredJob.id + " was answered as completed before all its tasks were done");
        }
        break;
    case answer_kind::refused_full:
    case answer_kind::refused_unavailable:
        ++m_result.refused;
        // A job that was submitted again may have been started by the entry that it was sent to before.
        if (tries == 0 && answeredJob.isStarted) {
            recordViolation("job " + answeredJob.id + " was refused as not run after a start");
        }
        answeredJob.wasRefusedBeforeStart
            = !answeredJob.isStarted && m_time.steadyNow() >= answeredJob.lossHandledAt + m_settings.leases.maxOrphanedRunTime();
        break;
    case answer_kind::expired:
    case answer_kind::failed:
    case answer_kind::cancelled:
        ++m_result.failed;
        break;
    }
}

void dispatch_history::resetPreemptions(const std::string &process, const journal_entry &decision)
{
    const std::map<std::string, std::string> fields(decision.fields.begin(), decision.fields.end());
    m_preemptions.erase({process, "job " + fields.at("job")});
    const std::string tasks = "task " + fields.at("job") + '.';
    std::erase_if(m_preemptions, [&](const auto &each) { return each.first.first == process && each.first.second.starts_with(tasks); });
}

void dispatch_history::checkPreemption(const std::string &process, const journal_entry &decision)
{
    ++m_result.preemptedRuns;
    const std::map<std::string, std::string> fields(decision.fields.begin(), decision.fields.end());
    const preemption_limits limits;
    if (++m_preemptions[{process, "task " + fields.at("task")}] > limits.maxPerTask) {
        recordViolation("task " + fields.at("task") + " was preempted too often");
    }
    if (++m_preemptions[{process, "job " + fields.at("job")}] > limits.maxPerJob) {
        recordViolation("job " + fields.at("job") + " was preempted too often");
    }
    if (std::stod(fields.at("age_us")) > limits.maxProgress * std::stod(fields.at("expected_us"))) {
        recordViolation("task " + fields.at("task") + " was preempted after half of its expected time");
    }
    if (std::stoul(fields.at("priority")) <= std::stoul(fields.at("for_priority"))) {
        recordViolation("task " + fields.at("task") + " was preempted for a priority that is not higher");
    }
}

void dispatch_history::handleLostRequest(std::size_t job, int tries)
{
    constexpr int MAX_TRIES = 3;
    if (tries >= MAX_TRIES) {
        m_jobs[job].isSettled = true;
        return;
    }
    ++m_result.resubmitted;
    m_time.after(m_settings.resubmitDelay, [this, job, tries] { submit(job, tries + 1); });
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
    const std::uint64_t kind = random(17);
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
        worker.startDelivery = random(2) == 0 ? fake_worker::order_delivery::delayed : fake_worker::order_delivery::lost;
        worker.stopDelivery = random(2) == 0 ? fake_worker::order_delivery::delayed : fake_worker::order_delivery::answered;
        worker.orderDelay = random(2) == 0 ? microseconds(random(600'000)) : microseconds(2'000'000 + random(4'000'000));
        m_time.after(length, [&worker] {
            worker.startDelivery = fake_worker::order_delivery::answered;
            worker.stopDelivery = fake_worker::order_delivery::answered;
        });
        break;
    case 9:
        // The last orders of a killed process reach the worker after the agent's next process has started.
        worker.startDelivery = fake_worker::order_delivery::delayed;
        worker.orderDelay = microseconds(100'000 + random(450'000));
        m_time.after(milliseconds(20 + random(40)), [this, agent, &worker] {
            killAgent(agent);
            worker.startDelivery = fake_worker::order_delivery::answered;
        });
        break;
    case 11:
        loseOriginAndReceiver(entry);
        break;
    case 12:
        hideReceiver(entry);
        break;
    case 13:
        stopEntry(entry);
        break;
    case 14: {
        simulated_link &connection = entryLink(entry, otherEntry(entry));
        connection.cutUntil[0] = m_time.steadyNow() + length;
        connection.cutUntil[1] = random(2) == 0 ? m_time.steadyNow() + length : steady_time{};
        break;
    }
    case 15:
        closeEntryLink(entry, otherEntry(entry));
        break;
    case 16:
        m_entries[entry]->cancelsLostUntil = m_time.steadyNow() + length;
        break;
    default:
        worker.renewalDelivery = random(2) == 0 ? fake_worker::order_delivery::delayed : fake_worker::order_delivery::lost;
        m_time.after(length, [&worker] { worker.renewalDelivery = fake_worker::order_delivery::answered; });
        break;
    }
}

std::size_t dispatch_history::otherEntry(std::size_t entry)
{
    return (entry + 1 + random(m_entries.size() - 1)) % m_entries.size();
}

void dispatch_history::rushEntry(std::size_t entry, milliseconds duration, std::optional<std::size_t> receiver)
{
    m_rushedEntry = entry;
    m_rushReceiver = receiver;
    m_rushedUntil = m_time.steadyNow() + duration;
}

bool dispatch_history::isRefusedByRush(std::size_t from, std::size_t to) const
{
    return isRushed() && m_rushReceiver && to == m_rushedEntry && from != *m_rushReceiver;
}

bool dispatch_history::isRushed() const
{
    return m_time.steadyNow() < m_rushedUntil;
}

void dispatch_history::loseOriginAndReceiver(std::size_t origin)
{
    const std::size_t receiver = otherEntry(origin);
    rushEntry(origin, RUSH_TIME, receiver);
    m_time.after(RUSH_TIME, [this, origin, receiver] {
        // The silence counts from the last sign of life.
        m_entries[origin]->afterHeartbeats = [this, origin, receiver] { loseOriginNow(origin, receiver); };
    });
}

void dispatch_history::loseOriginNow(std::size_t origin, std::size_t receiver)
{
    killEntry(origin, true);
    for (const std::unique_ptr<fake_worker> &worker : m_workers) {
        worker->stopDelivery = fake_worker::order_delivery::lost;
    }
    m_time.after(milliseconds(310 + random(40)), [this, receiver] {
        m_entries[receiver]->suspendedUntil = std::max(m_entries[receiver]->suspendedUntil, m_time.steadyNow() + milliseconds(2500));
    });
    m_time.after(milliseconds(2000), [this] {
        for (const std::unique_ptr<fake_worker> &worker : m_workers) {
            worker->stopDelivery = fake_worker::order_delivery::answered;
        }
    });
}

void dispatch_history::hideReceiver(std::size_t origin)
{
    const std::size_t receiver = otherEntry(origin);
    const milliseconds length(400 + random(1300));
    rushEntry(origin, RUSH_TIME + length);
    m_time.after(RUSH_TIME, [this, origin, receiver, length] {
        entryLink(origin, receiver).cutUntil[receiver < origin ? 0 : 1] = m_time.steadyNow() + length;
        m_entries[origin]->cancelsLostUntil = m_time.steadyNow() + length;
    });
}

void dispatch_history::stopEntry(std::size_t index)
{
    const std::shared_ptr<entry_process> entry = m_entries[index];
    entry->runWhenResumed([entry] {
        entry->beginStop();
        entry->dispatcher.tick();
    });
    m_time.after(STOP_TIME, [this, index, entry] {
        entry->runWhenResumed([entry] { entry->dispatcher.expireAllJobs(); });
        m_time.after(milliseconds(50), [this, index, entry] {
            if (m_entries[index] == entry) {
                killEntry(index, false);
            }
        });
    });
}

void dispatch_history::countHandovers(const entry_process &entry)
{
    const handover_origin_counters &origin = entry.origin.counters();
    for (const std::uint64_t count : origin.handedOver) {
        m_result.handedOver += count;
    }
    m_result.givenUp += origin.givenUpSilent + origin.givenUpDisconnected;
    m_result.taken += entry.receiver.counters().taken;
    m_result.endedByReceiver += entry.receiver.counters().ended;
}

void dispatch_history::closeEntryLink(std::size_t one, std::size_t other)
{
    simulated_link &connection = entryLink(one, other);
    if (!connection.isOpen) {
        return;
    }
    connection.isOpen = false;
    for (const auto &[from, to] : {std::pair(m_entries[one], m_entries[other]), std::pair(m_entries[other], m_entries[one])}) {
        from->runWhenResumed([process = from, name = to->introduction.name] {
            process->peerHandler.disconnectPeer(name);
            process->dispatcher.placeWaitingTasks();
        });
    }
}

void dispatch_history::openEntryLinks()
{
    for (std::size_t one = 0; one < m_entries.size(); ++one) {
        for (std::size_t other = one + 1; other < m_entries.size(); ++other) {
            simulated_link &connection = entryLink(one, other);
            if (connection.isOpen || connection.isCut() || !m_entries[one]->isRunning() || !m_entries[other]->isRunning()) {
                continue;
            }
            connection.isOpen = true;
            ++connection.connectionNumber;
            connection.silentSince = {};
            for (const auto &[from, to] : {std::pair(m_entries[one], m_entries[other]), std::pair(m_entries[other], m_entries[one])}) {
                // Queued, so that it follows the loss of the previous connection.
                from->runWhenResumed([process = from, introduction = to->introduction] { process->peerHandler.connectPeer(introduction); });
            }
        }
    }
    m_time.after(milliseconds(100), [this] { openEntryLinks(); });
}

void dispatch_history::closeSilentEntryLinks()
{
    for (std::size_t one = 0; one < m_entries.size(); ++one) {
        for (std::size_t other = one + 1; other < m_entries.size(); ++other) {
            simulated_link &connection = entryLink(one, other);
            const bool isSilent = connection.isCut() || !m_entries[one]->isRunning() || !m_entries[other]->isRunning();
            if (!isSilent) {
                connection.silentSince = {};
            } else if (connection.silentSince == steady_time{}) {
                connection.silentSince = m_time.steadyNow();
            } else if (m_time.steadyNow() >= connection.silentSince + ENTRY_LINK_TIMEOUT) {
                closeEntryLink(one, other);
            }
        }
    }
    m_time.after(milliseconds(50), [this] { closeSilentEntryLinks(); });
}

void dispatch_history::killEntry(std::size_t index, bool isPowerLoss)
{
    const std::shared_ptr<entry_process> entry = m_entries[index];
    if (!entry->isAlive) {
        return;
    }
    entry->isAlive = false;
    countHandovers(*entry);
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other == index) {
            continue;
        }
        const std::uint64_t number = entryLink(index, other).connectionNumber;
        m_time.after(isPowerLoss ? ENTRY_LINK_TIMEOUT : milliseconds(2), [this, index, other, number] {
            if (entryLink(index, other).connectionNumber == number) {
                closeEntryLink(index, other);
            }
        });
    }
    m_endedEntries.push_back(entry);
    // The peer notices a closed socket at once, but a power loss only by the silence of the link.
    const milliseconds detectionDelay = isPowerLoss ? LINK_TIMEOUT : milliseconds(2);
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        simulated_link &connection = link(index, agent);
        m_time.after(detectionDelay, [this, index, agent, number = connection.connectionNumber] {
            if (link(index, agent).connectionNumber == number) {
                closeLink(index, agent);
            }
        });
    }
    const auto requests = std::move(entry->requests);
    entry->requests.clear();
    for (const auto &[request, job] : requests) {
        handleLostRequest(job.first, job.second);
    }
    m_time.after(milliseconds(200 + random(1500)) + (isPowerLoss ? LINK_TIMEOUT : milliseconds(0)), [this, index] { startEntry(index); });
}

void dispatch_history::killAgent(std::size_t index)
{
    const std::shared_ptr<agent_process> agent = m_agents[index];
    if (!agent->isAlive) {
        return;
    }
    agent->isAlive = false;
    m_endedAgents.push_back(agent);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        closeLink(entry, index);
    }
    const milliseconds downtime = random(3) == 0 ? milliseconds(20 + random(60)) : milliseconds(200 + random(1500));
    m_time.after(downtime, [this, index] { startAgent(index); });
}

void dispatch_history::restartWorker(std::size_t index)
{
    m_formerReports[index].push_back(reportOf(index));
    m_drainedSince[index] = {};
    fake_worker &worker = *m_workers[index];
    const bool keepsName = m_areBootsStated && m_identityRandom() % 2 == 0;
    ++m_workerInstances[index];
    if (keepsName) {
        // A boot knows nothing of the requests that wait at the one before, and cannot tell them from its own.
        worker.restart(worker.name, fake_worker::delayed_requests::lost);
    } else {
        worker.restart("worker-" + std::to_string(index) + '-' + std::to_string(m_workerInstances[index]));
    }
    worker.boot = m_areBootsStated ? m_workerInstances[index] : 0;
    if (random(3) == 0) {
        m_time.after(milliseconds(random(1500)), [this, index] {
            m_drainedSince[index] = m_time.steadyNow();
            m_agents[index]->runWhenResumed([this, index] {
                m_agents[index]->agent.supervisor().handleReport(reportOf(index));
                m_agents[index]->agent.flush();
            });
            m_time.after(seconds(2), [this, index] { restartWorker(index); });
        });
    }
}

void dispatch_history::scheduleMisleadingReports()
{
    if (m_settings.faultInterval.count() == 0 || m_time.steadyNow().time_since_epoch() > seconds(1000) + m_settings.length) {
        return;
    }
    misleadAgent(m_identityRandom() % m_agents.size());
    constexpr std::uint64_t LONGEST_PAUSE_US = 1'000'000;
    m_time.after(microseconds(m_identityRandom() % LONGEST_PAUSE_US), [this] { scheduleMisleadingReports(); });
}

void dispatch_history::scheduleRefusedConnections()
{
    if (m_settings.faultInterval.count() == 0 || m_time.steadyNow().time_since_epoch() > seconds(1000) + m_settings.length) {
        return;
    }
    constexpr std::uint64_t LONGEST_CUT_MS = 2'500;
    constexpr std::uint64_t LONGEST_SHORT_CUT_MS = 150;
    constexpr std::uint64_t LONGEST_PAUSE_US = 4'000'000;
    fake_worker &worker = *m_workers[m_refusalRandom() % m_workers.size()];
    const milliseconds length(m_refusalRandom() % (m_refusalRandom() % 2 == 0 ? LONGEST_CUT_MS : LONGEST_SHORT_CUT_MS));
    worker.isCutOff = true;
    m_time.after(length, [&worker] { worker.isCutOff = false; });
    m_time.after(length + microseconds(m_refusalRandom() % LONGEST_PAUSE_US), [this] { scheduleRefusedConnections(); });
}

void dispatch_history::misleadAgent(std::size_t index)
{
    const std::shared_ptr<agent_process> agent = m_agents[index];
    const std::vector<worker_report> &former = m_formerReports[index];
    worker_report report = reportOf(index);
    const std::uint64_t kind = m_identityRandom() % 4;
    if (kind == 0 && !former.empty()) {
        report = former[m_identityRandom() % former.size()];
    } else if (kind == 1) {
        report.address = "127.0.0.1:2";
    }
    agent->runWhenResumed([agent, report, kind] {
        if (kind == 2) {
            agent->agent.supervisor().handleDeparture(report.workerInstance);
        } else {
            agent->agent.supervisor().handleReport(report);
        }
        agent->agent.flush();
    });
}

void dispatch_history::closeLink(std::size_t entry, std::size_t agent)
{
    simulated_link &connection = link(entry, agent);
    if (!connection.isOpen) {
        return;
    }
    connection.isOpen = false;
    const std::shared_ptr<entry_process> entryProcess = m_entries[entry];
    const std::shared_ptr<agent_process> agentProcess = m_agents[agent];
    entryProcess->runWhenResumed(
        [entryProcess, agentProcess] { entryProcess->peerHandler.disconnectPeer(agentProcess->introduction.name); });
    agentProcess->runWhenResumed([entryProcess, agentProcess] { agentProcess->agent.disconnectEntry(entryProcess->introduction.name); });
}

void dispatch_history::openLinks()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
            simulated_link &connection = link(entry, agent);
            const std::shared_ptr<entry_process> entryProcess = m_entries[entry];
            const std::shared_ptr<agent_process> agentProcess = m_agents[agent];
            if (connection.isOpen || connection.isCut() || !entryProcess->isRunning() || !agentProcess->isRunning()) {
                continue;
            }
            connection.isOpen = true;
            ++connection.connectionNumber;
            connection.silentSince = {};
            entryProcess->peerHandler.connectPeer(agentProcess->introduction);
            agentProcess->agent.connectEntry(entryProcess->introduction);
        }
    }
    m_time.after(milliseconds(100), [this] { openLinks(); });
}

void dispatch_history::closeSilentLinks()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
            simulated_link &connection = link(entry, agent);
            const bool isSilent = connection.isCut() || !m_entries[entry]->isRunning() || !m_agents[agent]->isRunning();
            if (!isSilent) {
                connection.silentSince = {};
            } else if (connection.silentSince == steady_time{}) {
                connection.silentSince = m_time.steadyNow();
            } else if (m_time.steadyNow() >= connection.silentSince + LINK_TIMEOUT) {
                closeLink(entry, agent);
            }
        }
    }
    m_time.after(milliseconds(50), [this] { closeSilentLinks(); });
}

void dispatch_history::checkStart(std::size_t worker, const run_key &run, const task_shape &)
{
    ++m_result.starts;
    if (m_settings.isTraced) {
        std::cout << m_time.steadyNow().time_since_epoch().count() / 1000 - 1'000'000 << " ms " << m_workers[worker]->name << " starts "
                  << run.task << " run " << run.runNumber << '\n';
    }
    caller_job &job = m_jobs[m_byId.at(run.task.substr(0, run.task.find('.')))];
    job.isStarted = true;
    if (job.wasRefusedBeforeStart) {
        recordViolation(run.task + " started after its job was refused");
    }
    std::size_t copies = 0;
    for (const auto &each : m_workers) {
        copies
            += std::count_if(each->active().begin(), each->active().end(), [&run](const run_key &other) { return other.task == run.task; });
    }
    if (copies > 1) {
        recordViolation(run.task + " has two concurrent runs");
    }
    // The fake worker has 4000 millicores, and each task needs 1000.
    constexpr std::size_t MAX_RUNS = 4;
    if (m_workers[worker]->active().size() > MAX_RUNS) {
        recordViolation("worker " + std::to_string(worker) + " runs more tasks than its capacity allows");
    }
    const steady_time drained = m_drainedSince[worker];
    if (drained != steady_time{} && m_agents[worker]->isRunning()
        && m_time.steadyNow() > drained + MAX_START_DELAY_AFTER_DRAIN + REPORT_INTERVAL) {
        recordViolation(run.task + " started on a draining worker");
    }
    const worker_identity identity{m_workers[worker]->name, m_workers[worker]->address, m_workers[worker]->boot};
    const run_outcome outcome = random(50) == 0 ? run_outcome::failed : run_outcome::done;
    const bool isLong = random(8) == 0 || isRushed();
    const auto usual = m_hasPriorities ? static_cast<std::uint64_t>(ESTIMATES[job.priority].count()) : 20 + random(250);
    m_time.after(milliseconds(isLong ? 1200 + random(1200) : usual), [this, worker, run, identity, outcome] {
        fake_worker &runWorker = *m_workers[worker];
        const worker_identity present{runWorker.name, runWorker.address, runWorker.boot};
        if (present != identity || !runWorker.active().contains(run)) {
            return;
        }
        if (outcome == run_outcome::done) {
            m_jobs[m_byId.at(run.task.substr(0, run.task.find('.')))].done.insert(run.task);
        }
        runWorker.finish(run, outcome);
    });
}

void dispatch_history::recordViolation(const std::string &what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(m_time.steadyNow().time_since_epoch() - seconds(1000));
    m_result.violations.push_back(std::to_string(at.count()) + " ms: " + what);
}

std::uint64_t dispatch_history::random(std::uint64_t below)
{
    return m_random() % below;
}

simulated_link &dispatch_history::entryLink(std::size_t one, std::size_t other)
{
    return *m_entryLinks[std::min(one, other) * m_settings.entries + std::max(one, other)];
}

simulated_link &dispatch_history::link(std::size_t entry, std::size_t agent)
{
    return *m_links[entry * m_settings.agents + agent];
}

}
