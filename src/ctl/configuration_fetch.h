#ifndef AZUREMOOR_CTL_CONFIGURATION_FETCH_H
#define AZUREMOOR_CTL_CONFIGURATION_FETCH_H

#include <optional>

#include "ctl/ctl_client.h"

namespace azuremoor
{

/// Returns a published version with its document, or the one in force. When there is none, prints why and sets the status.
std::optional<nlohmann::json> fetchConfiguration(ctl_client &client, std::optional<std::uint64_t> version, exit_status &status);

}

#endif
