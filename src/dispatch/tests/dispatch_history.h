#ifndef AZUREMOOR_DISPATCH_TESTS_DISPATCH_HISTORY_H
#define AZUREMOOR_DISPATCH_TESTS_DISPATCH_HISTORY_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "dispatch/entry_peer_handler.h"
#include "dispatch/tests/simulated_network.h"
#include "runs/run_agent.h"
#include "runs/tests/fake_worker.h"

namespace azuremoor::testing
{

/// A check that keeps runs from starting at the wrong place or time. One of them can be disabled to test that a violation is found.
enum class safety_check {
    none,
    /// The worker refuses orders of an earlier process of its agent.
    fencing_token,
    /// The worker refuses orders for an earlier instance of itself, from before a restart.
    worker_instance,
    /// The worker refuses an order that was revoked, or whose run has ended.
    run_number,
    /// The worker refuses an order that arrives after its deadline.
    start_deadline,
    /// The agent gives a draining worker no new runs.
    drain,
    /// The agent keeps the runs within the worker's capacity.
    capacity,
    /// The agent ends runs of handed-over jobs with the lease of their origin.
    origin_lease,
    /// An entry that has given up handovers gives its signs of life for a new epoch.
    handover_epoch,
    /// A job that was handed over is not handed over again.
    one_hop,
    /// A job is not handed over after its first order.
    no_handover_after_orders,
    /// A copy of a handed-over job does not begin at the origin before the runs at the receiver have ended.
    handover_hold,
    /// The entry runs a task again only when the end of the run that it stopped for a higher priority is known.
    preempted_end,
    /// A run that was stopped for a higher priority counts as begun.
    preempted_begin,
    /// The runs of a worker that refuses connections go on until its lease has ended or another instance answers.
    refused_connection,
};

/// Parameters of a history.
struct dispatch_history_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t agents = 4;
    microseconds length = seconds(12);
    /// Mean time between two faults; 0 for no faults.
    microseconds faultInterval = milliseconds(700);
    lease_timing leases;
    /// Time from the loss of a request until the caller submits the job again.
    microseconds resubmitDelay = milliseconds(1300);
    /// Overrides the time after which runs of a silent agent are presumed to have ended; 0 for the correct time. Used by mutations only.
    microseconds runsEndedAfterOverride{0};
    /// Whether some callers lose their connection and come back to the same entry at once.
    bool doCallersReturn = true;
    /// The check that is disabled.
    safety_check disabledCheck = safety_check::none;
    /// Whether jobs have different priorities and estimates, and runs are stopped for higher priorities. With `by_seed`, every second
    /// history has them.
    enum class priority_mode { by_seed, always } priorities = priority_mode::by_seed;
    /// Limits that the entries keep. Used by mutations only; the histories check the default ones.
    preemption_limits preemption;
    /// Whether the decisions of all processes are printed.
    bool isTraced = false;
};

/// Counts and violated invariants of a history.
struct dispatch_history_result {
    std::vector<std::string> violations;
    std::uint64_t jobs = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t expired = 0;
    std::uint64_t resubmitted = 0;
    /// Jobs that came back to the same entry at once.
    std::uint64_t returned = 0;
    std::uint64_t starts = 0;
    std::uint64_t faults = 0;
    /// Jobs that were handed over, and those that the receiver took.
    std::uint64_t handedOver = 0;
    std::uint64_t taken = 0;
    /// Jobs that were given up, and jobs that receivers ended by themselves.
    std::uint64_t givenUp = 0;
    std::uint64_t endedByReceiver = 0;
    std::uint64_t preemptedRuns = 0;
};

/**
 * A random history of a fleet: entries, agents, workers and callers in virtual time, with random jobs and faults.
 *
 * Entries and agents are the objects that the daemons use; workers and the network are simulated. Processes are killed, restarted and
 * suspended, and links are cut and reset. Workers are restarted, some of them under the name that they had, and drained, and orders to them
 * arrive late or are lost. Agents get reports of former boots, reports with other addresses and false departures. A random part of the jobs
 * is handed over between entries, whose links have the same faults; cancels of such jobs are lost at times. Some callers lose their
 * connection and come back to the same entry at once. The invariants are checked at
 * every start of a run, at every answer and at every run that an entry stops for a higher priority.
 */
class dispatch_history
{
public:
    explicit dispatch_history(const dispatch_history_settings &settings);
    ~dispatch_history();

    /// Runs the history to its end. Must be called at most once.
    dispatch_history_result run();

private:
    class entry_process;
    class agent_process;
    struct caller_job {
        std::string id;
        std::uint32_t tasks = 1;
        std::uint32_t priority = 0;
        /// Whether the job is wide and has little time to start.
        bool isUrgent = false;
        bool isStarted = false;
        bool wasRefusedBeforeStart = false;
        /// When an entry handled that a submission had lost its connection and was followed at once. Its runs may begin until they are
        /// stopped, while the next submission is refused.
        steady_time lossHandledAt{};
        bool isSettled = false;
        std::set<std::string> done;
    };

    worker_report reportOf(std::size_t worker);
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void scheduleJobs();
    void submit(std::size_t job, int tries);
    /// Submits the job to the entry, which is alive.
    void submitTo(const std::shared_ptr<entry_process> &entry, std::size_t job, int tries);
    void recordAnswer(std::size_t job, int tries, const job_answer &answer);
    /// Forgets the preempted runs of the job at the process, which has admitted it again: the limits hold for each submission.
    void resetPreemptions(const std::string &process, const journal_entry &decision);
    /// Checks the limits of preemption for a decision of the process of an entry.
    void checkPreemption(const std::string &process, const journal_entry &decision);
    void handleLostRequest(std::size_t job, int tries);
    /// Lets the caller lose its connection some time from now and submit the job again to the same entry, without the usual delay.
    void scheduleReturn(const std::shared_ptr<entry_process> &entry, std::uint64_t request, std::size_t job, int tries);
    /// Returns the index of another entry than the given one.
    std::size_t otherEntry(std::size_t entry);
    /// Gives the entry most of the new jobs for a while. All of them are handed over, to the receiver if there is one, and run for long.
    void rushEntry(std::size_t entry, milliseconds duration, std::optional<std::size_t> receiver = std::nullopt);
    /// Returns whether one entry hears from the other one that it accepts no jobs, because a rush is led to another entry.
    bool isRefusedByRush(std::size_t from, std::size_t to) const;
    bool isRushed() const;
    /// Loses the entry that handed jobs over, and suspends the one that runs them just before that one notices. Stops are lost meanwhile.
    void loseOriginAndReceiver(std::size_t origin);
    void loseOriginNow(std::size_t origin, std::size_t receiver);
    /// Holds up what the receiver sends for longer than the origin waits, while the origin's cancels are lost.
    void hideReceiver(std::size_t origin);
    /// Stops an entry as planned. Its process ends some time later.
    void stopEntry(std::size_t index);
    void scheduleFaults();
    void injectFault();
    void killEntry(std::size_t index, bool isPowerLoss);
    void killAgent(std::size_t index);
    void restartWorker(std::size_t index);
    /// Sends an agent now and then what does not come from its worker as it is: a late report of a former boot, a report with another
    /// address, a repeated one, or the announcement of a departure.
    void scheduleMisleadingReports();
    /// Cuts workers off at random, with their connections refused. They run on.
    void scheduleRefusedConnections();
    void misleadAgent(std::size_t index);
    void closeLink(std::size_t entry, std::size_t agent);
    void closeEntryLink(std::size_t one, std::size_t other);
    void openEntryLinks();
    void closeSilentEntryLinks();
    void countHandovers(const entry_process &entry);
    void openLinks();
    void closeSilentLinks();
    void checkStart(std::size_t worker, const run_key &run, const task_shape &shape);
    void recordViolation(const std::string &what);
    std::uint64_t random(std::uint64_t below);
    simulated_link &link(std::size_t entry, std::size_t agent);
    /// Returns the link between two entries. Direction 0 is from the one with the lower index.
    simulated_link &entryLink(std::size_t one, std::size_t other);

    dispatch_history_settings m_settings;
    virtual_time m_time;
    std::mt19937_64 m_random;
    /// Draws which callers come back at once, so that the other draws do not depend on them.
    std::mt19937_64 m_returnRandom;
    std::vector<std::unique_ptr<fake_worker>> m_workers;
    std::vector<steady_time> m_drainedSince;
    std::vector<int> m_workerInstances;
    /// The last reports of the former boots of each worker.
    std::vector<std::vector<worker_report>> m_formerReports;
    /// Whether the workers state their boots. Half of their restarts are then under the same name.
    bool m_areBootsStated;
    /// Decides about names and misleading reports, so that the other decisions of a seed do not depend on them.
    std::mt19937_64 m_identityRandom;
    /// Draws apart, so that the other faults of a seed stay as they were.
    std::mt19937_64 m_refusalRandom;
    std::vector<std::unique_ptr<simulated_link>> m_links;
    std::vector<std::unique_ptr<simulated_link>> m_entryLinks;
    std::vector<std::shared_ptr<entry_process>> m_entries;
    std::vector<std::shared_ptr<agent_process>> m_agents;
    std::vector<std::shared_ptr<entry_process>> m_endedEntries;
    std::vector<std::shared_ptr<agent_process>> m_endedAgents;
    std::deque<caller_job> m_jobs;
    std::map<std::string, std::size_t> m_byId;
    /// Entry that gets most of the new jobs until the given time.
    std::size_t m_rushedEntry = 0;
    /// The only entry that accepts jobs of the rushed one, as far as that one hears.
    std::optional<std::size_t> m_rushReceiver;
    steady_time m_rushedUntil{};
    bool m_hasPriorities;
    /// Runs that a process of an entry stopped for higher priorities, by process and task or job.
    std::map<std::pair<std::string, std::string>, std::uint32_t> m_preemptions;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextIncarnation = 1;
    dispatch_history_result m_result;
};

}

#endif
