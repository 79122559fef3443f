#ifndef AZUREMOOR_NODES_TESTS_RANDOM_HISTORY_H
#define AZUREMOOR_NODES_TESTS_RANDOM_HISTORY_H

#include <memory>
#include <string>
#include <vector>

#include "testing/fake_fleet.h"

namespace azuremoor::testing
{

/// What a history is made of.
struct history_settings {
    std::uint64_t seed = 1;
    std::size_t dataCentres = 4;
    microseconds farDelay{1500};
    protocol_rules rules;
    /// Time in which jobs and faults come.
    microseconds duration = seconds(15);
    bool messageFaults = true;
    /// Job whose messages are printed; empty for none.
    std::string tracedJob;
};

/// What a history came to.
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
 * One random run of a small fleet with all faults of the brief at once: crashes, restarts, pauses, planned stops, partitions, an
 * unreliable log, lost, doubled and delayed messages, resubmissions, new attempts and cancellations. Its seed determines it.
 */
class random_history
{
public:
    explicit random_history(const history_settings &settings);

    /// Runs the history and returns what it came to.
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
