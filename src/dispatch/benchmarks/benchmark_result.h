#ifndef AZUREMOOR_DISPATCH_BENCHMARKS_BENCHMARK_RESULT_H
#define AZUREMOOR_DISPATCH_BENCHMARKS_BENCHMARK_RESULT_H

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dispatch/benchmarks/benchmark_load.h"

namespace azuremoor::benchmarks
{

/// What became of one job.
enum class job_fate : std::uint8_t {
    /// No answer by the end of the benchmark.
    lost,
    refused,
    /// Answered otherwise than by completion.
    failed,
    late,
    in_time,
};

/// What became of the job, by its position in the load.
struct job_record {
    job_fate fate = job_fate::lost;
    /// Time from the arrival to the latest first start of a task; negative when no task was started.
    microseconds wait{-1};
    /// Refused although all of its tasks fitted into capacity that was free on the workers.
    bool isRefusedBesideFree = false;
    /// Time from the arrival to the answer of a completed job, as a multiple of its longest run; 0 for others.
    double lag = 0;
};

/// Returns the lag of a job that was completed after the given time.
double lagOf(const benchmark_job &job, microseconds elapsed);

/// Outcome of one load under one policy.
struct benchmark_result {
    std::string load;
    double demand = 0;
    std::string policy;
    std::vector<job_record> jobs;
    /// Work of all runs, in thousandths of a core times microseconds.
    double work = 0;
    /// Work of runs that were stopped or whose job was not completed.
    double lostWork = 0;
    std::uint64_t orders = 0;
    std::uint64_t refusedOrders = 0;
    /// Messages with orders, each of which carries a job's payload once for consecutive orders.
    std::uint64_t payloads = 0;
    std::uint64_t reservations = 0;
    std::uint64_t usedReservations = 0;
    std::uint64_t backfilledOrders = 0;

    /// Adds the jobs and figures of another seed.
    void append(const benchmark_result &other);

    /// Returns the lost work as a part of all work.
    double lostWorkShare() const;
};

/// Figures over a part of the jobs.
struct benchmark_group {
    std::size_t jobs = 0;
    double inTime = 0;
    double late = 0;
    double refused = 0;
    double refusedBesideFree = 0;
    /// Mean lag of the completed jobs.
    double lag = 0;
    /// Mean and 95% quantile of the waits of jobs that started, in milliseconds.
    double meanWait = 0;
    double highWait = 0;
};

/// Parts of the jobs of a kind, or of all kinds, by their work relative to their kind.
enum class size_group : std::uint8_t {
    all,
    largest_tenth,
    /// The fifth below the largest tenth.
    next_fifth,
    others,
};

/// Returns the name of the group, as it appears in reports.
std::string sizeGroupName(size_group group);

/// Returns the figures of a group. The kind is a position in the load, or negative for all kinds.
benchmark_group summarize(const benchmark_load &load, const benchmark_result &result, size_group group, int kind);

/// Returns the result in JSON.
nlohmann::json describe(const benchmark_load &load, const benchmark_result &result);

}

#endif
