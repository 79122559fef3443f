#ifndef AZUREMOOR_MESSAGES_RUN_MESSAGES_H
#define AZUREMOOR_MESSAGES_RUN_MESSAGES_H

#include <string_view>

#include "messages/job_request.h"

namespace azuremoor
{

/// How a run of a task ended, or why it was never started.
enum class run_outcome : std::uint8_t {
    done = 0,
    /// The task failed, because of an error of its own or of its worker.
    failed = 1,
    /// Stopped on request of the entry.
    stopped = 2,
    /// Stopped because a lease expired. Says nothing of the worker: the agent or the entry may have fallen silent.
    lapsed = 3,
    /// Ended because its worker was lost.
    worker_lost = 4,
    /// Never started: the worker has too little free capacity.
    no_room = 5,
    /// Never started: the worker is leaving, unknown or unreachable.
    closed = 6,
    /// Never started: the worker has already received this run number, or a higher one, for the task.
    stale_number = 7,
    /// Never started: the worker could not parse the order.
    rejected = 8,
    /// Stopped because the worker's lease expired: the worker fell silent after it had confirmed the start.
    worker_silent = 9,
};

/// Returns whether a run with this outcome was started, or may have been.
constexpr bool hasBegun(run_outcome outcome)
{
    return outcome <= run_outcome::worker_lost || outcome == run_outcome::worker_silent;
}

/// Returns the name of the outcome as it appears in logs.
constexpr std::string_view runOutcomeName(run_outcome outcome)
{
    constexpr std::string_view NAMES[]
        = {"done", "failed", "stopped", "lapsed", "worker_lost", "no_room", "closed", "stale_number", "rejected", "worker_silent"};
    return NAMES[static_cast<std::size_t>(outcome)];
}

/// Maximum number of entries whose handed-over jobs one entry runs.
constexpr std::size_t MAX_ORIGINS = 32;

/// Age of the last sign of life of an entry that handed jobs over to the sender of the message.
struct origin_age {
    /// The origin as in `run_order::origin`.
    std::string origin{};
    /// Upper bound of the age, in microseconds, at the time on the agent's clock that the message names.
    std::uint64_t ageMicroseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, origin);
        archive(ageMicroseconds);
    }
};

/// Order of an entry to an agent to run one task on its worker.
struct run_order {
    /// Sequence number of the order among all orders of this entry to this agent. Starts at 1 and has no gaps.
    std::uint64_t sequence = 0;
    /// Name of the task, unique across all jobs.
    std::string task;
    /// Number of this run of the task. Increases with every run.
    std::uint32_t number = 1;
    /// Content of the task. The message that carries the order writes it.
    std::string payload;
    task_shape shape;
    /// Estimated run time on an average worker, in microseconds; 0 if the entry does not use forecasts of free capacity.
    std::int64_t estimate = 0;
    /// Entry, incarnation and epoch from which the job was handed over; empty for a job of the sender's own. The message that carries the
    /// order writes it.
    std::string origin{};
    /// Queue of the task's job. The message that carries the order writes it.
    std::string queue{};
    /// The start is sent to the worker only after it has answered another request, which shows that it is up.
    bool isWorkerAskedFirst = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence);
        archiveText(archive, task);
        archive(number, shape, estimate);
        archiveBool(archive, isWorkerAskedFirst);
    }
};

/// An agent sends a heartbeat in each interval to an entry that has runs or unacknowledged results there, and to another entry once in this
/// number of intervals.
constexpr int IDLE_HEARTBEAT_INTERVALS = 4;

/// Sends run orders to the worker of an agent. Tasks of one job have the same payload, which is written once for consecutive orders.
struct start_runs {
    /// Identifier of the worker instance that the orders are meant for. It changes when the worker restarts.
    std::string worker;
    std::vector<run_order> orders;
    /// A time on the agent's steady clock, in microseconds, that is not later than when the orders were made. It renews the entry's lease
    /// like the answer to a heartbeat that was sent at that time.
    std::int64_t agentMicroseconds = 0;
    /// Origins of the orders. The ages count back from `agentMicroseconds`.
    std::vector<origin_age> origins{};

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, worker);
        archive(agentMicroseconds);
        archiveList<MAX_ORIGINS>(archive, origins);
        archiveList(archive, orders);
        std::string_view previous;
        std::string_view previousOrigin;
        std::string_view previousQueue;
        for (run_order &order : orders) {
            bool repeatsPayload = order.payload == previous;
            archiveBool(archive, repeatsPayload);
            if (!repeatsPayload) {
                archiveText<MAX_PAYLOAD_BYTES>(archive, order.payload);
            } else if constexpr (Archive::is_loading::value) {
                order.payload = previous;
            }
            previous = order.payload;
            bool repeatsOrigin = order.origin == previousOrigin;
            archiveBool(archive, repeatsOrigin);
            if (!repeatsOrigin) {
                archiveText(archive, order.origin);
            } else if constexpr (Archive::is_loading::value) {
                order.origin = previousOrigin;
            }
            previousOrigin = order.origin;
            bool repeatsQueue = order.queue == previousQueue;
            archiveBool(archive, repeatsQueue);
            if (!repeatsQueue) {
                archiveText(archive, order.queue);
            } else if constexpr (Archive::is_loading::value) {
                order.queue = previousQueue;
            }
            previousQueue = order.queue;
        }
    }
};

/// Stops runs. The agent still sends a run_result for each of them.
struct stop_runs {
    /// Sequence numbers of the orders whose runs are stopped.
    std::vector<std::uint64_t> sequences;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList(archive, sequences);
    }
};

/// Result of one run order.
struct run_result {
    /// Sequence number of the order.
    std::uint64_t sequence = 0;
    run_outcome outcome = run_outcome::closed;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence);
        archiveEnumeration(archive, outcome, run_outcome::worker_silent);
    }
};

/// Results of the run orders of one entry. The agent sends them again on every new connection until the entry acknowledges them with
/// run_results_received.
struct run_results {
    /// Number of the first result in the list. Results to one entry are numbered from 1 without gaps.
    std::uint64_t firstNumber = 1;
    std::vector<run_result> results;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(firstNumber);
        archiveList(archive, results);
    }
};

/// Acknowledges all results up to and including a number.
struct run_results_received {
    std::uint64_t lastNumber = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(lastNumber);
    }
};

/// Progress of a run.
struct run_progress {
    /// Sequence number of the order.
    std::uint64_t sequence = 0;
    /// Completed share of the work in percent.
    std::uint8_t percent = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(sequence, percent);
    }
};

/// Maximum number of steps in a forecast of free capacity.
constexpr std::size_t MAX_FORECAST_STEPS = 4;

/// A step of a forecast of free capacity.
struct capacity_step {
    /// Time from the message, in milliseconds.
    std::uint32_t milliseconds = 0;
    /// Thousandths of a core that are expected to be free by then, if nothing more is started.
    std::uint32_t freeMilliCores = 0;

    bool operator==(const capacity_step &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(milliseconds, freeMilliCores);
    }
};

/// What an entry is told of the capacity that is expected on a worker: only when it has ordered runs with estimates there.
struct capacity_outlook {
    /// Forecast with increasing times and amounts.
    std::vector<capacity_step> steps;
    /// Capacity that is reserved for a waiting task of one entry; nothing if all amounts are 0.
    task_shape reserved;
    /// Time from the message until the reserved capacity is expected to be free, in milliseconds. Other runs that end by then may be
    /// ordered.
    std::uint32_t reservedInMilliseconds = 0;
    /// The reservation is that of the receiving entry.
    bool isOwnReservation = false;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList<MAX_FORECAST_STEPS>(archive, steps);
        archive(reserved, reservedInMilliseconds);
        archiveBool(archive, isOwnReservation);
    }
};

/// State of the worker of an agent. The agent sends it to entries on every new connection and whenever the worker or its state changes.
struct worker_status {
    /// True if the worker accepts runs: it has registered, holds a lease and executes no run that the agent does not know.
    bool ready = false;
    /// True if the worker finishes its runs and accepts no new ones.
    bool draining = false;
    /// Identifier of the worker instance. It changes when the worker restarts.
    std::string worker;
    std::string service;
    std::vector<std::string> labels;
    task_shape capacity;
    task_shape free;
    /// Sequence number of the latest order from the receiving entry that `free` already includes.
    std::uint64_t appliedOrder = 0;
    /// Progress of the runs that the receiving entry ordered.
    std::vector<run_progress> progress;
    /// How much longer the worker is slow after its start, in milliseconds.
    std::uint32_t coldMilliseconds = 0;
    capacity_outlook outlook{};

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
        archive(coldMilliseconds);
        archive(outlook);
    }
};

/// The frequently changing part of worker_status: free capacity and progress of runs.
struct room_update {
    task_shape free;
    /// Sequence number of the latest order from the receiving entry that `free` already includes.
    std::uint64_t appliedOrder = 0;
    /// Progress of the runs that the receiving entry ordered.
    std::vector<run_progress> progress;
    capacity_outlook outlook{};

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(free, appliedOrder);
        archiveList(archive, progress);
        archive(outlook);
    }
};

/// Maximum number of priorities in a room_wish.
constexpr std::size_t MAX_DEMAND_PRIORITIES = 8;

/// CPU capacity that the waiting tasks of queues of one priority need.
struct priority_demand {
    /// Priority of the queues; 0 is the highest.
    std::uint32_t priority = 0;
    std::uint64_t milliCores = 0;

    bool operator==(const priority_demand &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(priority, milliCores);
    }
};

/// Asks an agent to notify the sending entry when capacity becomes free on its worker.
struct room_wish {
    /// CPU capacity that the waiting tasks of the entry need, in thousandths of a core; 0 withdraws the request because no task is waiting.
    std::uint64_t milliCores = 0;
    /// CPU capacity that the smallest of these tasks needs, in thousandths of a core.
    std::uint32_t smallestMilliCores = 0;
    /// The needed capacity by priority, with the highest one, which is that of the most urgent waiting work, first. The lowest ones are
    /// counted together when there are more than MAX_DEMAND_PRIORITIES.
    std::vector<priority_demand> byPriority{};

    /// Returns the capacity that waiting tasks of the priority need. Without rows, all of it has priority 0.
    std::uint64_t milliCoresOf(std::uint32_t priority) const
    {
        for (const priority_demand &row : byPriority) {
            if (row.priority == priority) {
                return row.milliCores;
            }
        }
        return byPriority.empty() && priority == 0 ? milliCores : 0;
    }

    /// Returns the priority of the most urgent waiting work.
    std::uint32_t highestPriority() const
    {
        return byPriority.empty() ? 0 : byPriority.front().priority;
    }

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(milliCores, smallestMilliCores);
        archiveList<MAX_DEMAND_PRIORITIES>(archive, byPriority);
    }
};

/// Reserves capacity on an agent's worker for a waiting task of the sending entry, or withdraws the reservation with a shape of zeros. Of
/// several entries the first gets the reservation, unless a later one has a higher priority.
struct reserve_room {
    task_shape shape;
    /// Priority of the task's queue; 0 is the highest.
    std::uint32_t priority = 0;
    /// Time from the message until the reservation ends at the latest, in milliseconds.
    std::uint32_t untilMilliseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(shape, priority, untilMilliseconds);
    }
};

/// Addresses of the entries that the sender considers alive.
struct known_entries {
    std::vector<std::string> addresses;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveNames(archive, addresses);
    }
};

/// Asks an entry for a piece of the document that holds the routing configuration.
struct routing_request {
    /// Version of the configuration.
    std::uint64_t version = 0;
    /// Position of the piece in the document, in bytes.
    std::uint64_t offset = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, offset);
    }
};

/// Maximum size of a piece of the routing configuration, in bytes.
constexpr std::size_t MAX_ROUTING_PIECE_BYTES = 64 * 1024;

/// A piece of the document that holds the routing configuration from the platform's store.
struct routing_piece {
    /// Version of the configuration: the one that was requested, or a newer one from its beginning.
    std::uint64_t version = 0;
    /// Size of the whole document in bytes.
    std::uint64_t documentBytes = 0;
    /// Position of the piece in the document, in bytes.
    std::uint64_t offset = 0;
    std::string bytes;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(version, documentBytes, offset);
        archiveText<MAX_ROUTING_PIECE_BYTES>(archive, bytes);
    }
};

}

#endif
