#ifndef AZUREMOOR_JOBS_OWNER_COUNTERS_H
#define AZUREMOOR_JOBS_OWNER_COUNTERS_H

#include <cstdint>

namespace azuremoor
{

/// Event counts since the process started, exported as metrics.
struct owner_counters {
    /// Forwarded submissions received, including repeated and deferred ones.
    std::uint64_t submissions = 0;
    /// Jobs accepted to run.
    std::uint64_t admitted = 0;
    /// Submissions for which a job was already stored, including those refused because of a conflict with it.
    std::uint64_t attached = 0;
    /// Submissions refused. Jobs that no worker can run are not counted.
    std::uint64_t refused = 0;
    /// Jobs closed with an answer for every task.
    std::uint64_t complete = 0;
    /// Jobs closed without an answer for every task, except refused ones.
    std::uint64_t failed = 0;
    /// Tasks queued again because they were not run at the agent that they were sent to.
    std::uint64_t requeued = 0;
    /// Tasks that an agent was asked to revoke; a repeated request counts again.
    std::uint64_t revocations = 0;
    /// Requests to an agent to record the tombstone of a submission.
    std::uint64_t tombstones = 0;
    /// Task results that did not match a current placement.
    std::uint64_t lateResults = 0;
    /// New jobs to which evidence of earlier starts, or the lack of evidence, was applied.
    std::uint64_t adopted = 0;
    /// Tasks of new jobs that ended as may_have_run because evidence of earlier starts may be missing.
    std::uint64_t uncertain = 0;
    /// Jobs sent to another owner, including those in transfers that were not confirmed.
    std::uint64_t handedOver = 0;
};

}

#endif
