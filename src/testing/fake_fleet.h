#ifndef AZUREMOOR_TESTING_FAKE_FLEET_H
#define AZUREMOOR_TESTING_FAKE_FLEET_H

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "testing/fake_callers.h"
#include "testing/fake_fleet_settings.h"
#include "testing/fake_log.h"
#include "testing/fake_network.h"
#include "testing/fake_node.h"
#include "testing/fake_upstreams.h"
#include "testing/invariant_checker.h"
#include "testing/job_trace.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/**
 * Real decision objects of a small fleet over fake connections, a fake log and fake upstreams, in virtual time.
 *
 * Tests stop, restart, pause and cut nodes and fault messages. Every start and every reply goes through an invariant_checker.
 */
class fake_fleet : private fake_node_environment
{
public:
    using fault_function = fake_network::fault_function;

    explicit fake_fleet(const fake_fleet_settings &settings);
    ~fake_fleet() override;

    /// Lets time pass.
    void run(microseconds duration);

    /// Lets time pass until every shard is served and every agent takes work, at most the duration. Returns whether that came about.
    bool runUntilReady(microseconds most);

    /// Submits a job at the entry. Returns the position of the request.
    std::size_t submit(const std::string &entry, const job_request &job);

    /// Cancels a job at the entry.
    void cancel(const std::string &entry, const std::string &jobId);

    /// Returns a new job with tasks that run for the given time, and a deadline from now.
    job_request makeJob(std::size_t tasks, microseconds runTime, microseconds deadline);

    /// Ends the process at once.
    void kill(const std::string &name);

    /// Starts the process again, with a new incarnation.
    void start(const std::string &name);

    /// Stops the process without its noticing, and lets it go on.
    void pause(const std::string &name);
    void resume(const std::string &name);

    /// Begins a planned stop. The process ends by itself once it is done.
    void stop(const std::string &name);

    /// Cuts and mends the connection between two nodes.
    void cut(const std::string &left, const std::string &right);
    void mend(const std::string &left, const std::string &right);

    /// Cuts and mends the way of a node to the log.
    void cutLog(const std::string &name);
    void mendLog(const std::string &name);

    /// Prints every message about the job, every start of its tasks and every reply to its callers.
    void trace(const std::string &jobId);

    /// Sets what happens to messages.
    void setFaults(fault_function faults);

    /// Returns whether the process runs.
    bool isUp(const std::string &name) const;

    entry_node &entry(const std::string &name);
    agent_node &agent(const std::string &name);
    std::vector<std::string> entryNames() const;
    std::vector<std::string> agentNames() const;
    fake_log &log();
    virtual_time &time();
    invariant_checker &checker();
    std::vector<caller_request> &requests();
    std::mt19937_64 &random();

    /// Returns the entry that owns the job's shard by the log, as the first running entry knows it.
    std::string ownerOf(const std::string &jobId);

    /// Returns the number of messages that were sent between nodes, heartbeats left out.
    std::uint64_t messages() const;

    /// Returns the agent that started the task last, or an empty text.
    std::string startedAt(const std::string &jobId, std::uint32_t index) const;

    /// Returns when the first task of the job was started, or nothing.
    std::optional<steady_time> firstStart(const std::string &jobId) const;

    /// Returns a text of what every node holds, for counting distinct states.
    std::string describe();

    /// Fails the check for requests whose entry is up and that have no answer though their deadline has passed.
    void checkAnswered();

private:
    void transmit(const std::string &from, const std::string &to, message value) override;
    void appendRecord(const std::string &name, const std::string &recordId, const std::string &body) override;
    void takeReply(const std::string &entryName, std::uint64_t requestId, const job_reply &reply) override;
    void callUpstream(const std::string &agentName, const upstream_call &call) override;

    void addNode(const std::string &name, bool isEntry, std::size_t number);
    void tick(const std::string &name, std::uint64_t generation);
    void readLog(const std::string &name);

    fake_fleet_settings m_settings;
    std::mt19937_64 m_random;
    virtual_time m_time;
    fake_log m_log;
    invariant_checker m_checker;
    fake_node_map m_nodes;
    job_trace m_trace;
    fake_network m_network;
    fake_callers m_callers;
    fake_upstreams m_upstreams;
    std::uint64_t m_nextIncarnation = 100;
};

}

#endif
