#ifndef AZUREMOOR_DISPATCH_BENCHMARKS_BENCHMARK_LOAD_H
#define AZUREMOOR_DISPATCH_BENCHMARKS_BENCHMARK_LOAD_H

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/job_request.h"

namespace azuremoor::benchmarks
{

/// A worker of the fleet. Its agent is named after its position.
struct benchmark_machine {
    std::string dataCentre;
    task_shape capacity;
    /// Reciprocal of the run time of a task, relative to an average worker.
    double speed = 1;
};

/// Jobs of one queue.
struct benchmark_kind {
    std::string name;
    std::uint32_t priority = 0;
    double meanTasks = 1;
    /// Mean run time of a task on an average worker.
    microseconds runTime{0};
    /// Mean and largest capacity that a task needs, in thousandths of a core.
    double meanMilliCores = 0;
    double maxMilliCores = 0;
    /// Part of the demanded work that the kind makes up.
    double workShare = 0;
};

/// A time in which a multiple of the usual number of a kind's jobs arrives.
struct benchmark_burst {
    std::size_t kind = 0;
    /// Time from the begin of the load.
    microseconds begin{0};
    microseconds duration{0};
    double factor = 1;
};

/// A worker that leaves: it takes no new runs from the time on, and is lost with its runs after the notice.
struct benchmark_departure {
    /// Position of the worker in the load.
    std::size_t machine = 0;
    /// Time from the begin of the load.
    microseconds time{0};
    microseconds notice{0};
};

/// One job, with the run times that only the workers know.
struct benchmark_job {
    std::size_t kind = 0;
    /// Position of the entry that the caller is connected to.
    std::size_t entry = 0;
    /// Time from the begin of the load.
    microseconds arrival{0};
    task_shape shape;
    microseconds estimate{0};
    /// Run time of each task on a worker of speed 1.
    std::vector<microseconds> runTimes;

    /// Returns the work of all tasks, in thousandths of a core times microseconds at speed 1.
    double work() const;
};

/// A fleet and the jobs that its callers send.
struct benchmark_load {
    std::string name;
    /// Demanded work as a part of the capacity of all workers.
    double demand = 0;
    std::vector<std::string> dataCentres;
    /// Data centre of each entry.
    std::vector<std::string> entries;
    std::vector<benchmark_machine> machines;
    std::vector<benchmark_kind> kinds;
    std::vector<benchmark_job> jobs;
    /// Time for which jobs arrive.
    microseconds duration{0};
    std::vector<benchmark_burst> bursts{};
    std::vector<benchmark_departure> departures{};
    /// Rate of each entry's link, in bits per second; 0 if it limits nothing.
    double linkBitsPerSecond = 0;
};

/// Returns the load of the taxi bookings with a third of the workers of the customer, at the given part of the capacity.
benchmark_load taxiLoad(double demand, microseconds duration, std::uint64_t seed);

/// Returns the load of the materials look-ups with a quarter of the workers of the customer, at the given part of the capacity.
benchmark_load alloyLoad(double demand, microseconds duration, std::uint64_t seed);

/// Returns the load of the taxi bookings with all of the customer's workers, with a burst of one queue and an eighth of the workers
/// leaving.
benchmark_load taxiBurstLoad(double demand, microseconds duration, std::uint64_t seed);

/// Returns the load of the materials look-ups with a burst of one queue and an eighth of the workers leaving.
benchmark_load alloyBurstLoad(double demand, microseconds duration, std::uint64_t seed);

/// Returns the load of the materials look-ups with few entries, whose links of 2 Mbit/s are almost full of payloads.
benchmark_load alloyNarrowLoad(double demand, microseconds duration, std::uint64_t seed);

/// Returns a stream of small jobs with a few jobs whose tasks need most of a worker, at the given part of the capacity.
benchmark_load wideLoad(double demand, microseconds duration, std::uint64_t seed);

}

#endif
