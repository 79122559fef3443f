#ifndef AZUREMOOR_NODES_TESTS_RANDOM_HISTORY_H
#define AZUREMOOR_NODES_TESTS_RANDOM_HISTORY_H

#include <memory>
#include <string>
#include <vector>

#include "testing/fake_fleet.h"

namespace azuremoor::testing
{

/// Parameters of a random history.
struct history_settings {
    std::uint64_t seed = 1;
    std::size_t dataCentres = 4;
    /// Message delay between different data centres.
    microseconds farDelay{1500};
    protocol_rules rules;
    /// Time during which jobs are submitted and faults are injected.
    microseconds duration = seconds(15);
    /// Whether messages are also lost, duplicated and delayed.
    bool messageFaults = true;
    /// Identifier of the job whose messages are printed; empty for none.
    std::string tracedJob;
};

/// Result of a random history.
struct history_result {
    std::vector<std::string> violations;
    std::uint64_t submissions = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t uncertainTasks = 0;
    std::uint64_t starts = 0;
    std::uint64_t faults = 0;
};

/**
 * A random run of a small simulated fleet with all kinds of faults and caller actions at once: crashes, restarts, pauses, planned stops,
 * network partitions, an unreliable log, lost, duplicated and delayed messages, resubmissions, new attempts and cancellations. The seed
 * determines the whole run.
 */
class random_history
{
public:
    explicit random_history(const history_settings &settings);

    /// Executes the run. Must be called once.
    history_result run();

private:
    void scheduleJob();
    void submitJob();
    void scheduleFault();
    void injectFault();
    void stopAndRestart(const std::string &name, bool planned);
    void pauseFor(const std::string &name, microseconds duration);
    void partition(microseconds duration);
    void disconnectLog(const std::string &name, microseconds duration);
    void disturbLog(microseconds duration);
    void endFaults();
    void resubmitLater(const job_request &job);
    void retryIfNotRun(std::size_t request, job_request job);
    std::string randomEntry();
    std::string randomNode();
    std::int64_t randomBetween(std::int64_t lowest, std::int64_t highest);
    bool randomBool(double probability);

    history_settings m_settings;
    std::mt19937_64 m_random;
    fake_fleet m_fleet;
    steady_time m_end;
    bool m_messageFaultsEnabled = true;
    std::uint64_t m_faultCount = 0;
    std::vector<job_request> m_jobs;
};

}

#endif
