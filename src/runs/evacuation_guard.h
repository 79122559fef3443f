#ifndef AZUREMOOR_RUNS_EVACUATION_GUARD_H
#define AZUREMOOR_RUNS_EVACUATION_GUARD_H

#include <cstdint>
#include <string>

#include "base/decision_journal.h"
#include "fleet/evacuation_table.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/**
 * Refuses the orders of an agent while its data centre is evacuated.
 *
 * Any connected entry can tell the state. Since rows are versioned, an entry with an older state cannot undo a newer one.
 */
class evacuation_guard
{
public:
    evacuation_guard(evacuation_table &table, std::string dataCentre, decision_journal &journal);

    /// Applies the rows of an entry.
    void applyRows(const evacuation_state &state, const std::string &entry);

    /// Returns whether the agent's data centre is evacuated.
    bool isClosed() const;

    /// Returns whether the order must not be started. Refused orders are counted and recorded in the journal.
    bool refuses(const run_order &order, const std::string &entry);

    /// Returns the number of refused orders since the start of the process.
    std::uint64_t refusedOrders() const;

private:
    evacuation_table &m_table;
    std::string m_dataCentre;
    decision_journal &m_journal;
    std::uint64_t m_refusedOrders = 0;
};

}

#endif
