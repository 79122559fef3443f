#include "fleet/member_json.h"

#include <nlohmann/json.hpp>

namespace azuremoor
{

nlohmann::json memberToJson(const fleet_member &member)
{
    return {{"name", member.name},
            {"role", roleName(member.role)},
            {"incarnation", member.incarnation},
            {"address", member.address},
            {"data_centre", member.dataCentre},
            {"rack", member.rack}};
}

fleet_member memberFromJson(const nlohmann::json &value)
{
    fleet_member member;
    member.name = value.at("name").get<std::string>();
    member.role = value.at("role").get<std::string>() == "agent" ? member_role::agent : member_role::entry;
    member.incarnation = value.at("incarnation").get<std::uint64_t>();
    member.address = value.at("address").get<std::string>();
    member.dataCentre = value.at("data_centre").get<std::string>();
    member.rack = value.at("rack").get<std::string>();
    return member;
}

std::string_view roleName(member_role role)
{
    return role == member_role::agent ? "agent" : "entry";
}

}
