#ifndef AZUREMOOR_RUNS_RUN_SUPERVISOR_H
#define AZUREMOOR_RUNS_RUN_SUPERVISOR_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "runs/capacity_forecast.h"
#include "runs/contender_tracker.h"
#include "runs/crash_suspicion.h"
#include "runs/foreign_runs.h"
#include "runs/held_starts.h"
#include "runs/lease_timing.h"
#include "runs/run_table.h"
#include "runs/tracked_worker.h"
#include "runs/worker_crash_listener.h"
#include "runs/worker_client.h"

namespace azuremoor
{

/// Receives the results of runs.
class run_result_listener
{
public:
    virtual ~run_result_listener() = default;

    /// Handles the result of a run that ended, or that never began and cannot begin any more. Called once for each order.
    virtual void handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome) = 0;
};

/**
 * Runs tasks on the only worker of this machine: tracks its free capacity, its lease and the state of each run.
 *
 * A run uses capacity from before its start is requested until the worker lists its end, or until it is certain that it cannot begin any
 * more. A start without an answer is cancelled by stops, which the worker remembers, and counts as over once the worker's answers show
 * that it cannot begin any more. If the stops of a run that an entry or the agent stopped have no effect, the worker's lease is not renewed
 * and the run ends with it, because its job may already be assigned to another worker.
 *
 * A report may arrive after its sender has crashed, so the report of another instance does not show that the current one is gone; nor does
 * the announcement of its departure, which may precede the end of its runs. The current one is asked: it is given up if another instance
 * answers, or at the end of its lease.
 *
 * A refused connection, or one that is reset, does not show either that the runs have ended: the worker may be cut off and run on. The
 * worker gets no more runs until it answers again, and those that it has are over when another instance or boot answers, or with the lease.
 *
 * A worker has crashed if another instance or boot answers in its place, and it had answered until then or until its connections were
 * refused, unless it was draining or had announced its departure. Neither a lapsed lease nor a refused connection alone shows a crash.
 */
class run_supervisor
{
public:
    run_supervisor(const time_source &time,
                   lease_timing leases,
                   worker_client &client,
                   run_result_listener &listener,
                   worker_crash_listener &crashes,
                   decision_journal &journal);
    ~run_supervisor();

    /// Handles a report of the worker. Returns false if it comes from a worker that is not the one of this machine, as far as is known.
    bool handleReport(const worker_report &report);

    /// Handles the announcement of a worker instance that it terminates. Ignores instances other than the current one. The worker gets no
    /// more runs unless it reports again, and those that it has go on until it is known that they have ended.
    void handleDeparture(const std::string &workerInstance);

    /// Starts a run for a session on the given worker instance. Reports the result immediately if the run cannot begin. If the order says
    /// so, the start is held until the worker has answered.
    void start(const std::string &session, const std::string &workerInstance, const run_order &order);

    /// Asks the worker for an answer if starts are held for one. Must be called after orders.
    void askForHeldStarts();

    /// Stops a run of a session. Ignores unknown sequences.
    void stop(const std::string &session, std::uint64_t sequence);

    /// Stops all runs of a session. The worker's lease is not renewed until they have ended.
    void stopAll(const std::string &session);

    /// Stops the session's runs of jobs that the origin handed over. The worker's lease is not renewed until they have ended. Returns the
    /// number of these runs.
    std::size_t stopRunsOfOrigin(const std::string &session, const std::string &origin);

    /// Refuses all further runs, because this process is about to stop.
    void close();

    /// Renews the worker's lease and repeats the stops of runs that have not ended. Must be called more often than the lease is renewed.
    void tick();

    /// Returns the status that entries receive, without the members that concern a single entry.
    worker_status status() const;

    /// Returns the progress of a session's runs that the worker has accepted and that are not being stopped.
    std::vector<run_progress> progress(const std::string &session) const;

    /// Returns all runs that use capacity, for the forecast.
    std::vector<forecast_run> forecastRuns() const;

    /// Returns the forecast of the current worker instance.
    const capacity_forecast &forecast() const;

    /// Returns the number of runs that may be in progress.
    std::size_t runCount() const;

    /// Returns the number of runs of the session that may be in progress.
    std::size_t runCount(const std::string &session) const;

    /// Returns whether the worker has a lease that may be renewed, answers, and runs nothing that this process did not order.
    bool isReady() const;

private:
    using run_map = run_table::run_map;

    /// Makes the worker the current one, with a fencing token that is not lower than the given one.
    void registerWorker(const worker_report &report, std::uint64_t minFencingToken = 0);
    /// Turns to another boot of the current worker, which has answered under the same identifier. Starts that were sent to the former boot
    /// may have reached the new one, so each run goes on until the new boot, asked with a higher fencing token, does not list it.
    void followReboot(const lease_response &response);
    /// Returns when the current worker, in whose place another boot has answered, was seen to crash, or nothing if it did not crash.
    /// Ends the suspicion of that.
    std::optional<steady_time> formerBootCrashTime();
    /// Handles a report of a worker other than the current one. Returns false if it is refused.
    bool considerContender(const worker_report &report);
    /// Calls giveWay() for a worker that does not answer if it cannot have runs.
    void giveWayIfIdle();
    /// Gives up a worker that cannot have runs and does not answer, if there is a contender to take its place or its departure was
    /// announced.
    void giveWay();
    /// Returns whether the current worker, if it is gone, has crashed: it answered recently, and its end was not planned.
    bool wouldBeCrash() const;
    /// Returns a crash of the current worker that is noticed now, with all of its runs.
    worker_crash makeCrash(crash_state state);
    /// Sends no more runs to the worker until it answers again, because a connection to it was refused. Suspects a crash.
    void handleRefusedConnection();
    /// Handles a start or stop that has not reached the worker, because another instance answered or the connection was refused. In the
    /// latter case the worker is asked at once whether it is there.
    void handleUndeliveredOrder(worker_reply reply);
    /// Uses a worker again that has answered after its connections were refused, and decides whether another one had crashed before.
    void handleAnswerAfterRefusal();
    /// Gives the worker up, because another instance answered. Reports a crash if it was one.
    void discardEndedWorker();
    /// Gives the worker up, because its runs cannot go on, and turns to the contender, if there is one.
    void discardWorker(run_outcome outcome, const std::string &reason);
    /// Returns whether the registration is that of the current worker.
    bool isCurrent(std::uint64_t registration) const;
    /// Stops the runs of a session, or those of the origin if one is given. The worker's lease is not renewed until they have ended.
    /// Returns the number of these runs.
    std::size_t stopAtOnce(const std::string &session, const std::string *origin);
    void sendStart(const run_order &order, supervised_run &run);
    /// Sends the starts that waited for the renewal, whose answer has arrived, or ends their runs if there was none.
    void releaseHeldStarts(std::uint64_t renewalNumber, bool hasAnswered);
    /// Ends the runs whose start was not sent.
    void dropHeldStarts();
    void handleStartReply(std::uint64_t registration, const run_key &key, worker_reply reply, worker_milliseconds clock);
    void handleStopReply(std::uint64_t registration, const run_key &key, worker_reply reply);
    void sendStop(const run_key &key, supervised_run &run);
    /// Asks the worker to stop a run, whoever ordered it.
    void requestWorkerStop(const run_key &key);
    /// Repeats the stops that are due.
    void repeatStops();
    /// Sends a renewal. The worker may hold back its answer for up to `wait` until a run ends.
    void renew(milliseconds wait);
    /// Ends a request that carried the deadline, so that the deadline of one that has reached no worker does not count.
    void endRequest(std::uint64_t registration, worker_milliseconds deadline, worker_reply reply);
    void handleLeaseResponse(std::uint64_t registration, std::uint64_t renewalNumber, const lease_response &response);
    void processEndedRuns(const std::vector<ended_run> &endedRuns);
    /// Ends the runs that a renewal's answer proves to be over or unable to begin.
    void reconcileActiveRuns(std::uint64_t renewalNumber, const lease_response &response);
    /// Reports the crash of the former boot with those of the given runs, which are over, that were lost with it.
    void reportFormerBootCrash(std::span<const run_key> endedRuns);
    /// Stops listed runs that this process did not order, such as those of an earlier agent process.
    void stopForeignRuns(const std::vector<active_run> &active);
    /// Ends all runs once the lease has expired even on the slowest clock.
    void checkLeaseExpiry();
    bool isResponsive() const;
    /// Returns whether the current worker gets no more runs, because it drains or has announced its departure.
    bool isDraining() const;
    /// Stops a run. After the timeout, the lease is withheld until the run has ended.
    void requestStop(const run_key &key, supervised_run &run, milliseconds timeout);
    /// Removes a run and reports its result.
    void endRun(run_map::iterator run, run_outcome outcome);

    const time_source &m_time;
    lease_timing m_leases;
    worker_client &m_client;
    run_result_listener &m_listener;
    worker_crash_listener &m_crashes;
    decision_journal &m_journal;
    std::unique_ptr<tracked_worker> m_worker;
    contender_tracker m_contenders;
    crash_suspicion m_suspicion;
    /// Number of the last crash that was suspected or proved.
    std::uint64_t m_lastCrash = 0;
    /// Number of the last registration of a worker. An instance that was given up can be registered again.
    std::uint64_t m_lastRegistration = 0;
    run_table m_table;
    held_starts m_heldStarts;
    capacity_forecast m_forecast;
    bool m_isClosed = false;
};

}

#endif
