#ifndef AZUREMOOR_CHECKS_FINDING_H
#define AZUREMOOR_CHECKS_FINDING_H

#include <cstddef>
#include <optional>
#include <string>

#include "checks/text_position.h"

namespace azuremoor
{

/// How serious a finding is.
enum class finding_severity {
    /// The document can be put in force, but a part of it has no effect or rules out work.
    warning,
    /// The document would be refused or ignored.
    error,
};

/// A fault that was found in a configuration document.
struct finding {
    finding_severity severity = finding_severity::warning;
    /// Keys and array indexes from the root to the value, each after a `/`; empty when `position` tells the place.
    std::string path;
    /// Place in the text of a malformed document.
    std::optional<text_position> position;
    std::string problem;
    /// What would be right; empty when the problem says so.
    std::string remedy;
};

}

#endif
