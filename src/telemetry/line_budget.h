#ifndef AZUREMOOR_TELEMETRY_LINE_BUDGET_H
#define AZUREMOOR_TELEMETRY_LINE_BUDGET_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time_source.h"

namespace azuremoor
{

/// Bounds the lines that a log gets of each kind, and counts what was left out.
class line_budget
{
public:
    /// Takes the most lines of one kind in a second.
    explicit line_budget(std::uint64_t linesPerSecond);

    /// Returns the number of lines of the kind that were left out since the last one, if the next one may be written, or nothing.
    std::optional<std::uint64_t> spend(std::string_view kind, steady_time now);

    /// Counts a line that was allowed and could not be written.
    void noteLost(std::string_view kind);

private:
    struct account {
        steady_time secondEnd;
        std::uint64_t written = 0;
        std::uint64_t omitted = 0;
    };

    account &accountOf(std::string_view kind);

    std::uint64_t m_linesPerSecond;
    std::map<std::string, account, std::less<>> m_accounts;
};

}

#endif
