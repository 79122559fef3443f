#include "testing/fake_upstreams.h"

namespace azuremoor::testing
{

fake_upstreams::fake_upstreams(virtual_time &time, const fake_node_map &nodes, invariant_checker &checker, const job_trace &trace)
    : m_time(time)
    , m_nodes(nodes)
    , m_checker(checker)
    , m_trace(trace)
{
}

void fake_upstreams::call(const std::string &agentName, const upstream_call &call)
{
    m_checker.noteStart(call.jobId, call.attempt, call.index);
    m_startedAt[{call.jobId, call.index}] = agentName;
    m_firstStart.try_emplace(call.jobId, m_time.steadyNow());
    if (m_trace.follows(call.jobId)) {
        m_trace.noteEvent(agentName + " starts task " + std::to_string(call.index));
    }
    const std::uint64_t generation = m_nodes.at(agentName)->generation();
    const microseconds runTime(std::stoll(call.payload));
    const task_outcome outcome{verdict::ran, invariant_checker::answerFor(call.jobId, call.taskName, call.payload), {}};
    m_time.after(runTime, [this, agentName, generation, callId = call.callId, outcome] {
        fake_node &target = *m_nodes.at(agentName);
        if (!target.isUpSince(generation)) {
            return;
        }
        target.run([&target, callId, outcome] {
            if (target.agent() != nullptr) {
                target.agent()->worker().finishCall(callId, outcome);
            }
        });
    });
}

std::string fake_upstreams::startedAt(const std::string &jobId, std::uint32_t index) const
{
    const auto found = m_startedAt.find({jobId, index});
    return found == m_startedAt.end() ? std::string() : found->second;
}

std::optional<steady_time> fake_upstreams::firstStart(const std::string &jobId) const
{
    const auto found = m_firstStart.find(jobId);
    return found == m_firstStart.end() ? std::nullopt : std::optional(found->second);
}

}
