#include "testing/fake_fleet.h"

#include <algorithm>
#include <iostream>

#include "base/submission_id.h"
#include "testing/message_trace.h"

namespace azuremoor::testing
{

namespace
{

constexpr microseconds SHORTEST_LATENESS = milliseconds(200);
constexpr microseconds LONGEST_LATENESS = milliseconds(6000);
constexpr microseconds ANNOUNCEMENT_INTERVAL = milliseconds(500);
constexpr microseconds LOG_POLL_INTERVAL = milliseconds(150);
constexpr microseconds PIPE_LATENCY{10};

bool isHeartbeat(const message &value)
{
    return std::holds_alternative<ping>(value) || std::holds_alternative<pong>(value);
}

}

/// One process: its decision objects while it is up, and its place in the fleet.
class fake_fleet::fake_node : private log_outbox, private caller_outbox, private job_observer, private worker_outbox
{
public:
    fake_node(fake_fleet &fleet, std::string name, bool isEntry, std::string dataCentre, std::string rack, microseconds skew)
        : m_fleet(fleet)
        , m_name(std::move(name))
        , m_isEntry(isEntry)
        , m_dataCentre(std::move(dataCentre))
        , m_rack(std::move(rack))
        , m_time(fleet.m_time, skew)
    {
    }

    void start(std::uint64_t incarnation)
    {
        ++generation;
        up = true;
        paused = false;
        m_incarnation = incarnation;
        const fleet_member self{
            m_name, m_isEntry ? member_role::entry : member_role::agent, incarnation, "127.0.0.1:1", m_dataCentre, m_rack};
        if (m_isEntry) {
            entry_node_settings settings;
            settings.self = self;
            settings.jobs.name = m_name;
            settings.jobs.dataCentre = m_dataCentre;
            settings.jobs.rules = m_fleet.m_settings.rules;
            settings.heartbeat = m_fleet.m_settings.heartbeat;
            settings.recovery.isolationBound = m_fleet.m_settings.isolationBound;
            settings.recovery.rules = m_fleet.m_settings.rules;
            settings.snapshotInterval = m_fleet.m_settings.snapshotInterval;
            settings.agentLossTimeout = m_fleet.m_settings.agentLoss;
            entry = std::make_unique<entry_node>(m_time, settings, entry_node_interfaces{*this, *this, *this, *this}, incarnation);
            return;
        }
        agent_node_settings settings;
        settings.self = self;
        settings.heartbeat = m_fleet.m_settings.heartbeat;
        settings.isolationBound = m_fleet.m_settings.isolationBound;
        settings.worker.name = m_name;
        settings.worker.incarnation = incarnation;
        settings.worker.dataCentre = m_dataCentre;
        settings.worker.rack = m_rack;
        settings.worker.rules = m_fleet.m_settings.rules;
        worker_outbox &outbox = *this;
        log_outbox &records = *this;
        agent = std::make_unique<agent_node>(m_time, settings, outbox, records, incarnation);
        announce(generation);
    }

    void stop()
    {
        ++generation;
        up = false;
        paused = false;
        entry.reset();
        agent.reset();
        inbox.clear();
    }

    void announce(std::uint64_t wanted)
    {
        if (generation != wanted || !up) {
            return;
        }
        if (!paused) {
            agent->worker().handleAnnouncement({"upstream-" + m_name,
                                                "http://127.0.0.1:1/run",
                                                {{"kind", "any"}},
                                                m_fleet.m_settings.slots,
                                                m_fleet.m_settings.slots,
                                                {}});
        }
        m_fleet.m_time.after(ANNOUNCEMENT_INTERVAL, [this, wanted] { announce(wanted); });
    }

    void handle(const std::string &from, const message &value)
    {
        if (entry != nullptr) {
            entry->handle(from, value);
            entry->flush();
        } else if (agent != nullptr) {
            agent->handle(from, value);
        }
    }

    hello introduction() const
    {
        return entry != nullptr ? entry->helloMessage() : agent->helloMessage();
    }

    bool isEntry() const
    {
        return m_isEntry;
    }

    std::uint64_t incarnation() const
    {
        return m_incarnation;
    }

    const std::string &dataCentre() const
    {
        return m_dataCentre;
    }

    bool up = false;
    bool paused = false;
    bool logCut = false;
    std::uint64_t generation = 0;
    std::unique_ptr<entry_node> entry;
    std::unique_ptr<agent_node> agent;
    /// What waits for a paused process.
    std::vector<std::function<void()>> inbox;

private:
    void send(const std::string &peer, message value) override
    {
        m_fleet.transmit(m_name, peer, std::move(value));
    }

    void append(const std::string &recordId, const std::string &body) override
    {
        m_fleet.appendFor(m_name, recordId, body);
    }

    void answer(std::uint64_t requestId, const job_reply &reply) override
    {
        m_fleet.noteAnswer(m_name, requestId, reply);
    }

    void taskEnded(verdict, microseconds, microseconds) override
    {
    }

    void jobEnded(reply_kind, microseconds, microseconds) override
    {
    }

    void callUpstream(const upstream_call &call) override
    {
        m_fleet.callUpstream(m_name, call);
    }

    fake_fleet &m_fleet;
    std::string m_name;
    bool m_isEntry;
    std::string m_dataCentre;
    std::string m_rack;
    node_time m_time;
    std::uint64_t m_incarnation = 0;
};

fake_fleet::fake_fleet(const fake_fleet_settings &settings)
    : m_settings(settings)
    , m_random(m_settings.seed)
    , m_log(m_time)
{
    for (std::size_t number = 1; number <= m_settings.entries; ++number) {
        addNode("entry-" + std::to_string(number), true, number);
    }
    for (std::size_t number = 1; number <= m_settings.agents; ++number) {
        addNode("agent-" + std::to_string(number), false, number);
    }
    std::vector<std::string> names;
    for (const auto &[name, node] : m_nodes) {
        names.push_back(name);
    }
    for (const std::string &name : names) {
        start(name);
    }
}

fake_fleet::~fake_fleet() = default;

void fake_fleet::addNode(const std::string &name, bool isEntry, std::size_t number)
{
    const std::string dataCentre = "dc-" + std::to_string(number % m_settings.dataCentres);
    const std::string rack = dataCentre + "-rack-" + std::to_string(number / 3);
    std::uniform_int_distribution<std::int64_t> skew(-m_settings.skew.count(), m_settings.skew.count());
    m_nodes[name] = std::make_unique<fake_node>(*this, name, isEntry, dataCentre, rack, microseconds(skew(m_random)));
}

void fake_fleet::run(microseconds duration)
{
    m_time.run(duration);
}

bool fake_fleet::runUntilReady(microseconds most)
{
    const steady_time end = m_time.steadyNow() + most;
    while (m_time.steadyNow() < end) {
        run(milliseconds(50));
        bool ready = true;
        std::size_t served = 0;
        for (const auto &[name, node] : m_nodes) {
            if (!node->up || node->paused) {
                continue;
            }
            ready = ready && (node->isEntry() || node->agent->worker().acceptsWork());
            for (std::uint32_t shard = 0; node->isEntry() && shard < SHARD_COUNT; ++shard) {
                served += node->entry->shardStates().state(shard) == shard_state::serving ? 1 : 0;
            }
        }
        if (ready && served == SHARD_COUNT) {
            return true;
        }
    }
    return false;
}

std::size_t fake_fleet::submit(const std::string &entryName, const job_request &job)
{
    fake_node &target = *m_nodes.at(entryName);
    m_requests.push_back({job, entryName, target.incarnation(), m_time.steadyNow(), false, {}});
    const std::size_t position = m_requests.size() - 1;
    if (!target.up) {
        return position;
    }
    const auto submitNow = [this, entryName, job, position] {
        fake_node &now = *m_nodes.at(entryName);
        // The number of the request is known before any reply can come: replies travel by message.
        const std::uint64_t requestId = now.entry->gateway().submit(job);
        m_requestIndex[{entryName, now.incarnation(), requestId}] = position;
    };
    if (target.paused) {
        target.inbox.push_back(submitNow);
    } else {
        submitNow();
    }
    return position;
}

void fake_fleet::cancel(const std::string &entryName, const std::string &jobId)
{
    fake_node &target = *m_nodes.at(entryName);
    if (target.up && !target.paused) {
        target.entry->gateway().query(jobId, true);
    }
}

job_request fake_fleet::makeJob(std::size_t tasks, microseconds runTime, microseconds deadline)
{
    job_request job;
    job.id = makeSubmissionId(m_time.unixNow(), m_random);
    job.team = "default";
    job.deadlineMilliseconds = unixMilliseconds(m_time.unixNow() + deadline);
    for (std::size_t index = 0; index < tasks; ++index) {
        job.tasks.push_back({"task-" + std::to_string(index), std::to_string(runTime.count()), false, {}});
    }
    return job;
}

void fake_fleet::kill(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.up) {
        return;
    }
    if (!m_traced.empty()) {
        traceEvent(name + " ends");
    }
    target.stop();
    for (const auto &[other, ignored] : m_nodes) {
        disconnect(name, other);
    }
}

void fake_fleet::start(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (target.up) {
        return;
    }
    if (!m_traced.empty()) {
        traceEvent(name + " starts with incarnation " + std::to_string(m_nextIncarnation));
    }
    target.start(m_nextIncarnation++);
    std::uniform_int_distribution<std::int64_t> phase(0, m_settings.tickInterval.count());
    const std::uint64_t generation = target.generation;
    m_time.after(microseconds(phase(m_random)), [this, name, generation] { tick(name, generation); });
    m_time.after(milliseconds(1), [this, name] { readLog(name); });
    connectAll(name);
}

void fake_fleet::pause(const std::string &name)
{
    m_nodes.at(name)->paused = m_nodes.at(name)->up;
    if (!m_traced.empty()) {
        traceEvent(name + " is paused");
    }
}

void fake_fleet::resume(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.up || !target.paused) {
        return;
    }
    target.paused = false;
    if (!m_traced.empty()) {
        traceEvent(name + " goes on");
    }
    const std::vector<std::function<void()>> waiting = std::move(target.inbox);
    target.inbox.clear();
    for (const auto &function : waiting) {
        if (target.up) {
            function();
        }
    }
}

void fake_fleet::stop(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.up || target.paused) {
        return;
    }
    if (target.isEntry()) {
        target.entry->beginLeaving();
    } else {
        target.agent->beginLeaving();
    }
}

void fake_fleet::cut(const std::string &left, const std::string &right)
{
    m_cuts.insert(linkKey(left, right));
    // A cut is noticed only when nothing has been heard for a while.
    m_time.after(seconds(3), [this, left, right] {
        if (m_cuts.contains(linkKey(left, right))) {
            disconnect(left, right);
        }
    });
}

void fake_fleet::mend(const std::string &left, const std::string &right)
{
    m_cuts.erase(linkKey(left, right));
    m_time.after(milliseconds(100), [this, left, right] { connect(left, right); });
}

void fake_fleet::cutLog(const std::string &name)
{
    m_nodes.at(name)->logCut = true;
}

void fake_fleet::mendLog(const std::string &name)
{
    m_nodes.at(name)->logCut = false;
}

void fake_fleet::trace(const std::string &jobId)
{
    m_traced = jobId;
}

void fake_fleet::traceCustody(const std::string &name)
{
    if (m_traced.empty()) {
        return;
    }
    const entry_node &entry = *m_nodes.at(name)->entry;
    const std::uint32_t shard = shardOf(m_traced);
    const shard_ownership &ownership = entry.stream().state().ownership(shard);
    const auto horizon = entry.shardStates().evidenceLostBefore(shard);
    const std::string custody = "sees owner " + ownership.owner + " epoch " + std::to_string(ownership.epoch)
        + (ownership.handedOver ? " handed over" : "") + ", own state " + std::to_string(static_cast<int>(entry.shardStates().state(shard)))
        + ", horizon "
        + (horizon ? std::to_string(unixMilliseconds(*horizon) - unixMilliseconds(virtual_time::unixAt(steady_time(seconds(1000)))))
                   : "none");
    if (m_tracedCustody[name] != custody) {
        m_tracedCustody[name] = custody;
        traceEvent(name + " " + custody);
    }
}

void fake_fleet::traceEvent(const std::string &line) const
{
    std::cout << (m_time.steadyNow().time_since_epoch().count() - 1'000'000'000) / 1000 << " ms " << line << std::endl;
}

void fake_fleet::setFaults(fault_function faults)
{
    m_faults = std::move(faults);
}

bool fake_fleet::isUp(const std::string &name) const
{
    return m_nodes.at(name)->up;
}

entry_node &fake_fleet::entry(const std::string &name)
{
    return *m_nodes.at(name)->entry;
}

agent_node &fake_fleet::agent(const std::string &name)
{
    return *m_nodes.at(name)->agent;
}

std::vector<std::string> fake_fleet::entryNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : m_nodes) {
        if (node->isEntry()) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> fake_fleet::agentNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : m_nodes) {
        if (!node->isEntry()) {
            names.push_back(name);
        }
    }
    return names;
}

fake_log &fake_fleet::log()
{
    return m_log;
}

virtual_time &fake_fleet::time()
{
    return m_time;
}

invariant_checker &fake_fleet::checker()
{
    return m_checker;
}

std::vector<caller_request> &fake_fleet::requests()
{
    return m_requests;
}

std::mt19937_64 &fake_fleet::random()
{
    return m_random;
}

std::string fake_fleet::ownerOf(const std::string &jobId)
{
    std::string owner;
    std::uint64_t offset = 0;
    for (const auto &[name, node] : m_nodes) {
        if (node->up && node->isEntry() && node->entry->stream().state().offset() >= offset) {
            offset = node->entry->stream().state().offset();
            owner = node->entry->stream().state().ownership(shardOf(jobId)).owner;
        }
    }
    return owner;
}

std::uint64_t fake_fleet::messages() const
{
    return m_messages;
}

std::string fake_fleet::startedAt(const std::string &jobId, std::uint32_t index) const
{
    const auto found = m_startedAt.find({jobId, index});
    return found == m_startedAt.end() ? std::string() : found->second;
}

std::optional<steady_time> fake_fleet::firstStart(const std::string &jobId) const
{
    const auto found = m_firstStart.find(jobId);
    return found == m_firstStart.end() ? std::nullopt : std::optional(found->second);
}

std::string fake_fleet::describe()
{
    std::string text;
    for (const auto &[name, node] : m_nodes) {
        text += name + (node->up ? (node->paused ? " paused" : " up") : " down");
        if (node->entry != nullptr) {
            text += " " + std::to_string(node->entry->stream().state().offset()) + " " + std::to_string(node->entry->jobs().openJobCount())
                + " " + std::to_string(node->entry->jobs().placer().waiting()) + " " + std::to_string(node->entry->jobs().jobCount());
            for (const shard_epoch &shard : node->entry->shardStates().ownedShards()) {
                text += std::to_string(static_cast<int>(node->entry->shardStates().state(shard.shard)));
            }
        }
        if (node->agent != nullptr) {
            text += " " + std::to_string(node->agent->worker().ledger().size()) + " "
                + std::to_string(node->agent->worker().capacity().usedSlots()) + " "
                + std::to_string(node->agent->worker().isIdle() ? 1 : 0);
        }
        text += ";";
    }
    return text + std::to_string(m_checker.startCount());
}

void fake_fleet::checkAnswered()
{
    for (const caller_request &request : m_requests) {
        const fake_node &at = *m_nodes.at(request.entry);
        const unix_time latest = fromUnixMilliseconds(request.job.deadlineMilliseconds) + milliseconds(100) + m_settings.skew;
        const bool due = m_time.unixNow() > latest;
        if (due && !request.answered && at.up && !at.paused && at.incarnation() == request.incarnation) {
            m_checker.fail("the request for " + request.job.id + " at " + request.entry + " has no answer after its deadline");
        }
    }
}

void fake_fleet::tick(const std::string &name, std::uint64_t generation)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.up || target.generation != generation) {
        return;
    }
    if (!target.paused) {
        bool left = false;
        if (target.isEntry()) {
            target.entry->tick();
            left = target.entry->hasLeft();
            traceCustody(name);
        } else {
            target.agent->tick();
            left = target.agent->hasLeft();
        }
        if (left) {
            kill(name);
            return;
        }
    }
    m_time.after(m_settings.tickInterval, [this, name, generation] { tick(name, generation); });
}

void fake_fleet::readLog(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.up) {
        return;
    }
    const std::uint64_t generation = target.generation;
    const auto again = [this, name, generation] {
        if (m_nodes.at(name)->up && m_nodes.at(name)->generation == generation) {
            readLog(name);
        }
    };
    m_time.after(LOG_POLL_INTERVAL, again);
    const bool alone = target.isEntry() || !target.agent->freshness().isFresh();
    if (target.paused || target.logCut || !alone) {
        return;
    }
    const std::uint64_t from = target.isEntry() ? target.entry->log().nextOffset() : target.agent->nextLogOffset();
    m_log.read(from, [this, name, generation](const log_page &page) {
        fake_node &reader = *m_nodes.at(name);
        if (!reader.up || reader.generation != generation) {
            return;
        }
        const auto apply = [&reader, page] {
            if (reader.isEntry()) {
                reader.entry->applyLog(page);
            } else {
                reader.agent->applyLog(page);
            }
        };
        if (reader.paused) {
            reader.inbox.push_back(apply);
        } else {
            apply();
        }
    });
}

void fake_fleet::connectAll(const std::string &name)
{
    for (const auto &[other, ignored] : m_nodes) {
        const std::string peer = other;
        m_time.after(milliseconds(100), [this, name, peer] { connect(name, peer); });
    }
}

void fake_fleet::connect(const std::string &left, const std::string &right)
{
    fake_node &one = *m_nodes.at(left);
    fake_node &two = *m_nodes.at(right);
    const bool possible = left != right && one.up && two.up && (one.isEntry() || two.isEntry()) && !m_cuts.contains(linkKey(left, right));
    if (!possible || isLinked(left, right)) {
        return;
    }
    m_links.insert(linkKey(left, right));
    const auto introduce = [this](const std::string &to, const std::string &from) {
        fake_node &target = *m_nodes.at(to);
        const hello introduction = m_nodes.at(from)->introduction();
        const auto note = [&target, introduction] {
            if (target.entry != nullptr) {
                target.entry->connectPeer(introduction);
            } else if (target.agent != nullptr) {
                target.agent->connectEntry(introduction);
            }
        };
        if (target.paused) {
            target.inbox.push_back(note);
        } else {
            note();
        }
    };
    introduce(left, right);
    introduce(right, left);
}

void fake_fleet::disconnect(const std::string &left, const std::string &right)
{
    if (m_links.erase(linkKey(left, right)) == 0) {
        return;
    }
    const auto drop = [this](const std::string &at, const std::string &peer) {
        fake_node &target = *m_nodes.at(at);
        if (!target.up) {
            return;
        }
        const auto note = [&target, peer] {
            if (target.entry != nullptr) {
                target.entry->disconnectPeer(peer);
            } else if (target.agent != nullptr) {
                target.agent->disconnectEntry(peer);
            }
        };
        if (target.paused) {
            target.inbox.push_back(note);
        } else {
            note();
        }
    };
    drop(left, right);
    drop(right, left);
    m_time.after(milliseconds(200), [this, left, right] { connect(left, right); });
}

bool fake_fleet::isLinked(const std::string &left, const std::string &right) const
{
    return m_links.contains(linkKey(left, right));
}

void fake_fleet::transmit(const std::string &from, const std::string &to, message value)
{
    if (from == to) {
        const std::uint64_t generation = m_nodes.at(to)->generation;
        m_time.after(PIPE_LATENCY, [this, from, to, generation, value = std::move(value)] {
            if (m_nodes.at(to)->generation == generation) {
                deliver(from, to, value);
            }
        });
        return;
    }
    if (!m_nodes.contains(to) || !isLinked(from, to) || m_cuts.contains(linkKey(from, to))) {
        return;
    }
    m_messages += isHeartbeat(value) ? 0 : 1;
    const delivery_fault fault = m_faults ? m_faults(from, to, value) : delivery_fault::none;
    if (fault == delivery_fault::lost) {
        return;
    }
    if (fault == delivery_fault::delayed || fault == delivery_fault::doubled) {
        std::uniform_int_distribution<std::int64_t> late(SHORTEST_LATENESS.count(), LONGEST_LATENESS.count());
        m_time.after(microseconds(late(m_random)), [this, from, to, value] { deliver(from, to, value); });
    }
    if (fault == delivery_fault::delayed) {
        return;
    }
    // A connection keeps the order of its messages.
    steady_time &last = m_lastArrival[{from, to}];
    last = std::max(last, m_time.steadyNow() + delayBetween(from, to));
    m_time.after(last - m_time.steadyNow(), [this, from, to, value = std::move(value)] {
        if (!m_cuts.contains(linkKey(from, to))) {
            deliver(from, to, value);
        }
    });
}

void fake_fleet::deliver(const std::string &from, const std::string &to, const message &value)
{
    fake_node &target = *m_nodes.at(to);
    const std::string line = m_traced.empty() ? std::string() : traceLine(value, m_traced);
    if (!line.empty()) {
        traceEvent(from + " -> " + to + (target.up ? (target.paused ? " (paused)" : "") : " (down)") + ": " + line);
    }
    if (!target.up) {
        return;
    }
    if (target.paused) {
        const std::uint64_t generation = target.generation;
        target.inbox.push_back([&target, generation, from, value] {
            if (target.generation == generation) {
                target.handle(from, value);
            }
        });
        return;
    }
    target.handle(from, value);
}

void fake_fleet::appendFor(const std::string &name, const std::string &recordId, const std::string &body)
{
    const std::uint64_t generation = m_nodes.at(name)->generation;
    const auto report = [this, name, generation, recordId](bool acknowledged) {
        fake_node &writer = *m_nodes.at(name);
        if (!writer.up || writer.generation != generation) {
            return;
        }
        const auto note = [&writer, recordId, acknowledged] {
            if (writer.entry != nullptr) {
                writer.entry->noteAppend(recordId, acknowledged);
            } else if (writer.agent != nullptr) {
                writer.agent->noteAppend(recordId, acknowledged);
            }
        };
        if (writer.paused) {
            writer.inbox.push_back(note);
        } else {
            note();
        }
    };
    if (m_nodes.at(name)->logCut) {
        m_time.after(milliseconds(5), [report] { report(false); });
        return;
    }
    m_log.append(body, report);
}

void fake_fleet::callUpstream(const std::string &agentName, const upstream_call &call)
{
    m_checker.noteStart(call.jobId, call.attempt, call.index);
    m_startedAt[{call.jobId, call.index}] = agentName;
    m_firstStart.try_emplace(call.jobId, m_time.steadyNow());
    if (call.jobId == m_traced) {
        traceEvent(agentName + " starts task " + std::to_string(call.index));
    }
    const std::uint64_t generation = m_nodes.at(agentName)->generation;
    const microseconds runTime(std::stoll(call.payload));
    const task_outcome outcome{verdict::ran, invariant_checker::answerFor(call.jobId, call.taskName, call.payload), {}};
    m_time.after(runTime, [this, agentName, generation, callId = call.callId, outcome] {
        fake_node &target = *m_nodes.at(agentName);
        if (!target.up || target.generation != generation) {
            return;
        }
        const auto finish = [&target, callId, outcome] {
            if (target.agent != nullptr) {
                target.agent->worker().finishCall(callId, outcome);
            }
        };
        if (target.paused) {
            target.inbox.push_back(finish);
        } else {
            finish();
        }
    });
}

void fake_fleet::noteAnswer(const std::string &entryName, std::uint64_t requestId, const job_reply &reply)
{
    const auto found = m_requestIndex.find({entryName, m_nodes.at(entryName)->incarnation(), requestId});
    if (found == m_requestIndex.end()) {
        return;
    }
    caller_request &request = m_requests[found->second];
    if (request.answered) {
        m_checker.fail("the request for " + request.job.id + " was answered twice");
    }
    request.answered = true;
    request.reply = reply;
    if (reply.jobId == m_traced) {
        traceEvent(entryName + " answers " + std::to_string(static_cast<int>(reply.kind)) + " verdict "
                   + std::string(verdictName(reply.refusal)) + " " + reply.reason);
    }
    m_checker.noteReply(request.job, reply);
}

microseconds fake_fleet::delayBetween(const std::string &from, const std::string &to)
{
    const bool near = m_nodes.at(from)->dataCentre() == m_nodes.at(to)->dataCentre();
    return near ? m_settings.nearDelay : m_settings.farDelay;
}

std::pair<std::string, std::string> fake_fleet::linkKey(const std::string &left, const std::string &right)
{
    return left < right ? std::pair(left, right) : std::pair(right, left);
}

}
