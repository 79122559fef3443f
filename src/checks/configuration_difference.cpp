#include "checks/configuration_difference.h"

#include <set>

namespace azuremoor
{

namespace
{

using entry_index = std::map<std::string, const named_entry *>;

entry_index indexOf(std::span<const named_entry> entries)
{
    entry_index index;
    for (const named_entry &each : entries) {
        index[each.name] = &each;
    }
    return index;
}

std::optional<nlohmann::json> fieldOf(const named_entry *entry, const std::string &field)
{
    if (entry == nullptr) {
        return std::nullopt;
    }
    const auto found = entry->fields.find(field);
    return found == entry->fields.end() ? std::nullopt : std::optional(found->second);
}

void compareFields(const std::string &name, const named_entry *before, const named_entry *after, std::vector<field_difference> &differences)
{
    std::set<std::string> fields;
    for (const named_entry *entry : {before, after}) {
        if (entry == nullptr) {
            continue;
        }
        for (const auto &[field, value] : entry->fields) {
            fields.insert(field);
        }
    }
    for (const std::string &field : fields) {
        std::optional<nlohmann::json> earlier = fieldOf(before, field);
        std::optional<nlohmann::json> later = fieldOf(after, field);
        if (earlier != later) {
            differences.push_back({name, field, std::move(earlier), std::move(later)});
        }
    }
    if (fields.empty() && (before == nullptr || after == nullptr)) {
        const nlohmann::json nothing = nlohmann::json::object();
        differences.push_back({name, {}, before ? std::optional(nothing) : std::nullopt, after ? std::optional(nothing) : std::nullopt});
    }
}

nlohmann::json commonNames(std::span<const named_entry> entries, const entry_index &others)
{
    nlohmann::json names = nlohmann::json::array();
    for (const named_entry &each : entries) {
        if (others.contains(each.name)) {
            names.push_back(each.name);
        }
    }
    return names;
}

}

void makeNamesUnique(std::vector<named_entry> &entries)
{
    std::map<std::string, std::size_t> counts;
    for (named_entry &each : entries) {
        const std::size_t count = ++counts[each.name];
        if (count > 1) {
            each.name += " #" + std::to_string(count);
        }
    }
}

std::vector<field_difference> compareEntries(std::span<const named_entry> before, std::span<const named_entry> after)
{
    const entry_index earlier = indexOf(before);
    const entry_index later = indexOf(after);
    std::vector<field_difference> differences;
    for (const named_entry &each : before) {
        const auto found = later.find(each.name);
        compareFields(each.name, &each, found == later.end() ? nullptr : found->second, differences);
    }
    for (const named_entry &each : after) {
        if (!earlier.contains(each.name)) {
            compareFields(each.name, nullptr, &each, differences);
        }
    }
    nlohmann::json earlierOrder = commonNames(before, later);
    nlohmann::json laterOrder = commonNames(after, earlier);
    if (earlierOrder != laterOrder) {
        differences.push_back({"order of entries", {}, std::move(earlierOrder), std::move(laterOrder)});
    }
    return differences;
}

}
