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

/// What a team may use.
struct team_settings {
    /// Share of the fleet relative to other teams with waiting work.
    double weight = 1.0;
    /// Most tasks of the team that run at one time on the whole fleet; 0 for no limit.
    std::uint32_t maxRunningTasks = 0;
};

/// Says which upstreams may run the work that it matches.
struct placement_rule {
    selector work;
    selector upstreams;
};

/// Labels that operators set on upstreams, over those that were announced.
struct label_rule {
    selector upstreams;
    std::vector<label> labels;
};

/// Why a document is not a configuration, with the place in it.
struct configuration_error {
    /// Position in the document, in the manner of a JSON pointer.
    std::string jsonPointer;
    std::string reason;
};

/**
 * What operators declared, checked as a whole and immutable once parsed.
 *
 * Entries and agents hold the configuration of the highest version that they know. The version itself, an offset of the
 * control stream, is kept by fleet_state.
 */
class configuration
{
public:
    /// The configuration before any was published: a team `default` without quota, and no rules.
    configuration();

    /// Returns the configuration that the JSON document describes. Unknown keys, wrong types and bad selectors are errors.
    static tl::expected<configuration, configuration_error> parse(const nlohmann::json &document);

    /// Returns the configuration that the text describes. The text is JSON and may hold comments.
    static tl::expected<configuration, configuration_error> parseText(std::string_view text);

    /// Returns the settings of the team, or null when there is no such team.
    const team_settings *team(const std::string &name) const;

    /// Returns the names of all teams with their settings.
    const std::map<std::string, team_settings> &teams() const;

    /// Returns whether the rules allow work with these labels on an upstream with those labels.
    bool allows(std::span<const label> work, std::span<const label> upstream) const;

    /// Returns whether operators are draining an upstream with these labels.
    bool isDrained(std::span<const label> upstream) const;

    /// Returns the announced labels with those set by the operators over them.
    std::vector<label> effectiveLabels(std::vector<label> announced) const;

private:
    friend class configuration_parser;

    std::map<std::string, team_settings> m_teams;
    std::vector<placement_rule> m_rules;
    std::vector<label_rule> m_labels;
    std::vector<selector> m_drains;
};

}

#endif
