#ifndef AZUREMOOR_RUNS_RUN_AGENT_H
#define AZUREMOOR_RUNS_RUN_AGENT_H

#include <map>
#include <string>

#include "base/decision_journal.h"
#include "fleet/peer_outbox.h"
#include "runs/entry_session.h"
#include "runs/capacity_notifier.h"
#include "runs/run_supervisor.h"

namespace azuremoor
{

/**
 * The agent beside a worker: takes orders from entries, tells them of room and results, and ends the runs of entries that are gone.
 *
 * Each process of an entry has a session with a lease. The lease ends a fixed time after the sending of the last heartbeat that the entry
 * answered, and with it end the runs that the entry ordered.
 */
class run_agent : public run_result_listener
{
public:
    run_agent(const time_source &time, lease_timing leases, worker_client &client, peer_outbox &outbox, decision_journal &journal);

    /// An entry introduced itself on a new connection.
    void connectEntry(const hello &entry);

    /// The connection to the entry is gone.
    void disconnectEntry(const std::string &entry);

    /// A message of an entry arrived.
    void handleMessage(const std::string &entry, const message &value);

    /// Sends heartbeats; to be called at the interval of heartbeats.
    void sendHeartbeats();

    /// Ends what is out of time and renews the worker's lease; to be called often.
    void tick();

    /// Sends what has changed since the last call.
    void flush();

    /// Begins a planned stop: no run begins any more.
    void beginStop();

    /// Returns whether no run is under way and all results have been acknowledged.
    bool isIdle() const;

    void handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome) override;

    /// Returns the part that deals with the worker.
    run_supervisor &supervisor();
    const run_supervisor &supervisor() const;

    /// Returns the number of sessions whose lease holds.
    std::size_t activeSessionCount() const;

private:
    static std::string sessionName(const std::string &entry, std::uint64_t incarnation);
    entry_session *findSession(const std::string &entry);
    void startRuns(entry_session &session, const start_runs &orders);
    void stopRuns(const entry_session &session, const stop_runs &stops);
    void acknowledgeResults(entry_session &session, std::uint64_t lastNumber);
    void expireSessions();
    void endSession(entry_session &session, const std::string &reason);
    bool sendResults(entry_session &session);
    bool detectStatusChange();
    static bool hasUnsentResult(const entry_session &session, run_outcome outcome);
    void sendStatus(const std::string &name, const entry_session &session);
    void sendCapacityUpdate(const std::string &name, const entry_session &session, std::vector<run_progress> progress);

    const time_source &m_time;
    lease_timing m_leases;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    run_supervisor m_supervisor;
    /// By name and incarnation of the entry.
    std::map<std::string, entry_session> m_sessions;
    /// The session of the present connection, by name of the entry.
    std::map<std::string, std::string> m_currentSessions;
    capacity_notifier m_notifier;
    /// The worker as entries were told of it last.
    worker_status m_announcedStatus;
};

}

#endif
