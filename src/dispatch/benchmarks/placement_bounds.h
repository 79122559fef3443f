#ifndef AZUREMOOR_DISPATCH_BENCHMARKS_PLACEMENT_BOUNDS_H
#define AZUREMOOR_DISPATCH_BENCHMARKS_PLACEMENT_BOUNDS_H

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/benchmarks/benchmark_result.h"

namespace azuremoor::benchmarks
{

/// How the largest jobs of a kind are served, compared to the whole kind.
struct largest_tenth {
    /// Name of the bound, with the load and the kind.
    std::string name;
    /// Parts of the jobs that are served in time.
    double inTime = 0;
    double inTimeOfKind = 0;
    /// The bound is listed in KNOWN-RED.txt.
    bool isKnownRed = false;

    /// Returns whether the largest tenth is served often enough.
    bool isHeld() const;
};

/// Demand at which the largest tenth of each kind is bounded.
constexpr double LARGEST_TENTH_DEMAND = 0.95;

/// Checks the bounds of docs/design/look-ahead.md.
class placement_bounds
{
public:
    /// Adds the result of a policy under a load.
    void add(const benchmark_load &load, const benchmark_result &result);

    /// Returns a description of each bound that is not held, without those of the largest tenths.
    std::vector<std::string> violations() const;

    /// Returns how the largest tenth of each kind is served at the bounded demand under look-ahead placement.
    std::vector<largest_tenth> largestTenths() const;

private:
    /// Number of jobs, and of those that were served in time and that were late.
    struct job_counts {
        double jobs = 0;
        double inTime = 0;
        double late = 0;
    };
    /// Load, demand in percent, policy, kind and group of sizes.
    using counts_key = std::tuple<std::string, int, std::string, std::string, size_group>;

    void addCounts(const benchmark_load &load, const benchmark_result &result, size_group group);
    void checkWide(std::vector<std::string> &result) const;
    void checkKind(const std::string &where, const job_counts &counts, const job_counts &before, std::vector<std::string> &result) const;
    void checkAgainstPresent(const counts_key &key, const job_counts &counts, std::vector<std::string> &result) const;
    const job_counts *find(const counts_key &key) const;

    std::map<counts_key, job_counts> m_counts;
};

}

#endif
