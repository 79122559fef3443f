#ifndef AZUREMOOR_NODES_ENTRY_NODE_H
#define AZUREMOOR_NODES_ENTRY_NODE_H

#include <random>
#include <set>
#include <string>

#include "base/decision_journal.h"
#include "fleet/control_stream_replica.h"
#include "fleet/heartbeat_monitor.h"
#include "fleet/ownership_manager.h"
#include "fleet/record_publisher.h"
#include "jobs/entry_gateway.h"
#include "jobs/job_owner.h"
#include "jobs/shard_state_tracker.h"
#include "nodes/log_follower.h"

namespace azuremoor
{

/// Identity and configuration of an entry.
struct entry_node_settings {
    fleet_member self;
    heartbeat_settings heartbeat;
    shard_recovery_settings recovery;
    job_owner_settings jobs;
    /// Interval at which the live entry whose name sorts first appends a snapshot of the fleet state to the log.
    microseconds snapshotInterval = seconds(60);
    /// Time without a connection after which an agent is declared lost by a record in the log.
    microseconds agentLossTimeout = seconds(30);
};

/// Interfaces through which an entry sends messages, appends to the log, answers callers and reports events. They must outlive the entry.
struct entry_node_interfaces {
    peer_outbox &peers;
    log_outbox &log;
    caller_outbox &callers;
    job_observer &observer;
};

/**
 * Combines the classes that make the decisions of an entry and passes messages and events to them. It opens no sockets and reads the time
 * only from its time_source: a daemon or a test passes in messages and pages of the log and delivers what the entry sends.
 */
class entry_node
{
public:
    entry_node(const time_source &time, entry_node_settings settings, entry_node_interfaces interfaces, std::uint64_t seed);

    /// Handles the hello of another process on a new connection.
    void connectPeer(const hello &peer);

    /// Handles the loss of the connection to the process.
    void disconnectPeer(const std::string &peer);

    /// Handles a message from another process, or one that this process sent to itself.
    void handle(const std::string &peer, const message &value);

    /// Applies a page of the log. Returns whether the log contains more records.
    bool applyLog(const log_page &page);

    /// Handles the result of appending a record to the log. `acknowledged` is false if it is not known whether the record was stored.
    void noteAppend(const std::string &recordId, bool acknowledged);

    /// Performs time-dependent work. Must be called regularly.
    void tick();

    /// Starts the tasks that can be started. Called once after each batch of messages.
    void flush();

    /// Starts a planned stop.
    void beginLeaving();

    /// Returns whether the planned stop is complete: no request and no job is left, and the departure record is in the log unless the
    /// log was not read recently.
    bool hasLeft() const;

    /// Returns the hello message that this process sends on a new connection.
    hello helloMessage() const;

    /// Publishes a configuration change of an operator that is based on the given version. Returns the identifier of its record.
    std::string publishConfiguration(std::uint64_t baseVersion, const std::string &author, const std::string &document);

    /// Publishes that a process is permanently lost. Returns the identifier of the record, or an empty string if there is no such member.
    std::string publishMemberLoss(const std::string &name);

    entry_gateway &gateway();
    job_owner &jobs();
    const control_stream_replica &stream() const;
    const freshness_tracker &freshness() const;
    const heartbeat_monitor &heartbeats() const;
    const shard_state_tracker &shardStates() const;
    const record_publisher &publisher() const;
    const log_follower &log() const;
    decision_journal &journal();
    const entry_node_settings &settings() const;
    bool isLeaving() const;

private:
    std::string publish(decltype(fleet_record::body) body);
    void relayLedger(const std::string &peer, const ledger_handover &value);
    void tickRegistration();
    void tickSnapshot();
    void tickLostAgents();
    bool isFirstLiveEntry() const;

    const time_source &m_time;
    entry_node_settings m_settings;
    std::mt19937_64 m_random;
    peer_outbox &m_peers;
    decision_journal m_journal;
    freshness_tracker m_freshness;
    control_stream_replica m_stream;
    heartbeat_monitor m_heartbeats;
    record_publisher m_publisher;
    log_follower m_log;
    ownership_manager m_ownership;
    shard_state_tracker m_shardStates;
    job_owner m_jobs;
    entry_gateway m_gateway;
    std::string m_registrationRecordId;
    std::string m_departureRecordId;
    std::string m_snapshotRecordId;
    steady_time m_nextSnapshot;
    std::map<std::string, steady_time> m_agentLossDeadlines;
    bool m_leaving = false;
};

}

#endif
