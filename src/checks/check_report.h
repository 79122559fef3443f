#ifndef AZUREMOOR_CHECKS_CHECK_REPORT_H
#define AZUREMOOR_CHECKS_CHECK_REPORT_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "checks/configuration_difference.h"
#include "checks/finding.h"

namespace azuremoor
{

/// The result of checking a file.
struct check_report {
    /// Name of the file as the operator gave it.
    std::string file;
    std::vector<finding> findings;
    /// The version that the document was compared with, or nothing when it was not compared.
    std::optional<std::uint64_t> comparedVersion;
    std::vector<field_difference> differences;
};

/// Exit statuses of a check, for scripts.
enum class check_status : int {
    clean = 0,
    warnings = 1,
    errors = 2,
};

/// Returns whether the report has errors, only warnings or no findings. Differences do not count.
check_status statusOf(const check_report &report);

/// Returns the report with a line for each finding and difference. Control characters in names and values are escaped, so that a line
/// stays one line.
std::string renderText(const check_report &report);

/// Returns the report as JSON.
nlohmann::json renderJson(const check_report &report);

}

#endif
