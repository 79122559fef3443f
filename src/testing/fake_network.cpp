#include "testing/fake_network.h"

#include <algorithm>

namespace azuremoor::testing
{

namespace
{

constexpr microseconds SHORTEST_LATENESS = milliseconds(200);
constexpr microseconds LONGEST_LATENESS = milliseconds(6000);
constexpr microseconds PIPE_LATENCY{10};

bool isHeartbeat(const message &value)
{
    return std::holds_alternative<ping>(value) || std::holds_alternative<pong>(value);
}

}

fake_network::fake_network(
    virtual_time &time, std::mt19937_64 &random, const fake_fleet_settings &settings, const fake_node_map &nodes, const job_trace &trace)
    : m_time(time)
    , m_random(random)
    , m_settings(settings)
    , m_nodes(nodes)
    , m_trace(trace)
{
}

void fake_network::connectAll(const std::string &name)
{
    for (const auto &[other, ignored] : m_nodes) {
        const std::string peer = other;
        m_time.after(milliseconds(100), [this, name, peer] { connect(name, peer); });
    }
}

void fake_network::disconnectAll(const std::string &name)
{
    for (const auto &[other, ignored] : m_nodes) {
        disconnect(name, other);
    }
}

void fake_network::cut(const std::string &left, const std::string &right)
{
    m_cuts.insert(linkKey(left, right));
    // A cut is noticed only when nothing has been heard for a while.
    m_time.after(seconds(3), [this, left, right] {
        if (m_cuts.contains(linkKey(left, right))) {
            disconnect(left, right);
        }
    });
}

void fake_network::mend(const std::string &left, const std::string &right)
{
    m_cuts.erase(linkKey(left, right));
    m_time.after(milliseconds(100), [this, left, right] { connect(left, right); });
}

void fake_network::setFaults(fault_function faults)
{
    m_faults = std::move(faults);
}

void fake_network::transmit(const std::string &from, const std::string &to, message value)
{
    if (from == to) {
        const std::uint64_t generation = m_nodes.at(to)->generation();
        m_time.after(PIPE_LATENCY, [this, from, to, generation, value = std::move(value)] {
            if (m_nodes.at(to)->generation() == generation) {
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

std::uint64_t fake_network::messages() const
{
    return m_messages;
}

void fake_network::connect(const std::string &left, const std::string &right)
{
    const fake_node &one = *m_nodes.at(left);
    const fake_node &two = *m_nodes.at(right);
    const bool possible
        = left != right && one.isUp() && two.isUp() && (one.isEntry() || two.isEntry()) && !m_cuts.contains(linkKey(left, right));
    if (!possible || isLinked(left, right)) {
        return;
    }
    m_links.insert(linkKey(left, right));
    introduce(left, right);
    introduce(right, left);
}

void fake_network::disconnect(const std::string &left, const std::string &right)
{
    if (m_links.erase(linkKey(left, right)) == 0) {
        return;
    }
    drop(left, right);
    drop(right, left);
    m_time.after(milliseconds(200), [this, left, right] { connect(left, right); });
}

void fake_network::introduce(const std::string &to, const std::string &from)
{
    fake_node &target = *m_nodes.at(to);
    const hello introduction = m_nodes.at(from)->introduction();
    target.run([&target, introduction] {
        if (target.entry() != nullptr) {
            target.entry()->connectPeer(introduction);
        } else if (target.agent() != nullptr) {
            target.agent()->connectEntry(introduction);
        }
    });
}

void fake_network::drop(const std::string &at, const std::string &peer)
{
    fake_node &target = *m_nodes.at(at);
    if (!target.isUp()) {
        return;
    }
    target.run([&target, peer] {
        if (target.entry() != nullptr) {
            target.entry()->disconnectPeer(peer);
        } else if (target.agent() != nullptr) {
            target.agent()->disconnectEntry(peer);
        }
    });
}

bool fake_network::isLinked(const std::string &left, const std::string &right) const
{
    return m_links.contains(linkKey(left, right));
}

void fake_network::deliver(const std::string &from, const std::string &to, const message &value)
{
    fake_node &target = *m_nodes.at(to);
    m_trace.noteMessage(from, to, target.isUp() ? (target.isPaused() ? " (paused)" : "") : " (down)", value);
    if (target.isUp()) {
        target.receive(from, value);
    }
}

microseconds fake_network::delayBetween(const std::string &from, const std::string &to) const
{
    const bool near = m_nodes.at(from)->dataCentre() == m_nodes.at(to)->dataCentre();
    return near ? m_settings.nearDelay : m_settings.farDelay;
}

std::pair<std::string, std::string> fake_network::linkKey(const std::string &left, const std::string &right)
{
    return left < right ? std::pair(left, right) : std::pair(right, left);
}

}
