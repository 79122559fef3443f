#include "testing/fake_node.h"

namespace azuremoor::testing
{

namespace
{

constexpr microseconds ANNOUNCEMENT_INTERVAL = milliseconds(500);

}

fake_node::fake_node(
    fake_node_environment &environment, virtual_time &time, const fake_fleet_settings &settings, fake_node_place place, microseconds skew)
    : m_environment(environment)
    , m_fleetTime(time)
    , m_settings(settings)
    , m_name(std::move(place.name))
    , m_isEntry(place.isEntry)
    , m_dataCentre(std::move(place.dataCentre))
    , m_rack(std::move(place.rack))
    , m_time(time, skew)
{
}

void fake_node::start(std::uint64_t incarnation)
{
    ++m_generation;
    m_up = true;
    m_paused = false;
    m_incarnation = incarnation;
    const fleet_member self{m_name, m_isEntry ? member_role::entry : member_role::agent, incarnation, "127.0.0.1:1", m_dataCentre, m_rack};
    if (m_isEntry) {
        entry_node_settings settings;
        settings.self = self;
        settings.jobs.name = m_name;
        settings.jobs.dataCentre = m_dataCentre;
        settings.jobs.rules = m_settings.rules;
        settings.heartbeat = m_settings.heartbeat;
        settings.recovery.isolationBound = m_settings.isolationBound;
        settings.recovery.rules = m_settings.rules;
        settings.snapshotInterval = m_settings.snapshotInterval;
        settings.agentLossTimeout = m_settings.agentLoss;
        m_entry = std::make_unique<entry_node>(m_time, settings, entry_node_interfaces{*this, *this, *this, *this}, incarnation);
        return;
    }
    agent_node_settings settings;
    settings.self = self;
    settings.heartbeat = m_settings.heartbeat;
    settings.isolationBound = m_settings.isolationBound;
    settings.worker.name = m_name;
    settings.worker.incarnation = incarnation;
    settings.worker.dataCentre = m_dataCentre;
    settings.worker.rack = m_rack;
    settings.worker.rules = m_settings.rules;
    worker_outbox &outbox = *this;
    log_outbox &records = *this;
    m_agent = std::make_unique<agent_node>(m_time, settings, outbox, records, incarnation);
    announce(m_generation);
}

void fake_node::stop()
{
    ++m_generation;
    m_up = false;
    m_paused = false;
    m_entry.reset();
    m_agent.reset();
    m_inbox.clear();
}

void fake_node::pause()
{
    m_paused = m_up;
}

void fake_node::resume()
{
    if (!m_up || !m_paused) {
        return;
    }
    m_paused = false;
    const std::vector<std::function<void()>> waiting = std::move(m_inbox);
    m_inbox.clear();
    for (const auto &event : waiting) {
        if (m_up) {
            event();
        }
    }
}

void fake_node::setLogCut(bool isCut)
{
    m_logCut = isCut;
}

void fake_node::run(std::function<void()> event)
{
    if (m_paused) {
        m_inbox.push_back(std::move(event));
    } else {
        event();
    }
}

void fake_node::receive(const std::string &from, const message &value)
{
    if (!m_paused) {
        handle(from, value);
        return;
    }
    m_inbox.push_back([this, generation = m_generation, from, value] {
        if (m_generation == generation) {
            handle(from, value);
        }
    });
}

hello fake_node::introduction() const
{
    return m_entry != nullptr ? m_entry->helloMessage() : m_agent->helloMessage();
}

bool fake_node::isEntry() const
{
    return m_isEntry;
}

bool fake_node::isUp() const
{
    return m_up;
}

bool fake_node::isPaused() const
{
    return m_paused;
}

bool fake_node::isLogCut() const
{
    return m_logCut;
}

bool fake_node::isUpSince(std::uint64_t generation) const
{
    return m_up && m_generation == generation;
}

std::uint64_t fake_node::generation() const
{
    return m_generation;
}

std::uint64_t fake_node::incarnation() const
{
    return m_incarnation;
}

const std::string &fake_node::dataCentre() const
{
    return m_dataCentre;
}

entry_node *fake_node::entry() const
{
    return m_entry.get();
}

agent_node *fake_node::agent() const
{
    return m_agent.get();
}

void fake_node::send(const std::string &peer, message value)
{
    m_environment.transmit(m_name, peer, std::move(value));
}

void fake_node::append(const std::string &recordId, const std::string &body)
{
    m_environment.appendRecord(m_name, recordId, body);
}

void fake_node::answer(std::uint64_t requestId, const job_reply &reply)
{
    m_environment.takeReply(m_name, requestId, reply);
}

void fake_node::taskEnded(verdict, microseconds, microseconds)
{
}

void fake_node::jobEnded(reply_kind, microseconds, microseconds)
{
}

void fake_node::callUpstream(const upstream_call &call)
{
    m_environment.callUpstream(m_name, call);
}

void fake_node::announce(std::uint64_t generation)
{
    if (!isUpSince(generation)) {
        return;
    }
    if (!m_paused) {
        m_agent->worker().handleAnnouncement(
            {"upstream-" + m_name, "http://127.0.0.1:1/run", {{"kind", "any"}}, m_settings.slots, m_settings.slots, {}});
    }
    m_fleetTime.after(ANNOUNCEMENT_INTERVAL, [this, generation] { announce(generation); });
}

void fake_node::handle(const std::string &from, const message &value)
{
    if (m_entry != nullptr) {
        m_entry->handle(from, value);
        m_entry->flush();
    } else if (m_agent != nullptr) {
        m_agent->handle(from, value);
    }
}

}
