#ifndef AZUREMOOR_NODES_AGENT_NODE_H
#define AZUREMOOR_NODES_AGENT_NODE_H

#include <random>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "fleet/control_stream_replica.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/record_publisher.h"
#include "nodes/log_follower.h"
#include "workers/worker_agent.h"

namespace azuremoor
{

/// Names and bounds of one agent.
struct agent_node_settings {
    fleet_member self;
    heartbeat_settings heartbeat;
    microseconds isolationBound = milliseconds(1000);
    worker_agent_settings worker;
};

/**
 * All decision objects of one agent, wired together. Like entry_node, it opens no socket and reads no clock.
 */
class agent_node
{
public:
    agent_node(const time_source &time, agent_node_settings settings, worker_outbox &outbox, log_outbox &log, std::uint64_t seed);

    /// Notes that an entry said who it is on a new connection.
    void connectEntry(const hello &entry);

    /// Notes that the connection to the entry is gone.
    void disconnectEntry(const std::string &entry);

    /// Handles a message from an entry.
    void handle(const std::string &entry, const message &value);

    /// Takes a page of the log, which an agent reads only while it hears no entry. Returns whether the log holds more.
    bool applyLog(const log_page &page);

    /// Returns the offset to read the log from.
    std::uint64_t nextLogOffset() const;

    /// Notes what became of an append.
    void noteAppend(const std::string &recordId, bool acknowledged);

    /// Does what is due by the clock.
    void tick();

    /// Begins a planned stop.
    void beginLeaving();

    /// Returns whether the planned stop is done: no task runs, and the ledger is with another agent or nobody can take it.
    bool hasLeft() const;

    /// Returns what this process says of itself on a new connection.
    hello helloMessage() const;

    /// Returns the entries to be connected to, by name and address.
    std::vector<fleet_member> entries() const;

    worker_agent &worker();
    const worker_agent &worker() const;
    control_stream_replica &stream();
    const control_stream_replica &stream() const;
    const freshness_tracker &guard() const;
    const record_publisher &publisher() const;
    decision_journal &journal();
    const agent_node_settings &settings() const;

private:
    enum class departure_stage {
        none,
        draining,
        handing_over_ledger,
        registering,
        done,
    };

    std::string publish(decltype(fleet_record::body) body);
    void tickRegistration();
    void tickDeparture();
    void sendLedger();
    void handleReceived(const ledger_received &value);

    const time_source &m_time;
    agent_node_settings m_settings;
    std::mt19937_64 m_random;
    worker_outbox &m_outbox;
    decision_journal m_journal;
    freshness_tracker m_guard;
    control_stream_replica m_stream;
    heartbeat_monitor m_heartbeats;
    record_publisher m_publisher;
    log_follower m_log;
    worker_agent m_worker;
    std::vector<std::string> m_connected;
    std::string m_registrationRecordId;
    std::string m_departureRecordId;
    departure_stage m_departureStage = departure_stage::none;
    /// Parts of the ledger that were sent and not confirmed.
    std::uint32_t m_unconfirmedParts = 0;
    bool m_ledgerRefused = false;
    steady_time m_ledgerDeadline;
};

}

#endif
