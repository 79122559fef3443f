#ifndef AZUREMOOR_TESTING_JOB_TRACE_H
#define AZUREMOOR_TESTING_JOB_TRACE_H

#include <map>
#include <string>
#include <string_view>

#include "nodes/entry_node.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// Prints what happens to one job of a fake fleet.
class job_trace
{
public:
    explicit job_trace(const virtual_time &time);

    /// Prints events from now on, and those about the job.
    void follow(const std::string &jobId);

    /// Returns whether the job is the one that is followed.
    bool follows(const std::string &jobId) const;

    /// Prints the event if a job is followed.
    void noteEvent(const std::string &line) const;

    /// Prints the message if it concerns the job. The state of the receiver is added to its name.
    void noteMessage(const std::string &from, const std::string &to, std::string_view receiverState, const message &value) const;

    /// Prints how the entry sees the shard of the job, if that has changed.
    void noteShard(const std::string &name, const entry_node &entry);

private:
    const virtual_time &m_time;
    std::string m_job;
    /// The last line about the shard of the job, by entry.
    std::map<std::string, std::string> m_shardLines;
};

}

#endif
