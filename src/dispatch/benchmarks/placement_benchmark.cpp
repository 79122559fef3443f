#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

#include "dispatch/benchmarks/benchmark_fleet.h"
#include "dispatch/benchmarks/placement_bounds.h"
#include "dispatch/benchmarks/single_queue.h"
#include "dispatch/look_ahead_placement.h"

using namespace azuremoor;
using namespace azuremoor::benchmarks;

namespace
{

/// Seeds with which a single bound is checked.
constexpr std::uint64_t SINGLE_BOUND_SEEDS = 8;

struct named_policy {
    std::string name;
    placement_factory make;
    bool reservesCapacity = false;
};

/// Makes look-ahead placement; the time of payloads counts only if asked for.
placement_factory lookAhead(packing_rule packing, bool waitsForObjective, bool countsPayloads)
{
    return [=](const time_source &time, const std::string &dataCentre, std::uint64_t seed, double linkRate) {
        const look_ahead_options options{packing, waitsForObjective, countsPayloads ? linkRate : 0};
        return std::make_unique<look_ahead_placement>(time, dataCentre, 1, seed, options);
    };
}

std::vector<named_policy> allPolicies()
{
    return {{"earliest-completion",
             [](const time_source &time, const std::string &dataCentre, std::uint64_t seed, double /*linkRate*/) {
                 return std::make_unique<earliest_completion_placement>(time, dataCentre, 1, seed);
             }},
            {"best-fit-only", lookAhead(packing_rule::always, false, false)},
            {"payload-only", lookAhead(packing_rule::never, false, true)},
            {"wait-only", lookAhead(packing_rule::never, true, false)},
            {"look-ahead", lookAhead(packing_rule::never, true, true)},
            {"look-ahead-packing", lookAhead(packing_rule::for_larger_tasks, true, true)},
            {"look-ahead-reserving", lookAhead(packing_rule::never, true, true), true}};
}

/// Returns the policies that a bound of the load concerns. Reservations have a bound under the load `wide` only.
std::vector<named_policy> boundedPolicies(std::vector<named_policy> policies, const std::string &load)
{
    std::erase_if(policies, [&load](const named_policy &policy) {
        const bool isCompared = policy.name == "earliest-completion" || policy.name == "look-ahead";
        return !isCompared && !(policy.name == "look-ahead-reserving" && load == "wide");
    });
    return policies;
}

/// Makes a load from its demand, its duration and a seed.
using load_function = benchmark_load (*)(double demand, microseconds duration, std::uint64_t seed);

struct named_load {
    std::string name;
    load_function make;
    double demand;
};

std::vector<named_load> allLoads()
{
    std::vector<named_load> loads;
    for (const double demand : {0.8, 0.95, 1.3}) {
        loads.push_back({"taxi", taxiLoad, demand});
        loads.push_back({"alloy", alloyLoad, demand});
        loads.push_back({"wide", wideLoad, demand});
    }
    for (const double demand : {0.6, 0.8}) {
        loads.push_back({"taxi-burst", taxiBurstLoad, demand});
        loads.push_back({"alloy-burst", alloyBurstLoad, demand});
        loads.push_back({"alloy-narrow", alloyNarrowLoad, demand});
    }
    return loads;
}

/// A load under all policies, over several seeds.
struct load_comparison {
    /// The jobs of all seeds.
    benchmark_load load;
    std::vector<benchmark_result> results;
};

load_comparison compare(const named_load &named, const std::vector<named_policy> &policies, int durationMs, std::uint64_t seeds)
{
    load_comparison result;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const benchmark_load load = named.make(named.demand, milliseconds(durationMs), seed);
        std::vector<benchmark_result> results;
        for (const named_policy &policy : policies) {
            results.push_back(benchmark_fleet(load, policy.make, policy.reservesCapacity).run());
            results.back().policy = policy.name;
        }
        results.push_back(runSingleQueue(load));
        if (seed == 1) {
            result = {load, std::move(results)};
            continue;
        }
        result.load.jobs.insert(result.load.jobs.end(), load.jobs.begin(), load.jobs.end());
        for (std::size_t index = 0; index < results.size(); ++index) {
            result.results[index].append(results[index]);
        }
    }
    return result;
}

std::string percent(double part)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << 100 * part;
    return text.str();
}

void printResult(std::ostream &out, const benchmark_load &load, const benchmark_result &result)
{
    const benchmark_group all = summarize(load, result, size_group::all, -1);
    const benchmark_group largest = summarize(load, result, size_group::largest_tenth, -1);
    const benchmark_group next = summarize(load, result, size_group::next_fifth, -1);
    const benchmark_group others = summarize(load, result, size_group::others, -1);
    out << std::left << std::setw(12) << load.name << std::right << std::setw(6) << percent(load.demand) << "  " << std::left
        << std::setw(24) << result.policy << std::right << std::setw(7) << all.jobs << std::setw(8) << percent(all.inTime) << std::setw(7)
        << percent(all.late) << std::setw(8) << percent(all.refused) << std::setw(7) << percent(all.refusedBesideFree) << std::setw(7)
        << std::fixed << std::setprecision(2) << all.lag << std::setw(9) << percent(largest.inTime) << std::setw(7) << percent(next.inTime)
        << std::setw(8) << percent(others.inTime) << std::fixed << std::setprecision(0) << std::setw(9) << largest.highWait << std::setw(7)
        << next.highWait << std::setw(8) << others.highWait << std::setw(7) << percent(result.lostWorkShare()) << std::setw(9)
        << result.orders << std::setw(9) << result.refusedOrders << std::setw(9) << result.payloads << std::setw(8) << result.reservations
        << std::setw(7) << result.usedReservations << std::setw(9) << result.backfilledOrders << '\n';
}

void printHeader(std::ostream &out)
{
    out << "in time, late, refused, lost work in percent; lag: mean time to the answer by the longest run; waits are 95% quantiles in ms; "
           "largest tenth, the fifth below it, the others\n"
        << "load        demand  policy                     jobs in-time   late refused   free    lag  largest   next  others  w-large "
           "w-next w-other   lost"
           "   orders  refused payloads reserved   used backfill\n";
}

/// Prints how the largest tenths are served. Returns whether one is served too little that is not known to be.
bool printLargestTenths(std::ostream &out, const placement_bounds &bounds)
{
    bool isViolated = false;
    for (const largest_tenth &each : bounds.largestTenths()) {
        const std::string outcome = each.isHeld() ? "held" : each.isKnownRed ? "known red" : "bound not held";
        isViolated = isViolated || (!each.isHeld() && !each.isKnownRed);
        out << outcome << ": " << each.name << ": " << percent(each.inTime) << "% in time, of the kind " << percent(each.inTimeOfKind)
            << "%\n";
    }
    return isViolated;
}

/// Checks the bounds of the largest tenth whose name is given, with an asterisk for any end, as doctest does. Returns the exit status.
int checkLargestTenth(std::string name, int durationMs)
{
    name = name.substr(0, name.find('*'));
    std::vector<named_policy> policies = allPolicies();
    std::erase_if(policies, [](const named_policy &policy) { return policy.name != "look-ahead"; });
    placement_bounds bounds;
    for (const named_load &named : allLoads()) {
        if (named.demand == LARGEST_TENTH_DEMAND && name.ends_with(" of " + named.name)) {
            const load_comparison comparison = compare(named, policies, durationMs, SINGLE_BOUND_SEEDS);
            bounds.add(comparison.load, comparison.results.front());
        }
    }
    for (const largest_tenth &each : bounds.largestTenths()) {
        if (each.name == name) {
            std::cout << each.name << ": " << percent(each.inTime) << "% in time, of the kind " << percent(each.inTimeOfKind) << "%\n";
            return each.isHeld() ? 0 : 1;
        }
    }
    std::cout << "no bound of this name: " << name << '\n';
    return 2;
}

}

/// Runs the loads of the design note under each policy and prints a report.
int main(int argc, char **argv)
{
    CLI::App app("Compares placement policies over seeded arrivals in virtual time.");
    std::uint64_t seeds = 1;
    int durationMs = 6000;
    std::string jsonFile;
    std::string onlyLoad;
    std::vector<std::string> onlyPolicies;
    std::string singleBound;
    bool isChecked = false;
    bool isVersionOmitted = false;
    app.add_option("--seeds", seeds, "Number of seeds, from 1")->check(CLI::Range(1, 1000));
    app.add_option("--duration-ms", durationMs, "Time for which jobs arrive")->check(CLI::Range(100, 600'000));
    app.add_option("--load", onlyLoad, "Runs only the loads of this name");
    app.add_option("--policy", onlyPolicies, "Runs only the policies of these names")->delimiter(',');
    app.add_option("--json", jsonFile, "File for the report in JSON");
    app.add_flag("--check", isChecked, "Checks the bounds of the design note");
    app.add_option("--test-case", singleBound, "Checks only this bound of the largest tenth of a kind");
    app.add_flag("--no-version", isVersionOmitted, "No effect; doctest programs have this option");
    CLI11_PARSE(app, argc, argv);
    if (!singleBound.empty()) {
        return checkLargestTenth(singleBound, durationMs);
    }

    std::vector<named_policy> policies = allPolicies();
    std::erase_if(policies, [&onlyPolicies](const named_policy &policy) {
        return !onlyPolicies.empty() && std::find(onlyPolicies.begin(), onlyPolicies.end(), policy.name) == onlyPolicies.end();
    });
    nlohmann::json report = nlohmann::json::array();
    placement_bounds bounds;
    printHeader(std::cout);
    for (const named_load &named : allLoads()) {
        if (!onlyLoad.empty() && named.name != onlyLoad) {
            continue;
        }
        const bool areAllRun = !isChecked || !onlyPolicies.empty();
        const load_comparison comparison = compare(named, areAllRun ? policies : boundedPolicies(policies, named.name), durationMs, seeds);
        for (const benchmark_result &result : comparison.results) {
            printResult(std::cout, comparison.load, result);
            report.push_back(describe(comparison.load, result));
            bounds.add(comparison.load, result);
        }
    }
    if (!jsonFile.empty()) {
        std::ofstream(jsonFile) << report.dump(1) << '\n';
    }
    const std::vector<std::string> violations = isChecked ? bounds.violations() : std::vector<std::string>();
    for (const std::string &violation : violations) {
        std::cout << "bound not held: " << violation << '\n';
    }
    const bool isLargestTenthViolated = isChecked && printLargestTenths(std::cout, bounds);
    return violations.empty() && !isLargestTenthViolated ? 0 : 1;
}
