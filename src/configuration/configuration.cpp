#include "configuration/configuration.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace azuremoor
{

namespace
{

constexpr std::size_t MAX_DOCUMENT_BYTES = 1024 * 1024;
constexpr int MAX_DOCUMENT_DEPTH = 16;
constexpr double MAX_WEIGHT = 1000.0;
constexpr std::size_t MAX_TEAMS = 1000;

}

/// Parses a JSON document into a configuration. Throws configuration_error, which configuration::parse() returns as a result.
class configuration_parser
{
public:
    explicit configuration_parser(configuration &target)
        : m_configuration(target)
    {
    }

    void read(const nlohmann::json &document)
    {
        requireObject(document, "");
        for (const auto &[key, value] : document.items()) {
            readSection(key, value);
        }
    }

private:
    void readSection(const std::string &key, const nlohmann::json &value)
    {
        if (key == "teams") {
            readTeams(value);
        } else if (key == "rules") {
            readRules(value);
        } else if (key == "labels") {
            readLabels(value);
        } else if (key == "drains") {
            readDrains(value);
        } else {
            throw configuration_error{"/" + key, "unknown key; known keys are teams, rules, labels and drains"};
        }
    }

    void readTeams(const nlohmann::json &teams)
    {
        requireObject(teams, "/teams");
        if (teams.size() > MAX_TEAMS) {
            throw configuration_error{"/teams", "too many teams; the limit is 1000"};
        }
        for (const auto &[name, settings] : teams.items()) {
            m_configuration.m_teams[name] = readTeam("/teams/" + name, settings);
        }
    }

    static team_settings readTeam(const std::string &location, const nlohmann::json &value)
    {
        requireObject(value, location);
        team_settings settings;
        for (const auto &[key, item] : value.items()) {
            const std::string itemLocation = location + "/" + key;
            if (key == "weight") {
                settings.weight = readWeight(item, itemLocation);
            } else if (key == "running_tasks") {
                settings.maxRunningTasks = readCount(item, itemLocation);
            } else {
                throw configuration_error{itemLocation, "unknown key; known keys are weight and running_tasks"};
            }
        }
        return settings;
    }

    static double readWeight(const nlohmann::json &value, const std::string &location)
    {
        if (!value.is_number() || value.get<double>() <= 0 || value.get<double>() > MAX_WEIGHT) {
            throw configuration_error{location, "expected a number greater than 0 and at most 1000"};
        }
        return value.get<double>();
    }

    static std::uint32_t readCount(const nlohmann::json &value, const std::string &location)
    {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() > 1'000'000'000) {
            throw configuration_error{location, "expected an integer from 0 to 1000000000"};
        }
        return value.get<std::uint32_t>();
    }

    void readRules(const nlohmann::json &rules)
    {
        forEachItem(rules, "/rules", [this](const nlohmann::json &value, const std::string &location) {
            requireExactKeys(value, location, {"work", "upstreams"});
            m_configuration.m_placementRules.push_back(
                {readSelector(value["work"], location + "/work"), readSelector(value["upstreams"], location + "/upstreams")});
        });
    }

    void readLabels(const nlohmann::json &labels)
    {
        forEachItem(labels, "/labels", [this](const nlohmann::json &value, const std::string &location) {
            requireExactKeys(value, location, {"upstreams", "set"});
            requireObject(value["set"], location + "/set");
            label_rule rule{readSelector(value["upstreams"], location + "/upstreams"), {}};
            for (const auto &[key, item] : value["set"].items()) {
                rule.labels.push_back({key, readString(item, location + "/set/" + key)});
            }
            m_configuration.m_labelRules.push_back(std::move(rule));
        });
    }

    void readDrains(const nlohmann::json &drains)
    {
        forEachItem(drains, "/drains", [this](const nlohmann::json &value, const std::string &location) {
            selector drained = readSelector(value, location);
            if (drained.isEmpty()) {
                throw configuration_error{location, "an empty selector would drain every upstream"};
            }
            m_configuration.m_drains.push_back(std::move(drained));
        });
    }

    static selector readSelector(const nlohmann::json &value, const std::string &location)
    {
        auto parsed = selector::parse(readString(value, location));
        if (!parsed) {
            throw configuration_error{location, parsed.error().reason + " at character " + std::to_string(parsed.error().position)};
        }
        return std::move(*parsed);
    }

    static std::string readString(const nlohmann::json &value, const std::string &location)
    {
        if (!value.is_string()) {
            throw configuration_error{location, "expected a string"};
        }
        return value.get<std::string>();
    }

    template<typename Function>
    static void forEachItem(const nlohmann::json &list, const std::string &location, const Function &function)
    {
        if (!list.is_array()) {
            throw configuration_error{location, "expected an array"};
        }
        for (std::size_t index = 0; index < list.size(); ++index) {
            function(list[index], location + "/" + std::to_string(index));
        }
    }

    static void requireObject(const nlohmann::json &value, const std::string &location)
    {
        if (!value.is_object()) {
            throw configuration_error{location.empty() ? "/" : location, "expected an object"};
        }
    }

    /// Takes the two keys that the object must have.
    static void requireExactKeys(const nlohmann::json &value, const std::string &location, std::initializer_list<std::string> keys)
    {
        requireObject(value, location);
        for (const std::string &key : keys) {
            if (!value.contains(key)) {
                throw configuration_error{location, "the key " + key + " is missing"};
            }
        }
        for (const auto &[key, item] : value.items()) {
            if (std::find(keys.begin(), keys.end(), key) == keys.end()) {
                throw configuration_error{location + "/" + key,
                                          "unknown key; known keys are " + *keys.begin() + " and " + *(keys.end() - 1)};
            }
        }
    }

    configuration &m_configuration;
};

configuration::configuration()
    : m_teams{{"default", team_settings{}}}
{
}

tl::expected<configuration, configuration_error> configuration::parse(const nlohmann::json &document)
{
    configuration result;
    try {
        configuration_parser(result).read(document);
    } catch (const configuration_error &error) {
        return tl::unexpected(error);
    }
    return result;
}

tl::expected<configuration, configuration_error> configuration::parseText(std::string_view text)
{
    if (text.size() > MAX_DOCUMENT_BYTES) {
        return tl::unexpected(configuration_error{"/", "the document exceeds the limit of 1 MiB"});
    }
    bool tooDeep = false;
    const auto limitDepth = [&tooDeep](int depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        tooDeep = tooDeep || depth > MAX_DOCUMENT_DEPTH;
        return depth <= MAX_DOCUMENT_DEPTH;
    };
    try {
        const auto document = nlohmann::json::parse(text, limitDepth, /*allow_exceptions=*/true, /*ignore_comments=*/true);
        if (tooDeep) {
            return tl::unexpected(configuration_error{"/", "the document is nested too deeply"});
        }
        return parse(document);
    } catch (const nlohmann::json::exception &error) {
        return tl::unexpected(configuration_error{"/", error.what()});
    }
}

const team_settings *configuration::team(const std::string &name) const
{
    const auto found = m_teams.find(name);
    return found == m_teams.end() ? nullptr : &found->second;
}

const std::map<std::string, team_settings> &configuration::teams() const
{
    return m_teams;
}

const std::vector<placement_rule> &configuration::placementRules() const
{
    return m_placementRules;
}

const std::vector<label_rule> &configuration::labelRules() const
{
    return m_labelRules;
}

const std::vector<selector> &configuration::drains() const
{
    return m_drains;
}

bool configuration::allows(std::span<const label> work, std::span<const label> upstream) const
{
    return std::all_of(m_placementRules.begin(), m_placementRules.end(), [work, upstream](const placement_rule &rule) {
        return !rule.work.matches(work) || rule.upstreams.matches(upstream);
    });
}

bool configuration::isDrained(std::span<const label> upstream) const
{
    return std::any_of(m_drains.begin(), m_drains.end(), [upstream](const selector &drained) { return drained.matches(upstream); });
}

std::vector<label> configuration::effectiveLabels(std::vector<label> labels) const
{
    const std::vector<label> announced = labels;
    for (const label_rule &rule : m_labelRules) {
        if (!rule.upstreams.matches(announced)) {
            continue;
        }
        for (const label &assigned : rule.labels) {
            std::erase_if(labels, [&assigned](const label &existing) { return existing.key == assigned.key; });
            labels.push_back(assigned);
        }
    }
    return labels;
}

}
