#include "testing/job_trace.h"

#include <iostream>

#include "base/submission_id.h"
#include "testing/message_trace.h"

namespace azuremoor::testing
{

job_trace::job_trace(const virtual_time &time)
    : m_time(time)
{
}

void job_trace::follow(const std::string &jobId)
{
    m_job = jobId;
}

bool job_trace::follows(const std::string &jobId) const
{
    return !m_job.empty() && m_job == jobId;
}

void job_trace::noteEvent(const std::string &line) const
{
    if (m_job.empty()) {
        return;
    }
    std::cout << (m_time.steadyNow().time_since_epoch().count() - 1'000'000'000) / 1000 << " ms " << line << std::endl;
}

void job_trace::noteMessage(const std::string &from, const std::string &to, std::string_view receiverState, const message &value) const
{
    const std::string line = m_job.empty() ? std::string() : traceLine(value, m_job);
    if (!line.empty()) {
        noteEvent(from + " -> " + to + std::string(receiverState) + ": " + line);
    }
}

void job_trace::noteShard(const std::string &name, const entry_node &entry)
{
    if (m_job.empty()) {
        return;
    }
    const std::uint32_t shard = shardOf(m_job);
    const shard_ownership &ownership = entry.stream().state().ownership(shard);
    const auto horizon = entry.shardStates().evidenceLostBefore(shard);
    const std::string custody = "sees owner " + ownership.owner + " epoch " + std::to_string(ownership.epoch)
        + (ownership.handedOver ? " handed over" : "") + ", own state " + std::to_string(static_cast<int>(entry.shardStates().state(shard)))
        + ", horizon "
        + (horizon ? std::to_string(unixMilliseconds(*horizon) - unixMilliseconds(virtual_time::unixAt(steady_time(seconds(1000)))))
                   : "none");
    if (m_shardLines[name] != custody) {
        m_shardLines[name] = custody;
        noteEvent(name + " " + custody);
    }
}

}
