#ifndef AZUREMOOR_CTL_LOAD_COMMAND_H
#define AZUREMOOR_CTL_LOAD_COMMAND_H

#include <random>
#include <string>
#include <vector>

#include "ctl/ctl_client.h"
#include "transport/system_time.h"

namespace azuremoor
{

/// What load to make.
struct load_settings {
    std::int64_t jobs = 1;
    std::int64_t tasks = 1;
    /// Jobs that are under way at the same time.
    std::int64_t parallel = 64;
    /// Run times that the upstream stand-ins are asked for, spread evenly.
    std::int64_t shortestMs = 20;
    std::int64_t longestMs = 20;
    std::int64_t deadlineS = 60;
    std::int64_t seed = 1;
    /// Times that each job is submitted again under its identifier, each time through the next entry.
    std::int64_t resubmissions = 0;
    std::vector<std::string> selectors;
    std::string team = "default";
};

/**
 * Submits many jobs in parallel through all entries, and checks that each answer is whole and belongs to its request.
 *
 * The upstreams must be stand-ins, whose answers repeat what they were asked.
 */
class load_command
{
public:
    load_command(ctl_client &client, load_settings settings, bool json);

    /// Runs the load. Returns failure when a job failed, or an answer was not the one expected.
    exit_status run();

private:
    struct job_state {
        std::string id;
        std::string body;
        nlohmann::json tasks;
        steady_time began;
        std::int64_t longestMs = 0;
        std::int64_t copiesLeft = 0;
        std::int64_t attempts = 0;
        std::string answer;
    };

    void fill();
    void start();
    void send(const std::shared_ptr<job_state> &job);
    void finish(const std::shared_ptr<job_state> &job, const result_or_failure<incoming_response> &response);
    bool isWhole(const job_state &job, const nlohmann::json &answer) const;
    nlohmann::json summary();

    ctl_client &m_client;
    load_settings m_settings;
    bool m_json;
    system_time m_time;
    std::mt19937_64 m_random;
    std::int64_t m_started = 0;
    std::int64_t m_ended = 0;
    std::int64_t m_underWay = 0;
    std::size_t m_nextEntry = 0;
    std::int64_t m_complete = 0;
    std::int64_t m_failed = 0;
    std::int64_t m_wrong = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_retried = 0;
    std::int64_t m_differing = 0;
    std::vector<double> m_tookMs;
    std::vector<double> m_lagMs;
};

}

#endif
