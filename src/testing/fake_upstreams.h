#ifndef AZUREMOOR_TESTING_FAKE_UPSTREAMS_H
#define AZUREMOOR_TESTING_FAKE_UPSTREAMS_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "testing/fake_node.h"
#include "testing/invariant_checker.h"
#include "testing/job_trace.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// The upstreams of a fake fleet. A task runs for the time that its payload says, and its answer can be checked.
class fake_upstreams
{
public:
    /// All referenced objects must outlive the upstreams.
    fake_upstreams(virtual_time &time, const fake_node_map &nodes, invariant_checker &checker, const job_trace &trace);

    /// Starts the task at the upstream of the agent.
    void call(const std::string &agent, const upstream_call &call);

    /// Returns the agent that started the task last, or an empty text.
    std::string startedAt(const std::string &jobId, std::uint32_t index) const;

    /// Returns when the first task of the job was started, or nothing.
    std::optional<steady_time> firstStart(const std::string &jobId) const;

private:
    virtual_time &m_time;
    const fake_node_map &m_nodes;
    invariant_checker &m_checker;
    const job_trace &m_trace;
    std::map<std::pair<std::string, std::uint32_t>, std::string> m_startedAt;
    std::map<std::string, steady_time> m_firstStart;
};

}

#endif
