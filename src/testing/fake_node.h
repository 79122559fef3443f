#ifndef AZUREMOOR_TESTING_FAKE_NODE_H
#define AZUREMOOR_TESTING_FAKE_NODE_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "nodes/agent_node.h"
#include "nodes/entry_node.h"
#include "testing/fake_fleet_settings.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// Connects a node of a fake fleet to the other nodes, the log, the callers and the upstreams.
class fake_node_environment
{
public:
    virtual ~fake_node_environment() = default;

    /// Sends a message between two nodes, which may be the same.
    virtual void transmit(const std::string &from, const std::string &to, message value) = 0;

    /// Appends a record to the log for the node.
    virtual void appendRecord(const std::string &node, const std::string &recordId, const std::string &body) = 0;

    /// Takes the reply that the entry gives to a caller.
    virtual void takeReply(const std::string &entry, std::uint64_t requestId, const job_reply &reply) = 0;

    /// Calls the upstream of the agent.
    virtual void callUpstream(const std::string &agent, const upstream_call &call) = 0;
};

/// Where a process runs, and its role.
struct fake_node_place {
    std::string name;
    bool isEntry = false;
    std::string dataCentre;
    std::string rack;
};

/// One process of a fake fleet: its decision objects while it is up, and whether it is paused or cut from the log.
class fake_node : private log_outbox, private caller_outbox, private job_observer, private worker_outbox
{
public:
    /// The skew is the constant difference of the process's wall clock from the true time.
    fake_node(fake_node_environment &environment,
              virtual_time &time,
              const fake_fleet_settings &settings,
              fake_node_place place,
              microseconds skew);

    /// Starts the process with new decision objects.
    void start(std::uint64_t incarnation);

    /// Ends the process at once.
    void stop();

    /// Stops the process without its noticing, if it is up. Events wait until it is resumed.
    void pause();

    /// Lets a paused process go on with the events that have waited.
    void resume();

    /// Cuts and mends the way of the process to the log.
    void setLogCut(bool isCut);

    /// Runs an event of the process, after it is resumed if it is paused.
    void run(std::function<void()> event);

    /// Handles a message, after the process is resumed if it is paused. A message that waits is lost if the process ends.
    void receive(const std::string &from, const message &value);

    /// Returns the message with which the process introduces itself to a peer.
    hello introduction() const;

    bool isEntry() const;
    bool isUp() const;
    bool isPaused() const;
    bool isLogCut() const;

    /// Returns whether the process is up and has not ended since it had the generation.
    bool isUpSince(std::uint64_t generation) const;

    /// Returns a number that rises with every start and end of the process.
    std::uint64_t generation() const;

    std::uint64_t incarnation() const;
    const std::string &dataCentre() const;

    /// Returns the decision objects of an entry or of an agent; nullptr while the process is down, and for the other role.
    entry_node *entry() const;
    agent_node *agent() const;

private:
    void send(const std::string &peer, message value) override;
    void append(const std::string &recordId, const std::string &body) override;
    void answer(std::uint64_t requestId, const job_reply &reply) override;
    void taskEnded(verdict outcome, microseconds waited, microseconds ran) override;
    void jobEnded(reply_kind kind, microseconds took, microseconds longestRun) override;
    void callUpstream(const upstream_call &call) override;

    void announce(std::uint64_t generation);
    void handle(const std::string &from, const message &value);

    fake_node_environment &m_environment;
    virtual_time &m_fleetTime;
    const fake_fleet_settings &m_settings;
    std::string m_name;
    bool m_isEntry;
    std::string m_dataCentre;
    std::string m_rack;
    node_time m_time;
    bool m_up = false;
    bool m_paused = false;
    bool m_logCut = false;
    std::uint64_t m_generation = 0;
    std::uint64_t m_incarnation = 0;
    std::unique_ptr<entry_node> m_entry;
    std::unique_ptr<agent_node> m_agent;
    /// What waits for a paused process.
    std::vector<std::function<void()>> m_inbox;
};

/// The nodes of a fake fleet by name.
using fake_node_map = std::map<std::string, std::unique_ptr<fake_node>>;

}

#endif
