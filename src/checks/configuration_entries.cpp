#include "checks/configuration_entries.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

json sectionOf(const json &document, const char *name)
{
    const auto found = document.find(name);
    return found == document.end() ? json::array() : *found;
}

std::map<std::string, json> fieldsOf(const json &object)
{
    return object.get<std::map<std::string, json>>();
}

}

std::vector<named_entry> entriesOf(const json &document)
{
    std::vector<named_entry> entries;
    const json teams = sectionOf(document, "teams");
    for (const auto &[name, settings] : teams.items()) {
        entries.push_back({"team " + name, fieldsOf(settings)});
    }
    for (const json &rule : sectionOf(document, "rules")) {
        entries.push_back({"rule for work " + rule.at("work").dump(), {{"upstreams", rule.at("upstreams")}}});
    }
    for (const json &rule : sectionOf(document, "labels")) {
        entries.push_back({"labels of upstreams " + rule.at("upstreams").dump(), fieldsOf(rule.at("set"))});
    }
    for (const json &drain : sectionOf(document, "drains")) {
        entries.push_back({"drain " + drain.dump(), {}});
    }
    makeNamesUnique(entries);
    return entries;
}

}
