// Runs random histories over a range of seeds and checks the invariants in each.

#include <iostream>
#include <mutex>

#include <CLI/CLI.hpp>

#include "random_history.h"
#include "rule_switches.h"
#include "seed_range.h"

namespace
{

using namespace azuremoor;
using namespace azuremoor::testing;

struct totals {
    std::uint64_t histories = 0;
    std::uint64_t violating = 0;
    history_result sum;
};

/// Returns the settings for one of two sample deployments: kuweba has four data centres with a message delay of 1.5 ms between them, qasr
/// has three with 0.5 ms.
history_settings settingsFor(const std::string &deployment, std::uint64_t seed, const protocol_rules &rules)
{
    history_settings settings;
    settings.seed = seed;
    settings.rules = rules;
    settings.dataCentres = deployment == "kuweba" ? 4 : 3;
    settings.farDelay = deployment == "kuweba" ? microseconds(1500) : microseconds(500);
    return settings;
}

void add(totals &all, const history_result &result, const std::string &deployment, std::uint64_t seed, std::uint64_t maxPrinted)
{
    ++all.histories;
    all.sum.submissions += result.submissions;
    all.sum.complete += result.complete;
    all.sum.failed += result.failed;
    all.sum.refused += result.refused;
    all.sum.uncertainTasks += result.uncertainTasks;
    all.sum.starts += result.starts;
    all.sum.faults += result.faults;
    if (result.violations.empty()) {
        return;
    }
    ++all.violating;
    if (all.violating <= maxPrinted) {
        for (const std::string &violation : result.violations) {
            std::cout << deployment << " seed " << seed << ": " << violation << std::endl;
        }
    }
}

totals runRange(const seed_range &seeds, const protocol_rules &rules, std::uint64_t maxPrinted)
{
    totals all;
    std::mutex lock;
    for (const std::string deployment : {"kuweba", "qasr"}) {
        seeds.forEach([&](std::uint64_t seed) {
            const history_result result = random_history(settingsFor(deployment, seed, rules)).run();
            const std::lock_guard<std::mutex> guard(lock);
            add(all, result, deployment, seed, maxPrinted);
        });
    }
    return all;
}

int runAll(const seed_range &seeds)
{
    const totals all = runRange(seeds, {}, 20);
    std::cout << all.histories << " histories, " << all.sum.faults << " faults, " << all.sum.submissions
              << " submissions: " << all.sum.complete << " complete, " << all.sum.failed << " failed, " << all.sum.refused << " refused; "
              << all.sum.starts << " starts, " << all.sum.uncertainTasks << " tasks that may have run" << std::endl;
    std::cout << all.histories - all.violating << " passed, " << all.violating << " failed" << std::endl;
    return all.violating == 0 ? 0 : 1;
}

/// Disables each rule in turn; the checks must detect every one. coverIsolation is left out, because it matters only if the suspicion
/// timeout is shorter than the isolation bound, which is not so in these fleets; outcomes_test disables it.
int runMutations(const seed_range &seeds)
{
    std::uint64_t undetected = 0;
    for (const rule_switch &disabled : RULE_SWITCHES) {
        if (disabled.rule == &protocol_rules::coverIsolation) {
            continue;
        }
        protocol_rules rules;
        rules.*disabled.rule = false;
        const totals all = runRange(seeds, rules, 0);
        std::cout << "without " << disabled.name << ": " << all.violating << " of " << all.histories << " histories fail a check"
                  << std::endl;
        undetected += all.violating == 0 ? 1 : 0;
    }
    std::cout << RULE_SWITCHES.size() - 1 - undetected << " passed, " << undetected << " failed" << std::endl;
    return undetected == 0 ? 0 : 1;
}

}

int main(int argc, char **argv)
{
    std::string range = "1..1000";
    std::string tracedJob;
    std::string deployment = "kuweba";
    bool mutations = false;
    CLI::App app("Run random histories of a small fleet with all kinds of faults at once");
    app.add_option("--seeds", range, "Seeds to run for each deployment, as A..B")->capture_default_str();
    app.add_flag("--mutations", mutations, "Disable each rule in turn and fail unless the checks detect it");
    app.add_option("--trace", tracedJob, "Run the first seed only and print the messages about this job");
    app.add_option("--deployment", deployment, "Deployment to trace")->check(CLI::IsMember({"kuweba", "qasr"}));
    CLI11_PARSE(app, argc, argv);
    const auto seeds = seed_range::parse(range);
    if (!seeds) {
        std::cerr << "--seeds: expected A..B" << std::endl;
        return 2;
    }
    if (!tracedJob.empty()) {
        history_settings settings = settingsFor(deployment, seeds->first, {});
        settings.tracedJob = tracedJob;
        return random_history(settings).run().violations.empty() ? 0 : 1;
    }
    return mutations ? runMutations(*seeds) : runAll(*seeds);
}
