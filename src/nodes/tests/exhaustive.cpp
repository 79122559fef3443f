// Runs a small simulated fleet with every single fault and every pair of faults, and checks the invariants at every step.

#include <iostream>
#include <mutex>

#include <CLI/CLI.hpp>

#include "fault_injection.h"
#include "rule_switches.h"
#include "seed_range.h"

namespace
{

using namespace azuremoor;
using namespace azuremoor::testing;

/// Number of steps added to those of a run without faults, so that faults are also injected while the fleet recovers from the first one.
constexpr std::size_t RECOVERY_STEPS = 20;

struct totals {
    std::uint64_t histories = 0;
    std::uint64_t violating = 0;
    std::set<std::size_t> states;
};

/// Runs the fleet with every choice of faults and collects the results.
class explorer
{
public:
    explicit explorer(const protocol_rules &rules, std::uint64_t maxPrinted)
        : m_rules(rules)
        , m_maxPrinted(maxPrinted)
    {
        m_steps = fault_injection({}, rules).run().steps + RECOVERY_STEPS;
        for (std::size_t step = 0; step < m_steps; ++step) {
            const std::vector<injected_fault> here = fault_injection::possibleFaultsAt(step);
            m_faults.insert(m_faults.end(), here.begin(), here.end());
        }
    }

    /// Runs every single fault and, if `pairs` is set, every pair of faults; with a stride of n only every n-th pair.
    totals explore(bool pairs, std::size_t stride)
    {
        seed_range{0, m_faults.size() - 1}.forEach([this, pairs, stride](std::uint64_t first) {
            record({m_faults[first]});
            for (std::size_t second = first + 1; pairs && second < m_faults.size(); ++second) {
                if ((first * m_faults.size() + second) % stride == 0) {
                    record({m_faults[first], m_faults[second]});
                }
            }
        });
        return m_totals;
    }

    std::size_t steps() const
    {
        return m_steps;
    }

    std::size_t faultCount() const
    {
        return m_faults.size();
    }

private:
    void record(const std::vector<injected_fault> &faults)
    {
        const fault_injection_result result = fault_injection(faults, m_rules).run();
        const std::lock_guard<std::mutex> guard(m_lock);
        ++m_totals.histories;
        m_totals.states.insert(result.states.begin(), result.states.end());
        if (result.violations.empty()) {
            return;
        }
        ++m_totals.violating;
        if (m_totals.violating > m_maxPrinted) {
            return;
        }
        for (const injected_fault &fault : faults) {
            std::cout << fault.describe() << "; ";
        }
        std::cout << result.violations.front() << std::endl;
    }

    protocol_rules m_rules;
    std::uint64_t m_maxPrinted;
    std::size_t m_steps = 0;
    std::vector<injected_fault> m_faults;
    std::mutex m_lock;
    totals m_totals;
};

int runAll(std::size_t stride)
{
    explorer all({}, 20);
    const totals result = all.explore(true, stride);
    std::cout << all.steps() << " steps, " << all.faultCount() << " faults, " << result.histories << " histories with one or two of them, "
              << result.states.size() << " states" << std::endl;
    std::cout << result.histories - result.violating << " passed, " << result.violating << " failed" << std::endl;
    return result.violating == 0 ? 0 : 1;
}

int runMutations()
{
    for (const rule_switch &disabled : RULE_SWITCHES) {
        protocol_rules rules;
        rules.*disabled.rule = false;
        const totals result = explorer(rules, 0).explore(false, 1);
        std::cout << "without " << disabled.name << ": " << result.violating << " of " << result.histories << " histories fail a check"
                  << std::endl;
    }
    return 0;
}

}

int main(int argc, char **argv)
{
    std::size_t stride = 1;
    bool mutations = false;
    CLI::App app("Run a small fleet with every single fault and every pair of faults");
    app.add_option("--stride", stride, "Run only every n-th pair of faults")->check(CLI::Range(1, 1000))->capture_default_str();
    app.add_flag("--mutations", mutations, "Disable each rule in turn and print how many single faults make a check fail");
    CLI11_PARSE(app, argc, argv);
    return mutations ? runMutations() : runAll(stride);
}
