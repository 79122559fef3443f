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

/// Names and bounds of one entry.
struct entry_node_settings {
    fleet_member self;
    heartbeat_settings heartbeat;
    shard_recovery_settings custody;
    job_owner_settings jobs;
    /// Interval at which one entry writes a snapshot of the agreed state to the log.
    microseconds snapshotInterval = seconds(60);
    /// Time after which a silent agent is given up by a record.
    microseconds agentLossTimeout = seconds(30);
};

/// The ways out of an entry.
struct entry_node_interfaces {
    peer_outbox &peers;
    log_outbox &log;
    caller_outbox &callers;
    job_observer &observer;
};

/**
 * All decision objects of one entry, wired together. It opens no socket and reads no clock: a daemon or a test bench feeds it
 * messages, pages of the log and the time, and carries what it sends.
 */
class entry_node
{
public:
    entry_node(const time_source &time, entry_node_settings settings, entry_node_interfaces outlets, std::uint64_t seed);

    /// Notes that a process said who it is on a new connection.
    void connectPeer(const hello &peer);

    /// Notes that the connection to the process is gone.
    void disconnectPeer(const std::string &peer);

    /// Handles a message from another process, or from this one.
    void handle(const std::string &peer, const message &value);

    /// Takes a page of the log. Returns whether the log holds more.
    bool applyLog(const log_page &page);

    /// Notes what became of an append.
    void noteAppend(const std::string &recordId, bool acknowledged);

    /// Does what is due by the clock.
    void tick();

    /// Starts what can be started. Called once for a batch of messages.
    void flush();

    /// Begins a planned stop.
    void beginLeaving();

    /// Returns whether the planned stop is done: nothing is under way, and nothing would be lost.
    bool hasLeft() const;

    /// Returns what this process says of itself on a new connection.
    hello helloMessage() const;

    /// Publishes an operator's change. Returns the identifier of its record.
    std::string publishConfiguration(std::uint64_t baseVersion, const std::string &author, const std::string &document);

    /// Publishes that a process is gone for good. Returns the identifier of the record, or an empty text when there is no such process.
    std::string publishMemberLoss(const std::string &name);

    entry_gateway &gateway();
    job_owner &jobs();
    const control_stream_replica &stream() const;
    const freshness_tracker &guard() const;
    const heartbeat_monitor &heartbeats() const;
    const shard_state_tracker &custody() const;
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
    freshness_tracker m_guard;
    control_stream_replica m_stream;
    heartbeat_monitor m_heartbeats;
    record_publisher m_publisher;
    log_follower m_log;
    ownership_manager m_keeper;
    shard_state_tracker m_custody;
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
