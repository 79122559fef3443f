#ifndef AZUREMOOR_CONFIGURATION_CONFIGURATION_H
#define AZUREMOOR_CONFIGURATION_CONFIGURATION_H

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "configuration/selector.h"

namespace azuremoor
{

/// Scheduling settings of a team.
struct team_settings {
    /// Share of the fleet relative to the weights of other teams with waiting tasks. Greater than 0 and at most 1000.
    double weight = 1.0;
    /// Maximum number of tasks of the team that run at the same time on the whole fleet; 0 for no limit.
    std::uint32_t maxRunningTasks = 0;
};

/// Tasks whose labels match `work` may run only on upstreams whose labels match `upstreams`.
struct placement_rule {
    selector work;
    selector upstreams;
};

/// Labels that operators set on the matching upstreams. They replace announced labels with the same key.
struct label_rule {
    selector upstreams;
    std::vector<label> labels;
};

/// Error found while parsing a configuration document.
struct configuration_error {
    /// Keys and array indexes from the root to the faulty value, each after a `/` and without escaping; `/` for the whole document.
    std::string location;
    std::string reason;
};

/**
 * The settings that operators published, validated as a whole and immutable once parsed.
 *
 * Entries and agents use the configuration of the highest version that they know. fleet_state stores the version, which is an
 * offset of the control stream.
 */
class configuration
{
public:
    /// Constructs the configuration that applies before any was published: a team `default` without a task limit, and no rules.
    configuration();

    /// Parses the JSON document. Unknown keys, wrong types, values out of range and invalid selectors are errors.
    /// The team `default` always exists.
    static tl::expected<configuration, configuration_error> parse(const nlohmann::json &document);

    /// Parses JSON text, which may contain comments. Texts over 1 MiB, and documents with values more than 16
    /// levels below the root, are errors.
    static tl::expected<configuration, configuration_error> parseText(std::string_view text);

    /// Returns the settings of the team, or null if there is no such team. The pointer is valid as long as this object.
    const team_settings *team(const std::string &name) const;

    const std::map<std::string, team_settings> &teams() const;

    /// Returns the placement rules, the label rules and the drains in the order of the document.
    const std::vector<placement_rule> &placementRules() const;
    const std::vector<label_rule> &labelRules() const;
    const std::vector<selector> &drains() const;

    /// Returns whether every placement rule allows tasks with the labels `work` on an upstream with the labels `upstream`.
    bool allows(std::span<const label> work, std::span<const label> upstream) const;

    /// Returns whether operators drain upstreams with these labels, so that they get no new tasks.
    bool isDrained(std::span<const label> upstream) const;

    /// Applies the label rules to `labels`, the announced labels of an upstream. All rules match against the announced labels; if
    /// several set the same key, the last one wins.
    std::vector<label> effectiveLabels(std::vector<label> labels) const;

private:
    friend class configuration_parser;

    std::map<std::string, team_settings> m_teams;
    std::vector<placement_rule> m_placementRules;
    std::vector<label_rule> m_labelRules;
    std::vector<selector> m_drains;
};

}

#endif
