#ifndef AZUREMOOR_MESSAGES_JOB_REQUEST_H
#define AZUREMOOR_MESSAGES_JOB_REQUEST_H

#include <algorithm>

#include "base/verdict.h"
#include "messages/bounded_archive.h"

namespace azuremoor
{

/// Maximum number of tasks in a job.
constexpr std::size_t MAX_TASKS_PER_JOB = 440;

/// An amount of resources: what a task reserves on a worker while it runs, in addition to a slot and a connection, or what a worker
/// offers. Tasks with equal shapes are interchangeable for credits and capacity.
struct task_shape {
    /// CPU capacity in thousandths of a core.
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const task_shape &) const = default;
    auto operator<=>(const task_shape &) const = default;

    /// Returns whether no dimension of this shape is larger than in the other.
    bool fitsInto(const task_shape &other) const
    {
        return milliCores <= other.milliCores && memoryMegabytes <= other.memoryMegabytes && accelerators <= other.accelerators;
    }

    /// Returns the larger amount of each resource.
    task_shape maximumWith(const task_shape &other) const
    {
        return {std::max(milliCores, other.milliCores),
                std::max(memoryMegabytes, other.memoryMegabytes),
                std::max(accelerators, other.accelerators)};
    }

    task_shape &operator+=(const task_shape &other)
    {
        milliCores += other.milliCores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }

    /// Subtracts the other shape from this one in each dimension. The result is 0 where the other is larger.
    task_shape saturatingMinus(const task_shape &other) const
    {
        return {milliCores - std::min(milliCores, other.milliCores),
                memoryMegabytes - std::min(memoryMegabytes, other.memoryMegabytes),
                accelerators - std::min(accelerators, other.accelerators)};
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(milliCores, memoryMegabytes, accelerators);
    }
};

/// Key-value label of an upstream or of a job.
struct label {
    std::string key;
    std::string value;

    bool operator==(const label &) const = default;
    auto operator<=>(const label &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, key);
        archiveText(archive, value);
    }
};

/// A task of a job as submitted by the caller.
struct task_request {
    std::string name;
    std::string payload;
    /// The caller declares that running the task more than once is harmless.
    bool idempotent = false;
    task_shape shape;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, name);
        archiveText<MAX_PAYLOAD_BYTES>(archive, payload);
        archiveBool(archive, idempotent);
        archive(shape);
    }
};

/// A job as submitted by the caller. Job identifier and attempt together identify a submission; the same pair sent again is a
/// resubmission.
struct job_request {
    std::string id;
    /// Number of the attempt, chosen by the caller and starting at 1. The caller uses a higher number to retry a job whose previous attempt
    /// was reported as not run.
    std::uint32_t attempt = 1;
    std::string team;
    /// Deadline in milliseconds since the Unix epoch.
    std::int64_t deadlineMilliseconds = 0;
    /// Labels of the job, matched by rules in the configuration.
    std::vector<label> labels;
    /// Selector of the upstreams on which the caller allows the job to run; empty for any upstream.
    std::string selector;
    std::vector<task_request> tasks;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, id);
        archive(attempt);
        archiveText(archive, team);
        archive(deadlineMilliseconds);
        archiveList<64>(archive, labels);
        archiveText<4096>(archive, selector);
        archiveList<MAX_TASKS_PER_JOB>(archive, tasks);
    }
};

/// Final outcome of a task.
struct task_outcome {
    /// Whether the task ran.
    verdict outcome = verdict::may_have_run;
    /// Answer of the upstream if the task ran to completion.
    std::string answer;
    /// Reason why there is no answer, worded so that an operator or a caller can act on it; empty if there is one.
    std::string error;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveEnumeration(archive, outcome, verdict::may_have_run);
        archiveText<MAX_PAYLOAD_BYTES>(archive, answer);
        archiveText<4096>(archive, error);
    }

    /// Returns whether the task ran and its answer is available.
    bool isAnswered() const
    {
        return outcome == verdict::ran && error.empty();
    }
};

}

#endif
