#ifndef AZUREMOOR_DISPATCH_TESTS_DISPATCH_HISTORY_H
#define AZUREMOOR_DISPATCH_TESTS_DISPATCH_HISTORY_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
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

/// A guard against work that runs where or when it must not.
enum class safety_check {
    none,
    /// Orders of an earlier process of the agent are refused.
    agent_token,
    /// Orders for an earlier life of the worker are refused.
    worker_instance,
    /// An order that was taken back, or whose run is over, is refused.
    run_number,
    /// An order that arrives late is refused.
    order_deadline,
    /// A worker that drains gets no runs.
    drain,
    /// A worker gets no more than it has room for.
    capacity,
};

/// What a history is made from.
struct dispatch_history_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 3;
    std::size_t agents = 4;
    microseconds length = seconds(12);
    /// Mean time between two faults; 0 for none.
    microseconds faultInterval = milliseconds(700);
    lease_rules leases;
    /// Time after which a caller submits a job again.
    microseconds resubmitDelay = milliseconds(1300);
    /// Replaces the time from which on runs of a silent agent count as over; 0 keeps the rule. Only a broken rule needs it.
    microseconds runsEndedAfterOverride{0};
    /// The guard that is switched off.
    safety_check disabledCheck = safety_check::none;
    /// Prints the decisions of all processes.
    bool isTraced = false;
};

/// What happened in a history.
struct dispatch_history_result {
    std::vector<std::string> violations;
    std::uint64_t jobs = 0;
    std::uint64_t completed = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t expired = 0;
    std::uint64_t resubmitted = 0;
    std::uint64_t starts = 0;
    std::uint64_t faults = 0;
};

/**
 * A random history of entries, agents, workers and callers in virtual time, with the objects that the daemons run.
 *
 * Processes are killed, restarted and suspended, links cut and reset, workers restarted, drained and silenced, orders carried out late.
 * What must always hold is checked at every start and every answer.
 */
class dispatch_history
{
public:
    explicit dispatch_history(const dispatch_history_settings &settings);
    ~dispatch_history();

    /// Plays the history.
    dispatch_history_result run();

private:
    class entry_process;
    class agent_process;
    struct caller_job {
        std::string id;
        std::uint32_t tasks = 1;
        bool isStarted = false;
        bool isRefusedUnstarted = false;
        bool isSettled = false;
        std::set<std::string> done;
    };

    worker_report reportOf(std::size_t worker);
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void scheduleJobs();
    void submit(std::size_t job, int tries);
    void recordAnswer(std::size_t job, const job_answer &answer);
    void handleLostRequest(std::size_t job, int tries);
    void scheduleFaults();
    void injectFault();
    void killEntry(std::size_t index, bool isPowerLoss);
    void killAgent(std::size_t index);
    void restartWorker(std::size_t index);
    void closeLink(std::size_t entry, std::size_t agent);
    void openLinks();
    void closeSilentLinks();
    void checkStart(std::size_t worker, const run_key &run, const task_shape &resources);
    void recordViolation(const std::string &what);
    std::uint64_t random(std::uint64_t below);
    simulated_link &link(std::size_t entry, std::size_t agent);

    dispatch_history_settings m_settings;
    virtual_time m_time;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<fake_worker>> m_workers;
    std::vector<steady_time> m_drainedSince;
    std::vector<int> m_workerInstances;
    std::vector<std::unique_ptr<simulated_link>> m_links;
    std::vector<std::shared_ptr<entry_process>> m_entries;
    std::vector<std::shared_ptr<agent_process>> m_agents;
    std::vector<std::shared_ptr<entry_process>> m_endedEntries;
    std::vector<std::shared_ptr<agent_process>> m_endedAgents;
    std::deque<caller_job> m_jobs;
    std::map<std::string, std::size_t> m_byId;
    std::uint64_t m_nextRequest = 1;
    std::uint64_t m_nextIncarnation = 1;
    dispatch_history_result m_result;
};

}

#endif
