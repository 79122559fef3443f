#ifndef AZUREMOOR_RUNS_RUN_AGENT_H
#define AZUREMOOR_RUNS_RUN_AGENT_H

#include <map>
#include <set>
#include <string>

#include "base/decision_journal.h"
#include "fleet/peer_outbox.h"
#include "runs/capacity_notifier.h"
#include "runs/crash_log.h"
#include "runs/entry_session.h"
#include "runs/evacuation_guard.h"
#include "runs/room_reservations.h"
#include "runs/run_supervisor.h"

namespace azuremoor
{

/**
 * Runs on the machine of a worker: executes the orders of entries, sends them free capacity and results, and stops the runs of entries
 * that disappear.
 *
 * Each process of an entry has a session with a lease. The lease ends a fixed time after the last answered heartbeat was sent. When it
 * ends, the runs that the entry ordered are stopped. An entry without runs gets heartbeats less often than the lease would need: its
 * next order says, on this agent's clock, when it was made at the earliest, and renews the lease from then on.
 *
 * This agent executes run orders (start_runs). worker_agent is the agent for entries that place tasks with credits (start_tasks).
 */
class run_agent : public run_result_listener, public worker_crash_listener
{
public:
    /// The agent is told how its process introduces itself to entries. Without a guard, no data centre is evacuated.
    run_agent(const time_source &time,
              lease_timing leases,
              worker_client &client,
              peer_outbox &outbox,
              decision_journal &journal,
              const hello &self,
              evacuation_guard *evacuation = nullptr);

    /// Handles the hello of an entry on a new connection. Expires the sessions of the entry's earlier processes.
    void connectEntry(const hello &entry);

    /// Handles the loss of the connection to the entry. Its session and runs go on until the lease ends.
    void disconnectEntry(const std::string &entry);

    /// Handles a message of an entry. Ignores entries that are not connected and messages that do not concern agents.
    void handleMessage(const std::string &entry, const message &value);

    /// Sets the connected entries whose connections are not needed any more. They are told that the worker drains, and its runs for them go
    /// on to their end.
    void setSurplusEntries(const std::set<std::string> &entries);

    /// Returns whether the connection to the entry can be closed: it has been surplus for so long that the entry orders nothing more, and
    /// no run or result of the entry is left.
    bool canDisconnect(const std::string &entry) const;

    /// Sends a heartbeat and pending updates to the connected entries that have runs or unacknowledged results, and to the others in one of
    /// IDLE_HEARTBEAT_INTERVALS calls. Must be called once per heartbeat interval.
    void sendHeartbeats();

    /// Returns the connected entries that get a heartbeat in each interval.
    std::set<std::string> busyEntries() const;

    /// Expires sessions, repeats the stops of runs that have not ended, and renews the worker's lease. Must be called more often than
    /// leases are renewed.
    void tick();

    /// Sends new results to their entries, a changed worker status to all connected entries, and changed free capacity to the entries that
    /// need it now. The others get it with the next heartbeat.
    void flush();

    /// Begins a planned stop: no further run is started.
    void beginStop();

    /// Returns whether no run is in progress and all connected entries have acknowledged their results.
    bool isIdle() const;

    void handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome) override;

    /// Remembers the crash, and tells all connected entries at once, so that they know of it before they get the results of its runs.
    void handleWorkerCrash(const worker_crash &crash) override;

    run_supervisor &supervisor();
    const run_supervisor &supervisor() const;

    const room_reservations &reservations() const;

    /// Returns the number of crashes of the worker by which runs were lost.
    std::uint64_t crashCount() const;

    /// Returns the number of sessions with a valid lease.
    std::size_t activeSessionCount() const;

private:
    static std::string makeSessionName(const std::string &entry, std::uint64_t incarnation);
    /// Returns the session of the entry's current connection, or null if the entry is not connected.
    entry_session *findSession(const std::string &entry);
    const entry_session *findSession(const std::string &entry) const;
    /// Notes in the journal what has become known of a crash.
    void noteCrash(const worker_crash &crash, const crash_report &report);
    /// Returns whether the session has runs or unacknowledged results.
    bool isBusy(const std::string &sessionName, const entry_session &session) const;
    /// Renews the lease as of a time at which the entry was certainly there.
    void renewLease(entry_session &session, steady_time aliveAt);
    /// Returns the status of the worker. It drains while its data centre is evacuated, also for entries that do not know of that.
    worker_status currentStatus() const;
    /// Renews the leases of the session's origins by their ages at a time on this agent's clock.
    void renewOrigins(entry_session &session, const std::vector<origin_age> &origins, std::int64_t agentMicroseconds);
    void startRuns(entry_session &session, const start_runs &orders);
    void startRun(const std::string &sessionName, const std::string &workerInstance, const run_order &order);
    void reserveRoom(const std::string &sessionName, const reserve_room &request);
    /// Returns what the session is told of the expected capacity.
    capacity_outlook outlookFor(const std::string &sessionName, const entry_session &session) const;
    void stopRuns(const entry_session &session, const stop_runs &stops);
    void acknowledgeResults(entry_session &session, std::uint64_t lastNumber);
    void expireSessions();
    /// Stops the runs of origins whose lease has ended.
    void expireOrigins(const std::string &sessionName, entry_session &session);
    /// Ends the session's lease and stops its runs. The session itself is kept, and may get a new lease.
    void endSession(entry_session &session, const std::string &reason);
    /// Sends the results that were not sent on this connection. Returns whether there were any.
    bool sendResults(entry_session &session);
    /// Updates the announced status, and returns whether anything but free capacity changed.
    bool detectStatusChange();
    static bool hasUnsentResult(const entry_session &session, run_outcome outcome);
    void sendStatus(const std::string &sessionName, const entry_session &session);
    void sendCapacityUpdate(const std::string &sessionName, const entry_session &session, std::vector<run_progress> progress);

    const time_source &m_time;
    lease_timing m_leases;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    evacuation_guard *m_evacuation;
    run_supervisor m_supervisor;
    crash_log m_crashes;
    /// Sessions by session name, which consists of the entry's name and incarnation.
    std::map<std::string, entry_session> m_sessions;
    /// Session names of the connected entries, by entry name.
    std::map<std::string, std::string> m_currentSessions;
    capacity_notifier m_notifier;
    room_reservations m_reservations;
    /// Calls of sendHeartbeats(), modulo IDLE_HEARTBEAT_INTERVALS.
    int m_heartbeatRound = 0;
    /// Worker status at the last flush, which entries were or will be notified of.
    worker_status m_announcedStatus;
};

}

#endif
