#ifndef AZUREMOOR_MESSAGES_JOB_REQUEST_H
#define AZUREMOOR_MESSAGES_JOB_REQUEST_H

#include <algorithm>

#include "base/verdict.h"
#include "messages/bounded_archive.h"

namespace azuremoor
{

/// Most tasks that one job may have.
constexpr std::size_t MAX_TASKS_PER_JOB = 440;

/// What one task occupies on a worker while it runs, besides a slot and a connection.
struct task_shape {
    /// Processor time in thousandths of a core.
    std::uint32_t milliCores = 0;
    std::uint32_t memoryMegabytes = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const task_shape &) const = default;
    auto operator<=>(const task_shape &) const = default;

    /// Returns whether this shape fits into the other in every dimension.
    bool fitsInto(const task_shape &other) const
    {
        return milliCores <= other.milliCores && memoryMegabytes <= other.memoryMegabytes && accelerators <= other.accelerators;
    }

    task_shape &operator+=(const task_shape &other)
    {
        milliCores += other.milliCores;
        memoryMegabytes += other.memoryMegabytes;
        accelerators += other.accelerators;
        return *this;
    }

    /// Returns what is left of this shape without the other: 0 in each dimension in which the other is larger.
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

/// One label of an upstream or of work.
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

/// One task of a job, as the caller submitted it.
struct task_request {
    std::string name;
    std::string payload;
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

/// A job, as the caller submitted it. The pair of identifier and attempt names one submission.
struct job_request {
    std::string id;
    /// Counts the deliberate tries of the caller. A higher attempt is a new try after one that was answered as not run.
    std::uint32_t attempt = 1;
    std::string team;
    /// Milliseconds since the Unix epoch.
    std::int64_t deadlineMilliseconds = 0;
    /// Describes the work, for the rules of the operators.
    std::vector<label> labels;
    /// Which upstreams the caller allows; empty for any.
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

/// What became of one task.
struct task_outcome {
    verdict outcome = verdict::may_have_run;
    /// The answer of the upstream, when the task ran to its end.
    std::string answer;
    /// The reason a person can act on, when there is no answer.
    std::string error;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveEnumeration(archive, outcome, verdict::may_have_run);
        archiveText<MAX_PAYLOAD_BYTES>(archive, answer);
        archiveText<4096>(archive, error);
    }

    /// Returns whether the task ran and its answer is at hand.
    bool isAnswered() const
    {
        return outcome == verdict::ran && error.empty();
    }
};

}

#endif
