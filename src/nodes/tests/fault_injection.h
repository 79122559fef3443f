#ifndef AZUREMOOR_NODES_TESTS_FAULT_INJECTION_H
#define AZUREMOOR_NODES_TESTS_FAULT_INJECTION_H

#include <set>
#include <string>
#include <vector>

#include "testing/fake_fleet.h"

namespace azuremoor::testing
{

/// What goes wrong at one step of a small run.
enum class fault_kind {
    message_lost,
    message_doubled,
    message_delayed,
    node_restarted,
    node_paused,
    acknowledgement_lost,
    log_down,
};

/// A fault at a step. Steps count the messages between nodes, heartbeats left out, from the submission on.
struct injected_fault {
    std::size_t step = 0;
    fault_kind kind = fault_kind::message_lost;
    /// The node that is restarted or paused.
    std::string node;

    /// Returns the fault in words.
    std::string describe() const;
};

/// What a small run came to.
struct fault_injection_result {
    std::size_t steps = 0;
    std::vector<std::string> violations;
    std::set<std::size_t> states;
};

/**
 * One run of two entries and two agents with two submissions, each submitted again through the other entry, and faults at chosen
 * steps. Running it for every choice of faults covers all histories with so many faults.
 */
class fault_injection
{
public:
    fault_injection(std::vector<injected_fault> faults, const protocol_rules &rules);

    /// Runs it and returns what it came to.
    fault_injection_result run();

    /// Returns every fault that can happen at the step.
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
