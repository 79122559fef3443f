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

/// Identity and configuration of an agent.
struct agent_node_settings {
    fleet_member self;
    heartbeat_settings heartbeat;
    /// Time for which the agent may still act after its latest proof that it knows the current control stream; see freshness_tracker.
    microseconds isolationBound = milliseconds(1000);
    worker_agent_settings worker;
};

/**
 * Combines the classes that make the decisions of an agent and passes messages and events to them. Like entry_node, it opens no sockets
 * and reads the time only from its time_source, so that tests can run it in simulated time.
 */
class agent_node
{
public:
    agent_node(const time_source &time, agent_node_settings settings, worker_outbox &outbox, log_outbox &log, std::uint64_t seed);

    /// Handles the hello of an entry on a new connection.
    void connectEntry(const hello &entry);

    /// Handles the loss of the connection to the entry.
    void disconnectEntry(const std::string &entry);

    /// Handles a message from an entry.
    void handle(const std::string &entry, const message &value);

    /// Applies a page of the log. An agent reads the log only while no entry is connected to it or its view of the control stream
    /// is not fresh. Returns whether the log contains more records.
    bool applyLog(const log_page &page);

    /// Returns the offset at which the next read of the log starts.
    std::uint64_t nextLogOffset() const;

    /// Handles the result of appending a record to the log. `acknowledged` is false if it is not known whether the record was stored.
    void noteAppend(const std::string &recordId, bool acknowledged);

    /// Performs time-dependent work. Must be called regularly.
    void tick();

    /// Starts a planned stop. Does nothing if one is in progress.
    void beginLeaving();

    /// Returns whether the planned stop is complete: no task is running, the handover of the ledger was confirmed, refused
    /// or timed out, and the departure record is in the log or the wait for it timed out.
    bool hasLeft() const;

    /// Returns the hello message that this process sends on a new connection.
    hello helloMessage() const;

    /// Returns the entries to which the agent should connect.
    std::vector<fleet_member> entries() const;

    worker_agent &worker();
    const worker_agent &worker() const;
    control_stream_replica &stream();
    const control_stream_replica &stream() const;
    const freshness_tracker &freshness() const;
    const record_publisher &publisher() const;
    decision_journal &journal();
    const agent_node_settings &settings() const;

private:
    /// Stages of a planned stop, in order.
    enum class departure_stage {
        none,
        draining,
        handing_over_ledger,
        publishing_departure,
        done,
    };

    std::string publish(decltype(fleet_record::body) body);
    void tickRegistration();
    void tickDeparture();
    void sendLedger();
    void handleLedgerReceived(const ledger_received &value);

    const time_source &m_time;
    agent_node_settings m_settings;
    std::mt19937_64 m_random;
    worker_outbox &m_outbox;
    decision_journal m_journal;
    freshness_tracker m_freshness;
    control_stream_replica m_stream;
    heartbeat_monitor m_heartbeats;
    record_publisher m_publisher;
    log_follower m_log;
    worker_agent m_worker;
    std::vector<std::string> m_connected;
    std::string m_registrationRecordId;
    std::string m_departureRecordId;
    departure_stage m_departureStage = departure_stage::none;
    /// Number of parts of the ledger that were sent and not yet confirmed.
    std::uint32_t m_unconfirmedParts = 0;
    bool m_ledgerRefused = false;
    steady_time m_stageDeadline;
};

}

#endif
