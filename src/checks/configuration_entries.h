#ifndef AZUREMOOR_CHECKS_CONFIGURATION_ENTRIES_H
#define AZUREMOOR_CHECKS_CONFIGURATION_ENTRIES_H

#include <vector>

#include "checks/configuration_difference.h"

namespace azuremoor
{

/// Returns the teams, rules, label rules and drains of a document of the product's own format, with unique names. The document must be
/// one that `configuration::parse()` accepts.
std::vector<named_entry> entriesOf(const nlohmann::json &document);

}

#endif
