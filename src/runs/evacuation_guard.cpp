#include "runs/evacuation_guard.h"

namespace azuremoor
{

evacuation_guard::evacuation_guard(evacuation_table &table, std::string dataCentre, decision_journal &journal)
    : m_table(table)
    , m_dataCentre(std::move(dataCentre))
    , m_journal(journal)
{
}

void evacuation_guard::applyRows(const evacuation_state &state, const std::string &entry)
{
    for (const evacuation_row &row : state.rows) {
        m_table.apply(row, entry);
    }
}

bool evacuation_guard::isClosed() const
{
    return m_table.isEvacuated(m_dataCentre);
}

bool evacuation_guard::refuses(const run_order &order, const std::string &entry)
{
    if (!isClosed()) {
        return false;
    }
    ++m_refusedOrders;
    m_journal.note("order_refused_evacuated",
                   {{"task", order.task},
                    {"run", std::to_string(order.number)},
                    {"entry", entry},
                    {"data_centre", m_dataCentre},
                    {"version", std::to_string(m_table.version(m_dataCentre))},
                    {"state_age_us", std::to_string(m_table.stateAge(m_dataCentre).count())}});
    return true;
}

std::uint64_t evacuation_guard::refusedOrders() const
{
    return m_refusedOrders;
}

}
