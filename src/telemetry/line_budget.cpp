#include "telemetry/line_budget.h"

namespace azuremoor
{

line_budget::line_budget(std::uint64_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{
}

std::optional<std::uint64_t> line_budget::spend(std::string_view kind, steady_time now)
{
    account &spent = accountOf(kind);
    if (now >= spent.secondEnd) {
        spent.secondEnd = now + seconds(1);
        spent.written = 0;
    }
    if (spent.written >= m_linesPerSecond) {
        ++spent.omitted;
        return std::nullopt;
    }
    ++spent.written;
    const std::uint64_t omitted = spent.omitted;
    spent.omitted = 0;
    return omitted;
}

void line_budget::noteLost(std::string_view kind)
{
    ++accountOf(kind).omitted;
}

line_budget::account &line_budget::accountOf(std::string_view kind)
{
    const auto found = m_accounts.find(kind);
    return found == m_accounts.end() ? m_accounts[std::string(kind)] : found->second;
}

}
