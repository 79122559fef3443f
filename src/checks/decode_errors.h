#ifndef AZUREMOOR_CHECKS_DECODE_ERRORS_H
#define AZUREMOOR_CHECKS_DECODE_ERRORS_H

#include <string_view>
#include <vector>

#include "checks/finding.h"

namespace azuremoor
{

/// Returns an error for each section, and each entry of a section, that `configuration::parseText()` refuses. The text must be JSON.
std::vector<finding> findDecodeErrors(std::string_view text);

}

#endif
