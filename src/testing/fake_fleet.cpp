#include "testing/fake_fleet.h"

#include <utility>

#include "base/submission_id.h"

namespace azuremoor::testing
{

namespace
{

constexpr microseconds LOG_POLL_INTERVAL = milliseconds(150);

}

fake_fleet::fake_fleet(const fake_fleet_settings &settings)
    : m_settings(settings)
    , m_random(m_settings.seed)
    , m_log(m_time)
    , m_trace(m_time)
    , m_network(m_time, m_random, m_settings, m_nodes, m_trace)
    , m_callers(m_time, m_nodes, m_checker, m_trace, m_settings.skew)
    , m_upstreams(m_time, m_nodes, m_checker, m_trace)
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
    fake_node_environment &environment = *this;
    fake_node_place place{name, isEntry, dataCentre, rack};
    m_nodes[name] = std::make_unique<fake_node>(environment, m_time, m_settings, std::move(place), microseconds(skew(m_random)));
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
            if (!node->isUp() || node->isPaused()) {
                continue;
            }
            ready = ready && (node->isEntry() || node->agent()->worker().acceptsWork());
            for (std::uint32_t shard = 0; node->isEntry() && shard < SHARD_COUNT; ++shard) {
                served += node->entry()->shardStates().state(shard) == shard_state::serving ? 1 : 0;
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
    return m_callers.submit(entryName, job);
}

void fake_fleet::cancel(const std::string &entryName, const std::string &jobId)
{
    m_callers.cancel(entryName, jobId);
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
    if (!target.isUp()) {
        return;
    }
    m_trace.noteEvent(name + " ends");
    target.stop();
    m_network.disconnectAll(name);
}

void fake_fleet::start(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (target.isUp()) {
        return;
    }
    m_trace.noteEvent(name + " starts with incarnation " + std::to_string(m_nextIncarnation));
    target.start(m_nextIncarnation++);
    std::uniform_int_distribution<std::int64_t> phase(0, m_settings.tickInterval.count());
    const std::uint64_t generation = target.generation();
    m_time.after(microseconds(phase(m_random)), [this, name, generation] { tick(name, generation); });
    m_time.after(milliseconds(1), [this, name] { readLog(name); });
    m_network.connectAll(name);
}

void fake_fleet::pause(const std::string &name)
{
    m_nodes.at(name)->pause();
    m_trace.noteEvent(name + " is paused");
}

void fake_fleet::resume(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (target.isUp() && target.isPaused()) {
        m_trace.noteEvent(name + " goes on");
        target.resume();
    }
}

void fake_fleet::stop(const std::string &name)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.isUp() || target.isPaused()) {
        return;
    }
    if (target.isEntry()) {
        target.entry()->beginLeaving();
    } else {
        target.agent()->beginLeaving();
    }
}

void fake_fleet::cut(const std::string &left, const std::string &right)
{
    m_network.cut(left, right);
}

void fake_fleet::mend(const std::string &left, const std::string &right)
{
    m_network.mend(left, right);
}

void fake_fleet::cutLog(const std::string &name)
{
    m_nodes.at(name)->setLogCut(true);
}

void fake_fleet::mendLog(const std::string &name)
{
    m_nodes.at(name)->setLogCut(false);
}

void fake_fleet::trace(const std::string &jobId)
{
    m_trace.follow(jobId);
}

void fake_fleet::setFaults(fault_function faults)
{
    m_network.setFaults(std::move(faults));
}

bool fake_fleet::isUp(const std::string &name) const
{
    return m_nodes.at(name)->isUp();
}

entry_node &fake_fleet::entry(const std::string &name)
{
    return *m_nodes.at(name)->entry();
}

agent_node &fake_fleet::agent(const std::string &name)
{
    return *m_nodes.at(name)->agent();
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
    return m_callers.requests();
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
        if (node->isUp() && node->isEntry() && node->entry()->stream().state().offset() >= offset) {
            offset = node->entry()->stream().state().offset();
            owner = node->entry()->stream().state().ownership(shardOf(jobId)).owner;
        }
    }
    return owner;
}

std::uint64_t fake_fleet::messages() const
{
    return m_network.messages();
}

std::string fake_fleet::startedAt(const std::string &jobId, std::uint32_t index) const
{
    return m_upstreams.startedAt(jobId, index);
}

std::optional<steady_time> fake_fleet::firstStart(const std::string &jobId) const
{
    return m_upstreams.firstStart(jobId);
}

std::string fake_fleet::describe()
{
    std::string text;
    for (const auto &[name, node] : m_nodes) {
        text += name + (node->isUp() ? (node->isPaused() ? " paused" : " up") : " down");
        if (node->entry() != nullptr) {
            text += " " + std::to_string(node->entry()->stream().state().offset()) + " "
                + std::to_string(node->entry()->jobs().openJobCount()) + " " + std::to_string(node->entry()->jobs().placer().waiting())
                + " " + std::to_string(node->entry()->jobs().jobCount());
            for (const shard_epoch &shard : node->entry()->shardStates().ownedShards()) {
                text += std::to_string(static_cast<int>(node->entry()->shardStates().state(shard.shard)));
            }
        }
        if (node->agent() != nullptr) {
            text += " " + std::to_string(node->agent()->worker().ledger().size()) + " "
                + std::to_string(node->agent()->worker().capacity().usedSlots()) + " "
                + std::to_string(node->agent()->worker().isIdle() ? 1 : 0);
        }
        text += ";";
    }
    return text + std::to_string(m_checker.startCount());
}

void fake_fleet::checkAnswered()
{
    m_callers.checkAnswered();
}

void fake_fleet::tick(const std::string &name, std::uint64_t generation)
{
    fake_node &target = *m_nodes.at(name);
    if (!target.isUpSince(generation)) {
        return;
    }
    if (!target.isPaused()) {
        bool left = false;
        if (target.isEntry()) {
            target.entry()->tick();
            left = target.entry()->hasLeft();
            m_trace.noteShard(name, *target.entry());
        } else {
            target.agent()->tick();
            left = target.agent()->hasLeft();
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
    if (!target.isUp()) {
        return;
    }
    const std::uint64_t generation = target.generation();
    const auto again = [this, name, generation] {
        if (m_nodes.at(name)->isUpSince(generation)) {
            readLog(name);
        }
    };
    m_time.after(LOG_POLL_INTERVAL, again);
    const bool alone = target.isEntry() || !target.agent()->freshness().isFresh();
    if (target.isPaused() || target.isLogCut() || !alone) {
        return;
    }
    const std::uint64_t from = target.isEntry() ? target.entry()->log().nextOffset() : target.agent()->nextLogOffset();
    m_log.read(from, [this, name, generation](const log_page &page) {
        fake_node &reader = *m_nodes.at(name);
        if (!reader.isUpSince(generation)) {
            return;
        }
        reader.run([&reader, page] {
            if (reader.isEntry()) {
                reader.entry()->applyLog(page);
            } else {
                reader.agent()->applyLog(page);
            }
        });
    });
}

void fake_fleet::appendRecord(const std::string &name, const std::string &recordId, const std::string &body)
{
    const std::uint64_t generation = m_nodes.at(name)->generation();
    const auto report = [this, name, generation, recordId](bool acknowledged) {
        fake_node &writer = *m_nodes.at(name);
        if (!writer.isUpSince(generation)) {
            return;
        }
        writer.run([&writer, recordId, acknowledged] {
            if (writer.entry() != nullptr) {
                writer.entry()->noteAppend(recordId, acknowledged);
            } else if (writer.agent() != nullptr) {
                writer.agent()->noteAppend(recordId, acknowledged);
            }
        });
    };
    if (m_nodes.at(name)->isLogCut()) {
        m_time.after(milliseconds(5), [report] { report(false); });
        return;
    }
    m_log.append(body, report);
}

void fake_fleet::transmit(const std::string &from, const std::string &to, message value)
{
    m_network.transmit(from, to, std::move(value));
}

void fake_fleet::takeReply(const std::string &entryName, std::uint64_t requestId, const job_reply &reply)
{
    m_callers.takeReply(entryName, requestId, reply);
}

void fake_fleet::callUpstream(const std::string &agentName, const upstream_call &call)
{
    m_upstreams.call(agentName, call);
}

}
