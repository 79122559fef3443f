#ifndef AZUREMOOR_MESSAGES_HANDOVER_MESSAGES_H
#define AZUREMOOR_MESSAGES_HANDOVER_MESSAGES_H

#include "messages/job_request.h"

namespace azuremoor
{

/// Maximum number of steps of a job that is handed over.
constexpr std::size_t MAX_HANDED_STEPS = 64;

/// Maximum length of a reason in an answer, in bytes.
constexpr std::size_t MAX_HANDOVER_REASON_BYTES = 1024;

/// A step of a job that is handed over; see `step_spec`.
struct handed_step {
    std::uint32_t count = 1;
    task_shape shape;
    std::int64_t estimateMicroseconds = 0;
    /// Indexes of earlier steps.
    std::vector<std::uint32_t> dependsOn;
    std::string requiredLabel;
    std::string preferredRack;
    std::uint32_t maxTasksPerWorker = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(count, shape, estimateMicroseconds);
        archiveList<MAX_HANDED_STEPS>(archive, dependsOn);
        archiveText(archive, requiredLabel);
        archiveText(archive, preferredRack);
        archive(maxTasksPerWorker);
    }
};

/// The fields of a route that the receiver of a job needs; see `route`.
struct handed_route {
    std::string name;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double slackFactor = 1;
    std::int64_t targetLatencyMicroseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, name);
        archiveText(archive, service);
        archive(priority, maxAttempts, slackFactor, targetLatencyMicroseconds);
    }
};

/// Hands a job over to another entry, which answers with a `handover_answer`.
struct job_handover {
    /// Epoch of the sender's handovers to the receiver; see `handover_lease`.
    std::uint64_t epoch = 0;
    /// Number of the job among all that the sender hands over.
    std::uint64_t number = 0;
    /// A sign of life of the sender, as in `handover_lease::peerMicroseconds`.
    std::int64_t peerMicroseconds = 0;
    std::string job;
    std::string payload;
    std::vector<handed_step> steps;
    handed_route route;
    /// Version of the routing configuration that the route comes from.
    std::uint64_t routingVersion = 0;
    /// Time since the caller's request reached the sender.
    std::int64_t elapsedMicroseconds = 0;
    /// Time until the caller no longer waits.
    std::int64_t remainingMicroseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, number, peerMicroseconds);
        archiveText(archive, job);
        archiveText<MAX_PAYLOAD_BYTES>(archive, payload);
        archiveList<MAX_HANDED_STEPS>(archive, steps);
        archive(route, routingVersion, elapsedMicroseconds, remainingMicroseconds);
    }
};

/// Kind of the answer to a handed-over job.
enum class handover_answer_kind : std::uint8_t {
    completed = 0,
    failed = 1,
    /// The job has not run, because there is too much work.
    refused_full = 2,
    /// The job has not run, because something that it needs is missing.
    refused_unavailable = 3,
    /// The job may have run.
    expired = 4,
    /// The sender of the job, or a caller, cancelled it. It may have run.
    cancelled = 5,
};

/// The outcome of a job that was handed over, or the confirmation that it was cancelled.
struct handover_answer {
    /// Number from `job_handover`.
    std::uint64_t number = 0;
    handover_answer_kind kind = handover_answer_kind::expired;
    std::string reason;
    /// Time after which a refused job may be submitted again.
    std::int64_t retryAfterMicroseconds = 0;
    /// Runs of a job with the same identifier may go on at the sender, or begin there. It sends a `handover_released` once they cannot.
    bool mayRun = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(number);
        archiveEnumeration(archive, kind, handover_answer_kind::cancelled);
        archiveText<MAX_HANDOVER_REASON_BYTES>(archive, reason);
        archive(retryAfterMicroseconds);
        archiveBool(archive, mayRun);
    }
};

/// States that no run of the jobs goes on or begins at the sender any more. Follows answers with `handover_answer::mayRun`.
struct handover_released {
    /// Numbers from `job_handover`.
    std::vector<std::uint64_t> numbers;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList(archive, numbers);
    }
};

/// Cancels jobs that were handed over. Each is confirmed with a `handover_answer`, whether it is known or not.
struct handover_cancel {
    std::vector<std::uint64_t> numbers;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList(archive, numbers);
    }
};

/**
 * Sign of life of an entry that has handed over jobs, and the same message as the answer to it.
 *
 * An epoch begins with the first job that is handed over while none is. It ends when none is left, or when the sender gives the jobs up.
 * A sign of life counts for the jobs of its epoch only.
 */
struct handover_lease {
    std::uint64_t epoch = 0;
    /// Steady clock of the sender of this message when it was made, in microseconds.
    std::int64_t sentMicroseconds = 0;
    /// A time on the steady clock of the receiver of this message, in microseconds, that is not later than when the message was made.
    std::int64_t peerMicroseconds = 0;
    /// The message answers another one.
    bool isAnswer = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(epoch, sentMicroseconds, peerMicroseconds);
        archiveBool(archive, isAnswer);
    }
};

}

#endif
