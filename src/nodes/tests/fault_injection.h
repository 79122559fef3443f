#ifndef AZUREMOOR_NODES_TESTS_FAULT_INJECTION_H
#define AZUREMOOR_NODES_TESTS_FAULT_INJECTION_H

#include <set>
#include <string>
#include <vector>

#include "testing/fake_fleet.h"

namespace azuremoor::testing
{

/// Kind of an injected fault.
enum class fault_kind {
    message_lost,
    message_doubled,
    message_delayed,
    node_restarted,
    node_paused,
    acknowledgement_lost,
    log_down,
};

/// A fault and the step at which it is injected. Each message between processes is a step, counted from the first submission and without
/// heartbeats.
struct injected_fault {
    std::size_t step = 0;
    fault_kind kind = fault_kind::message_lost;
    /// Process that is restarted or paused.
    std::string node;

    /// Returns a readable description of the fault and its step.
    std::string describe() const;
};

/// Result of a run with injected faults.
struct fault_injection_result {
    std::size_t steps = 0;
    std::vector<std::string> violations;
    /// Hashes of the distinct fleet states that were observed.
    std::set<std::size_t> states;
};

/**
 * A run of a simulated fleet of two entries and two agents with two submissions, each resubmitted through the other entry, and with faults
 * injected at chosen steps. Repeating the run for every choice of faults covers all histories with that number of faults.
 */
class fault_injection
{
public:
    fault_injection(std::vector<injected_fault> faults, const protocol_rules &rules);

    /// Executes the run. Must be called once.
    fault_injection_result run();

    /// Returns all faults that can be injected at the step.
    static std::vector<injected_fault> possibleFaultsAt(std::size_t step);

private:
    delivery_fault onMessage(const message &value);
    void inject(const injected_fault &fault);
    void checkStep();
    job_request jobOwnedBy(const std::string &owner, std::size_t tasks);

    std::vector<injected_fault> m_faults;
    fake_fleet m_fleet;
    bool m_countSteps = false;
    fault_injection_result m_result;
};

}

#endif
