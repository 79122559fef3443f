#ifndef AZUREMOOR_MESSAGES_RUN_MESSAGES_H
#define AZUREMOOR_MESSAGES_RUN_MESSAGES_H

#include "messages/job_request.h"

namespace azuremoor
{

/// How one run of a task ended, or why it never began.
enum class run_outcome : std::uint8_t {
    done = 0,
    /// The task failed by its own fault or its worker's.
    failed = 1,
    /// Ended because it was told to.
    stopped = 2,
    /// Ended because a lease expired.
    lapsed = 3,
    /// Ended with its worker.
    worker_lost = 4,
    /// Never began: no room.
    no_room = 5,
    /// Never began: the worker is leaving, unknown or not reachable.
    closed = 6,
    /// Never began: the worker has seen this number, or a higher one, for the task.
    stale_number = 7,
    /// Never began: the worker cannot read the order.
    rejected = 8,
};

/// Returns whether a run with this outcome has been under way.
constexpr bool hasBegun(run_outcome outcome)
{
    return outcome <= run_outcome::worker_lost;
}

/// Returns the name of the outcome, for logs.
constexpr std::string_view runOutcomeName(run_outcome outcome)
{
    constexpr std::string_view NAMES[]
        = {"done", "failed", "stopped", "lapsed", "worker_lost", "no_room", "closed", "stale_number", "rejected"};
    return NAMES[static_cast<std::size_t>(outcome)];
}

/// An order to run one task.
struct run_order {
    /// Numbers the orders of an entry to one agent, from 1 on without gaps.
    std::uint64_t sequence = 0;
    /// Name of the task, unique among all jobs.
    std::string task;
    /// Numbers the runs of the task.
    std::uint32_t number = 1;
    std::string payload;
    task_shape shape;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence);
        archiveText(archive, task);
        archive(number);
        archiveText<MAX_PAYLOAD_BYTES>(archive, payload);
        archive(shape);
    }
};

/// Orders runs on the agent's worker.
struct start_runs {
    /// The life of the worker that the orders are meant for.
    std::string worker;
    std::vector<run_order> orders;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, worker);
        archiveList(archive, orders);
    }
};

/// Ends runs, named by the sequence of their orders. Each still gets its result.
struct stop_runs {
    std::vector<std::uint64_t> sequences;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList(archive, sequences);
    }
};

/// How the run of one order ended.
struct run_result {
    std::uint64_t sequence = 0;
    run_outcome outcome = run_outcome::closed;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence);
        archiveEnumeration(archive, outcome, run_outcome::rejected);
    }
};

/// Results for one entry, repeated on every new connection until they are acknowledged.
struct run_results {
    /// Number of the first result; results to one entry are numbered from 1 on without gaps.
    std::uint64_t firstNumber = 1;
    std::vector<run_result> results;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(firstNumber);
        archiveList(archive, results);
    }
};

/// Acknowledges results up to a number.
struct run_results_received {
    std::uint64_t lastNumber = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(lastNumber);
    }
};

/// Progress of one run.
struct run_progress {
    std::uint64_t sequence = 0;
    /// Share of the work that is done, in percent.
    std::uint8_t percent = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, percent);
    }
};

/// What an agent tells the entries of its worker, at the beginning of a connection and whenever the worker or its state changes.
struct worker_status {
    /// The worker takes runs: it is known, holds a lease and runs nothing unknown.
    bool ready = false;
    bool draining = false;
    /// The life of the worker; differs after a restart.
    std::string worker;
    std::string service;
    std::vector<std::string> labels;
    task_shape capacity;
    task_shape free;
    /// Sequence of the receiver's latest order that the free room accounts for.
    std::uint64_t appliedOrder = 0;
    /// Progress of the receiver's runs.
    std::vector<run_progress> progress;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveBool(archive, ready);
        archiveBool(archive, draining);
        archiveText(archive, worker);
        archiveText(archive, service);
        archiveNames(archive, labels);
        archive(capacity, free, appliedOrder);
        archiveList(archive, progress);
    }
};

/// What changes all the time in an agent's worker.
struct room_update {
    task_shape free;
    /// Sequence of the receiver's latest order that the free room accounts for.
    std::uint64_t appliedOrder = 0;
    /// Progress of the receiver's runs.
    std::vector<run_progress> progress;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(free, appliedOrder);
        archiveList(archive, progress);
    }
};

/// An entry asks an agent to be told of room as soon as it becomes free.
struct room_wish {
    /// Thousandths of a core that the entry's waiting tasks need; 0 when none waits any more.
    std::uint64_t milliCores = 0;
    /// Thousandths of a core that the smallest of these tasks needs.
    std::uint32_t smallestMilliCores = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(milliCores, smallestMilliCores);
    }
};

/// Addresses of entries that the sender believes to be alive.
struct known_entries {
    std::vector<std::string> addresses;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveNames(archive, addresses);
    }
};

/// The routing configuration as the platform's store holds it.
struct routing_update {
    std::uint64_t version = 0;
    std::string document;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(version);
        archiveText<4 * 1024 * 1024>(archive, document);
    }
};

}

#endif
