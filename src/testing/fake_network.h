#ifndef AZUREMOOR_TESTING_FAKE_NETWORK_H
#define AZUREMOOR_TESTING_FAKE_NETWORK_H

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "testing/fake_fleet_settings.h"
#include "testing/fake_node.h"
#include "testing/job_trace.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// What happens to a message on its way.
enum class delivery_fault {
    none,
    lost,
    doubled,
    /// Arrives long after messages that were sent later.
    delayed,
};

/// The connections between the nodes of a fake fleet, over which messages take time and may be faulted.
class fake_network
{
public:
    using fault_function = std::function<delivery_fault(const std::string &from, const std::string &to, const message &value)>;

    /// All referenced objects must outlive the network.
    fake_network(virtual_time &time,
                 std::mt19937_64 &random,
                 const fake_fleet_settings &settings,
                 const fake_node_map &nodes,
                 const job_trace &trace);

    /// Connects the node to all others, after the time that connecting takes.
    void connectAll(const std::string &name);

    /// Ends the connections of the node.
    void disconnectAll(const std::string &name);

    /// Cuts and mends the connection between two nodes.
    void cut(const std::string &left, const std::string &right);
    void mend(const std::string &left, const std::string &right);

    /// Sets what happens to messages.
    void setFaults(fault_function faults);

    /// Sends a message between two nodes, which may be the same.
    void transmit(const std::string &from, const std::string &to, message value);

    /// Returns the number of messages that were sent between nodes, heartbeats left out.
    std::uint64_t messages() const;

private:
    void connect(const std::string &left, const std::string &right);
    void disconnect(const std::string &left, const std::string &right);
    void introduce(const std::string &to, const std::string &from);
    void drop(const std::string &at, const std::string &peer);
    bool isLinked(const std::string &left, const std::string &right) const;
    void deliver(const std::string &from, const std::string &to, const message &value);
    microseconds delayBetween(const std::string &from, const std::string &to) const;
    static std::pair<std::string, std::string> linkKey(const std::string &left, const std::string &right);

    virtual_time &m_time;
    std::mt19937_64 &m_random;
    const fake_fleet_settings &m_settings;
    const fake_node_map &m_nodes;
    const job_trace &m_trace;
    std::set<std::pair<std::string, std::string>> m_links;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<std::pair<std::string, std::string>, steady_time> m_lastArrival;
    fault_function m_faults;
    std::uint64_t m_messages = 0;
};

}

#endif
