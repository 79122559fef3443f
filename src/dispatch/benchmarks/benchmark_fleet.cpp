#include "dispatch/benchmarks/benchmark_fleet.h"

#include <algorithm>

#include "dispatch/job_dispatcher.h"
#include "runs/run_agent.h"

namespace azuremoor::benchmarks
{

namespace
{

constexpr microseconds LOCAL_TRANSIT{300};
constexpr microseconds REMOTE_TRANSIT{1500};
constexpr microseconds TICK_INTERVAL = milliseconds(15);
constexpr microseconds HEARTBEAT_INTERVAL = milliseconds(100);

/// Time for the first heartbeats and leases, before jobs arrive.
constexpr microseconds WARM_UP = milliseconds(500);

/// Time for which callers wait.
constexpr microseconds CALLER_PATIENCE = milliseconds(1500);

constexpr std::size_t PAYLOAD_BYTES = 1000;

/// Rate that placement assumes of a link without limit: 50 Mbit/s.
constexpr double DEFAULT_LINK_BITS_PER_SECOND = 50e6;

constexpr double BITS_PER_BYTE = 8;
constexpr double MICROSECONDS_PER_SECOND = 1e6;

/// Returns the rate in bytes per microsecond.
double byteRate(double bitsPerSecond)
{
    return bitsPerSecond / BITS_PER_BYTE / MICROSECONDS_PER_SECOND;
}

route routeOf(const benchmark_kind &kind)
{
    route result;
    result.name = kind.name;
    result.service = "desk";
    result.priority = kind.priority;
    result.maxAttempts = 3;
    result.slackFactor = 1.6;
    result.targetLatency = milliseconds(60);
    return result;
}

std::string agentName(std::size_t index)
{
    return "agent-" + std::to_string(index);
}

std::string entryName(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

/// Returns the number at the end of a node's name.
std::size_t indexOf(const std::string &name)
{
    return std::stoul(name.substr(name.find('-') + 1));
}

/// Returns the position in the load of the job with the identifier, which starts the names of its tasks.
std::size_t jobOf(const std::string &task)
{
    return std::stoul(task);
}

}

/// The decision objects of an entry.
class benchmark_fleet::entry_process : public peer_outbox, public answer_sink
{
public:
    entry_process(benchmark_fleet &fleet, std::size_t index, const placement_factory &makePlacement, bool reservesCapacity)
        : introduction{entryName(index), member_role::entry, index + 1, fleet.m_load.entries[index], ""}
        , m_fleet(fleet)
        , m_journal(fleet.m_time)
        , m_pool(fleet.m_time, {}, *this, m_journal)
        , m_placement(makePlacement(fleet.m_time, introduction.dataCentre, index + 1, byteRate(assumedLink(fleet.m_load))))
        , m_planner(fleet.m_time, m_pool, *this, m_journal)
        , m_link(fleet.m_time, fleet.m_load.linkBitsPerSecond)
        , m_dispatcher(
              fleet.m_time, m_pool, *m_placement, m_admission, m_stragglers, m_localLoad, *this, m_journal, nullptr, nullptr, &m_link)
    {
        m_pool.setListener(m_dispatcher);
        if (reservesCapacity) {
            m_pool.useForecasts();
            m_dispatcher.setReservationPlanner(&m_planner);
        }
        m_dispatcher.setEntryCount(fleet.m_load.entries.size());
    }

    void connect(const hello &agent)
    {
        m_pool.connectAgent(agent);
    }

    void disconnect(const std::string &agent)
    {
        m_pool.disconnectAgent(agent);
    }

    void tick()
    {
        m_pool.tick();
        m_dispatcher.tick();
        m_dispatcher.placeWaitingTasks();
        m_fleet.m_time.after(TICK_INTERVAL, [this] { tick(); });
    }

    void submit(std::size_t index)
    {
        const benchmark_job &job = m_fleet.m_load.jobs[index];
        job_spec spec;
        spec.id = std::to_string(index);
        spec.payload = std::string(PAYLOAD_BYTES, 'x');
        step_spec step;
        step.count = static_cast<std::uint32_t>(job.runTimes.size());
        step.shape = job.shape;
        step.estimate = job.estimate;
        spec.steps = {step};
        const steady_time now = m_fleet.m_time.steadyNow();
        m_dispatcher.submit(index, std::move(spec), routeOf(m_fleet.m_load.kinds[job.kind]), now, now + CALLER_PATIENCE);
        m_dispatcher.placeWaitingTasks();
    }

    void receive(const std::string &agent, const message &value)
    {
        if (const auto *heartbeat = std::get_if<ping>(&value)) {
            m_pool.recordHeartbeat(agent, *heartbeat);
            send(agent, pong{heartbeat->sentMicroseconds, 0, -1, {}, false});
        } else if (const auto *status = std::get_if<worker_status>(&value)) {
            m_pool.updateStatus(agent, *status);
        } else if (const auto *update = std::get_if<room_update>(&value)) {
            m_pool.updateFreeCapacity(agent, *update);
        } else if (const auto *results = std::get_if<run_results>(&value)) {
            m_pool.receiveResults(agent, *results);
        }
        m_dispatcher.placeWaitingTasks();
    }

    void send(const std::string &peer, message value) override;

    void answerRequest(std::uint64_t request, const job_answer &answer) override
    {
        m_fleet.handleAnswer(request, answer);
    }

    const dispatch_counters &counters() const
    {
        return m_dispatcher.counters();
    }

    const hello introduction;

private:
    static double assumedLink(const benchmark_load &load)
    {
        return load.linkBitsPerSecond > 0 ? load.linkBitsPerSecond : DEFAULT_LINK_BITS_PER_SECOND;
    }

    /// Returns the time until the orders have been sent, if they are handed to the link now.
    microseconds sendingTime(const start_runs &orders);

    benchmark_fleet &m_fleet;
    decision_journal m_journal;
    worker_pool m_pool;
    std::unique_ptr<placement_policy> m_placement;
    fair_share_admission m_admission;
    progress_straggler_policy m_stragglers;
    local_load m_localLoad;
    reservation_planner m_planner;
    link_budget m_link;
    /// When the link has sent what was given to it.
    steady_time m_linkFreeAt{};
    job_dispatcher m_dispatcher;
};

/// The decision objects of an agent, and its worker.
class benchmark_fleet::agent_process : public peer_outbox
{
public:
    agent_process(benchmark_fleet &fleet, std::size_t index)
        : introduction{agentName(index), member_role::agent, index + 1, fleet.m_load.machines[index].dataCentre, ""}
        , m_fleet(fleet)
        , m_journal(fleet.m_time)
        , m_worker(fleet.m_time,
                   "worker-" + std::to_string(index),
                   fleet.m_load.machines[index].capacity,
                   fleet.m_load.machines[index].speed,
                   fleet)
        , m_agent(fleet.m_time, {}, m_worker, *this, m_journal, introduction)
    {
        m_worker.setAnswerHandler([this] {
            m_agent.tick();
            m_agent.flush();
        });
        m_agent.supervisor().handleReport(m_worker.report());
    }

    void connect(const hello &entry)
    {
        m_agent.connectEntry(entry);
    }

    /// Tells the entries that the worker takes no new runs.
    void drain()
    {
        m_isLeaving = true;
        m_worker.drain();
        m_agent.supervisor().handleReport(m_worker.report());
        m_agent.flush();
    }

    /// Ends the agent and its worker, so that nothing more is sent or received.
    void leave()
    {
        m_hasLeft = true;
        for (const auto &entry : m_fleet.m_entries) {
            entry->disconnect(introduction.name);
        }
    }

    /// Returns the capacity that new runs could use.
    task_shape freeCapacity() const
    {
        return m_isLeaving ? task_shape{0, 0, 0} : m_worker.freeCapacity();
    }

    void tick()
    {
        if (m_hasLeft) {
            return;
        }
        m_agent.tick();
        m_agent.flush();
        m_fleet.m_time.after(TICK_INTERVAL, [this] { tick(); });
    }

    void sendHeartbeats()
    {
        if (m_hasLeft) {
            return;
        }
        m_agent.sendHeartbeats();
        m_fleet.m_time.after(HEARTBEAT_INTERVAL, [this] { sendHeartbeats(); });
    }

    void receive(const std::string &entry, const message &value)
    {
        if (m_hasLeft) {
            return;
        }
        m_agent.handleMessage(entry, value);
        m_agent.flush();
    }

    void send(const std::string &peer, message value) override
    {
        if (m_hasLeft) {
            return;
        }
        entry_process &entry = *m_fleet.m_entries.at(indexOf(peer));
        const microseconds delay = m_fleet.transitTime(introduction.dataCentre, entry.introduction.dataCentre);
        m_fleet.m_time.after(delay, [this, &entry, value = std::move(value)] { entry.receive(introduction.name, value); });
    }

    const reservation_counters &reservations() const
    {
        return m_agent.reservations().counters();
    }

    const hello introduction;

private:
    benchmark_fleet &m_fleet;
    decision_journal m_journal;
    benchmark_worker m_worker;
    run_agent m_agent;
    bool m_isLeaving = false;
    bool m_hasLeft = false;
};

microseconds benchmark_fleet::entry_process::sendingTime(const start_runs &orders)
{
    if (!m_link.isLimited()) {
        return microseconds(0);
    }
    start_runs batch;
    double bytes = 0;
    for (const run_order &order : orders.orders) {
        bytes += static_cast<double>(bytesOfOrder(batch.orders.empty() ? nullptr : &batch, order).bytes);
        batch.orders.push_back(order);
    }
    const double transfer = bytes / byteRate(m_fleet.m_load.linkBitsPerSecond);
    const steady_time now = m_fleet.m_time.steadyNow();
    m_linkFreeAt = std::max(m_linkFreeAt, now) + microseconds(static_cast<std::int64_t>(transfer));
    return m_linkFreeAt - now;
}

void benchmark_fleet::entry_process::send(const std::string &peer, message value)
{
    microseconds linkDelay(0);
    if (const auto *orders = std::get_if<start_runs>(&value)) {
        linkDelay = sendingTime(*orders);
        std::size_t previous = m_fleet.m_load.jobs.size();
        for (const run_order &order : orders->orders) {
            m_fleet.m_payloads += jobOf(order.task) == previous ? 0 : 1;
            previous = jobOf(order.task);
        }
    }
    agent_process &agent = *m_fleet.m_agents.at(indexOf(peer));
    const microseconds delay = linkDelay + m_fleet.transitTime(introduction.dataCentre, agent.introduction.dataCentre);
    m_fleet.m_time.after(delay, [this, &agent, value = std::move(value)] { agent.receive(introduction.name, value); });
}

benchmark_fleet::benchmark_fleet(const benchmark_load &load, const placement_factory &makePlacement, bool reservesCapacity)
    : m_load(load)
    , m_jobs(load.jobs.size())
    , m_jobWork(load.jobs.size())
    , m_stoppedWork(load.jobs.size())
{
    for (std::size_t index = 0; index < load.entries.size(); ++index) {
        m_entries.push_back(std::make_unique<entry_process>(*this, index, makePlacement, reservesCapacity));
    }
    for (std::size_t index = 0; index < load.machines.size(); ++index) {
        m_agents.push_back(std::make_unique<agent_process>(*this, index));
    }
}

benchmark_fleet::~benchmark_fleet() = default;

benchmark_result benchmark_fleet::run()
{
    connectAll();
    m_time.run(WARM_UP);
    m_begin = m_time.steadyNow();
    scheduleDepartures();
    submitNext();
    m_time.run(m_load.duration + 2 * CALLER_PATIENCE);

    benchmark_result result;
    result.load = m_load.name;
    result.demand = m_load.demand;
    result.jobs = m_jobs;
    result.payloads = m_payloads;
    for (const auto &agent : m_agents) {
        const reservation_counters &counters = agent->reservations();
        result.reservations += counters.made;
        result.usedReservations += counters.ended[static_cast<std::size_t>(reservation_end::used)];
        result.backfilledOrders += counters.backfilled;
    }
    addWork(result);
    for (const auto &entry : m_entries) {
        result.orders += entry->counters().orders;
        result.refusedOrders += entry->counters().refusedOrders;
    }
    return result;
}

microseconds benchmark_fleet::runTimeOf(const std::string &task) const
{
    return m_load.jobs[jobOf(task)].runTimes[std::stoul(task.substr(task.rfind('.') + 1))];
}

void benchmark_fleet::handleStart(const std::string &task)
{
    const std::size_t job = jobOf(task);
    m_jobs[job].wait = m_time.steadyNow() - m_begin - m_load.jobs[job].arrival;
}

void benchmark_fleet::handleEnd(const std::string &task, run_outcome outcome, double work)
{
    m_jobWork[jobOf(task)] += work;
    m_stoppedWork[jobOf(task)] += outcome == run_outcome::done ? 0 : work;
}

void benchmark_fleet::connectAll()
{
    for (const auto &agent : m_agents) {
        for (const auto &entry : m_entries) {
            entry->connect(agent->introduction);
            agent->connect(entry->introduction);
        }
        agent->tick();
        agent->sendHeartbeats();
    }
    for (const auto &entry : m_entries) {
        entry->tick();
    }
}

void benchmark_fleet::submitNext()
{
    while (m_nextJob < m_load.jobs.size() && m_begin + m_load.jobs[m_nextJob].arrival <= m_time.steadyNow()) {
        const std::size_t job = m_nextJob++;
        m_entries[m_load.jobs[job].entry]->submit(job);
    }
    if (m_nextJob < m_load.jobs.size()) {
        m_time.after(m_begin + m_load.jobs[m_nextJob].arrival - m_time.steadyNow(), [this] { submitNext(); });
    }
}

void benchmark_fleet::scheduleDepartures()
{
    for (const benchmark_departure &departure : m_load.departures) {
        agent_process &agent = *m_agents.at(departure.machine);
        m_time.after(departure.time, [&agent] { agent.drain(); });
        m_time.after(departure.time + departure.notice, [&agent] { agent.leave(); });
    }
}

bool benchmark_fleet::areWorkersFreeFor(const benchmark_job &job) const
{
    std::size_t tasks = 0;
    for (const auto &agent : m_agents) {
        task_shape free = agent->freeCapacity();
        while (tasks < job.runTimes.size() && job.shape.fitsInto(free)) {
            free = free.saturatingMinus(job.shape);
            ++tasks;
        }
    }
    return tasks == job.runTimes.size();
}

void benchmark_fleet::handleAnswer(std::size_t job, const job_answer &answer)
{
    const route rule = routeOf(m_load.kinds[m_load.jobs[job].kind]);
    const double criticalPath = rule.slackFactor * static_cast<double>(m_load.jobs[job].estimate.count());
    const microseconds objective = microseconds(static_cast<std::int64_t>(criticalPath)) + rule.targetLatency;
    const microseconds elapsed = m_time.steadyNow() - m_begin - m_load.jobs[job].arrival;
    switch (answer.kind) {
    case answer_kind::completed:
        m_jobs[job].fate = elapsed <= objective ? job_fate::in_time : job_fate::late;
        m_jobs[job].lag = lagOf(m_load.jobs[job], elapsed);
        return;
    case answer_kind::refused_full:
    case answer_kind::refused_unavailable:
        m_jobs[job].fate = job_fate::refused;
        m_jobs[job].isRefusedBesideFree = areWorkersFreeFor(m_load.jobs[job]);
        return;
    default:
        m_jobs[job].fate = job_fate::failed;
    }
}

void benchmark_fleet::addWork(benchmark_result &result) const
{
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        const bool isCompleted = m_jobs[job].fate >= job_fate::late;
        result.work += m_jobWork[job];
        result.lostWork += isCompleted ? m_stoppedWork[job] : m_jobWork[job];
    }
}

microseconds benchmark_fleet::transitTime(const std::string &from, const std::string &to) const
{
    return from == to ? LOCAL_TRANSIT : REMOTE_TRANSIT;
}

}
