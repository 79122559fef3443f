#ifndef AZUREMOOR_CHECKS_CONFIGURATION_DIFFERENCE_H
#define AZUREMOOR_CHECKS_CONFIGURATION_DIFFERENCE_H

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace azuremoor
{

/// A part of a configuration that has a name: a team, a rule, a route.
struct named_entry {
    std::string name;
    std::map<std::string, nlohmann::json> fields;
};

/// A field whose value differs between two configurations.
struct field_difference {
    std::string entry;
    /// Name of the field; empty when the whole entry was added or removed and has no fields, or the order of entries differs.
    std::string field;
    /// Nothing when the field is added.
    std::optional<nlohmann::json> before;
    /// Nothing when the field is removed.
    std::optional<nlohmann::json> after;
};

/// Gives each entry a name of its own, by numbers behind the second and later ones of the same name.
void makeNamesUnique(std::vector<named_entry> &entries);

/// Returns the fields that differ, in the order of the entries. Names must be unique. Entries that are in both configurations in another
/// order are one more difference, since the order of some entries decides which one wins.
std::vector<field_difference> compareEntries(std::span<const named_entry> before, std::span<const named_entry> after);

}

#endif
