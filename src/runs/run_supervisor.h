#ifndef AZUREMOOR_RUNS_RUN_SUPERVISOR_H
#define AZUREMOOR_RUNS_RUN_SUPERVISOR_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "base/decision_journal.h"
#include "runs/worker_client.h"

namespace azuremoor
{

/// Times that bound how long a run outlives those who want it.
struct lease_timing {
    /// Length of a worker's lease, from its last renewal.
    milliseconds workerLease{600};
    /// Length of an entry's lease at an agent, from the sending of the last heartbeat that it answered.
    milliseconds entryLease{450};
    /// Time after which an order without an answer counts as unknown.
    milliseconds requestTimeout{85};
    /// Interval at which a lease is renewed at least.
    milliseconds renewalInterval{150};

    /// Returns the time from an entry's last sign of life until none of its runs can be under way, with a clock that is 2% slow.
    microseconds maxOrphanedRunTime() const;
};

/// Learns how runs ended.
class run_result_listener
{
public:
    virtual ~run_result_listener() = default;

    /// A run ended, or never began and cannot begin any more.
    virtual void handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome) = 0;
};

/**
 * Runs tasks on the one worker of this machine: keeps its room, its lease and the state of each run.
 *
 * A run counts as under way from before its order is sent until the worker lists its end, or until it is proved that it cannot begin any
 * more. An order without an answer is taken back by a stop, which the worker remembers. If stops go unanswered too, the lease is not
 * renewed, and the run ends with it: its job may be on its way to another worker.
 */
class run_supervisor
{
public:
    run_supervisor(
        const time_source &time, lease_timing leases, worker_client &client, run_result_listener &listener, decision_journal &journal);
    ~run_supervisor();

    /// Takes a report. Returns whether it names the present life of the worker.
    bool handleReport(const worker_report &report);

    /// The worker said that this life of it ends now.
    void handleDeparture(const std::string &worker);

    /// Orders a run for a session, or ends it at once when it cannot begin.
    void start(const std::string &session, const std::string &worker, const run_order &order);

    /// Ends a run of a session early.
    void stop(const std::string &session, std::uint64_t sequence);

    /// Ends all runs of a session early.
    void stopAll(const std::string &session);

    /// Takes no further runs: this process is about to stop.
    void close();

    /// Renews the lease and repeats orders without an answer; to be called often.
    void tick();

    /// Returns what entries are told of the worker, without what concerns one of them.
    worker_status status() const;

    /// Returns the progress of a session's runs.
    std::vector<run_progress> progress(const std::string &session) const;

    /// Returns the number of runs that may be under way.
    std::size_t runCount() const;

    /// Returns whether the worker is known and holds its lease.
    bool isReady() const;

private:
    enum class run_state : std::uint8_t {
        ordered,
        running,
        stopping,
    };
    struct supervised_run {
        std::string session;
        std::uint64_t sequence = 0;
        task_shape resources;
        run_state state = run_state::ordered;
        /// On the worker's clock: an order that arrives later is refused.
        worker_milliseconds startDeadline = 0;
        /// The worker has confirmed a stop, so that the run cannot begin any more.
        bool isStopConfirmed = false;
        /// Number of the first renewal whose list is certain to show the run if it is under way.
        std::uint64_t firstConclusiveRenewal = 0;
        steady_time nextStopAttempt;
        /// When the lease is no longer renewed unless the run has ended; only for runs that somebody ended early.
        std::optional<steady_time> stopDeadline;
        std::uint8_t percent = 0;
    };
    struct tracked_worker;
    using run_map = std::map<run_key, supervised_run>;

    void registerWorker(const worker_report &report);
    void discardWorker(run_outcome outcome, const std::string &reason);
    void handleStartReply(const std::string &worker, const run_key &key, worker_reply reply, worker_milliseconds clock);
    void handleStopReply(const std::string &worker, const run_key &key, worker_reply reply);
    void sendStop(const run_key &key, supervised_run &run);
    void renew(milliseconds wait);
    void handleLeaseResponse(const std::string &worker, std::uint64_t number, const lease_response &reply);
    void processEndedRuns(const std::vector<ended_run> &ends);
    void reconcileActiveRuns(std::uint64_t number, const lease_response &reply);
    void stopUnknownRuns(const std::vector<active_run> &active);
    void checkLeaseExpiry();
    bool isResponsive() const;
    bool isLeaseWithheld() const;
    void requestStop(const run_key &key, supervised_run &run, milliseconds timeout);
    task_shape usedCapacity() const;
    void endRun(run_map::iterator run, run_outcome outcome);
    request_context context() const;

    const time_source &m_time;
    lease_timing m_leases;
    worker_client &m_client;
    run_result_listener &m_listener;
    decision_journal &m_journal;
    std::unique_ptr<tracked_worker> m_worker;
    std::set<std::string> m_formerInstances;
    run_map m_runs;
    bool m_isClosed = false;
};

}

#endif
