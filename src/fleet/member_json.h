#ifndef AZUREMOOR_FLEET_MEMBER_JSON_H
#define AZUREMOOR_FLEET_MEMBER_JSON_H

#include <nlohmann/json_fwd.hpp>

#include "fleet/fleet_record.h"

namespace azuremoor
{

/// Returns the JSON object that represents the member in records and in encoded states.
nlohmann::json memberToJson(const fleet_member &member);

/// Parses the JSON object of a member. Throws nlohmann::json::exception if a key is missing or has the wrong type. Any role but
/// `agent` is read as an entry.
fleet_member memberFromJson(const nlohmann::json &value);

/// Returns the JSON name of the role.
std::string_view roleName(member_role role);

}

#endif
