#include "checks/configuration_check.h"

#include <algorithm>
#include <set>
#include <span>

#include "checks/decode_errors.h"
#include "checks/json_syntax.h"
#include "checks/selector_domain.h"

namespace azuremoor
{

namespace
{

/// Entries of a section that are compared with each other. Comparisons grow with the square of it, and larger sections are checked entry by
/// entry only past this number.
constexpr std::size_t MAX_COMPARED = 1000;

/// Returns the domain of the upstreams that match the selector. Agents set these four labels on every upstream.
selector_domain upstreamsOf(const selector &condition)
{
    return selector_domain({"upstream", "agent", "data_centre", "rack"}).restrictTo(condition);
}

/// Returns the domain of the work that matches the selector. Entries set the team on every job.
selector_domain workOf(const selector &condition)
{
    return selector_domain({"team"}).restrictTo(condition);
}

/// Returns the domains of at most MAX_COMPARED selectors.
std::vector<selector_domain> upstreamsOf(std::span<const selector> conditions)
{
    std::vector<selector_domain> domains;
    for (const selector &condition : conditions.first(std::min(conditions.size(), MAX_COMPARED))) {
        domains.push_back(upstreamsOf(condition));
    }
    return domains;
}

/// Returns whether the domain at `index` has no label set that the one at `other` has not. Of two equal domains only the later one counts.
bool isCoveredBy(std::span<const selector_domain> domains, std::size_t index, std::size_t other)
{
    const bool isInside = other != index && domains[other].includes(domains[index]);
    return isInside && (other < index || !domains[index].includes(domains[other]));
}

std::string place(const std::string &section, std::size_t index)
{
    return "/" + section + "/" + std::to_string(index);
}

std::set<std::string> teamNames(const configuration &checked)
{
    std::set<std::string> names;
    for (const auto &[name, settings] : checked.teams()) {
        names.insert(name);
    }
    return names;
}

bool hasErrors(const std::vector<finding> &findings)
{
    return std::any_of(findings.begin(), findings.end(), [](const finding &each) { return each.severity == finding_severity::error; });
}

bool sets(const label_rule &rule, const std::string &key)
{
    return std::any_of(rule.labels.begin(), rule.labels.end(), [&key](const label &each) { return each.key == key; });
}

}

configuration_check::configuration_check(known_upstreams upstreams)
    : m_upstreams(std::move(upstreams))
{
}

std::vector<finding> configuration_check::run(std::string_view text)
{
    m_findings = checkJsonSyntax(text, json_comments::allowed);
    if (hasErrors(m_findings)) {
        return std::move(m_findings);
    }
    const std::vector<finding> errors = findDecodeErrors(text);
    m_findings.insert(m_findings.end(), errors.begin(), errors.end());
    if (errors.empty()) {
        const configuration checked = *configuration::parseText(text);
        m_drains = upstreamsOf(std::span(checked.drains()));
        checkRules(checked);
        checkRulePairs(checked);
        checkLabelRules(checked);
        checkDrains(checked);
        checkKnownUpstreams(checked);
    }
    return std::move(m_findings);
}

void configuration_check::checkRules(const configuration &checked)
{
    for (std::size_t index = 0; index < checked.placementRules().size(); ++index) {
        checkRule(checked, index);
    }
}

void configuration_check::checkRule(const configuration &checked, std::size_t index)
{
    const placement_rule &rule = checked.placementRules()[index];
    const std::string path = place("rules", index);
    selector_domain work = workOf(rule.work);
    if (work.isEmpty()) {
        warn(path + "/work", "no work can match the selector, so the rule has no effect", "requirements that exclude each other removed");
        return;
    }
    if (work.restrictTo("team", teamNames(checked)).isEmpty()) {
        warn(path + "/work", "the selector asks for a team that /teams does not have, so the work of no team matches", "a team of /teams");
        return;
    }
    const selector_domain upstreams = upstreamsOf(rule.upstreams);
    if (upstreams.isEmpty()) {
        warn(path + "/upstreams",
             "no upstream can match the selector, so the work of the rule cannot run",
             "requirements that exclude each other removed");
        return;
    }
    checkRuleDrains(path + "/upstreams", upstreams);
}

void configuration_check::checkRuleDrains(const std::string &path, const selector_domain &upstreams)
{
    const auto drain
        = std::find_if(m_drains.begin(), m_drains.end(), [&upstreams](const selector_domain &each) { return each.includes(upstreams); });
    if (drain != m_drains.end()) {
        const auto index = static_cast<std::size_t>(drain - m_drains.begin());
        warn(path,
             "every upstream that can match is drained by " + place("drains", index) + ", so the work of the rule cannot run",
             "an upstream that is not drained, or the drain removed");
    }
}

void configuration_check::checkRulePairs(const configuration &checked)
{
    const std::vector<placement_rule> &rules = checked.placementRules();
    const std::size_t compared = std::min(rules.size(), MAX_COMPARED);
    std::vector<selector_domain> work;
    std::vector<selector_domain> upstreams;
    for (std::size_t index = 0; index < compared; ++index) {
        work.push_back(workOf(rules[index].work));
        upstreams.push_back(upstreamsOf(rules[index].upstreams));
    }
    for (std::size_t index = 0; index < compared; ++index) {
        if (work[index].isEmpty() || upstreams[index].isEmpty()) {
            continue;
        }
        for (std::size_t other = 0; other < compared; ++other) {
            if (!upstreams[other].isEmpty() && isCoveredBy(work, index, other)
                && selector_domain(upstreams[index]).restrictTo(rules[other].upstreams).isEmpty()) {
                warn(place("rules", index),
                     "all work of this rule is also work of " + place("rules", other)
                         + ", and no upstream can match both, so it cannot run",
                     "selectors of upstreams that overlap");
            }
        }
    }
}

void configuration_check::checkLabelRules(const configuration &checked)
{
    std::vector<selector_domain> upstreams;
    for (const label_rule &rule : checked.labelRules()) {
        upstreams.push_back(upstreamsOf(rule.upstreams));
    }
    for (std::size_t index = 0; index < checked.labelRules().size(); ++index) {
        checkLabelRule(checked, upstreams, index);
    }
}

void configuration_check::checkLabelRule(const configuration &checked, std::span<const selector_domain> upstreams, std::size_t index)
{
    const std::vector<label_rule> &rules = checked.labelRules();
    const std::string path = place("labels", index);
    if (upstreams[index].isEmpty()) {
        warn(path + "/upstreams",
             "no upstream can match the selector, so the labels are never set",
             "requirements that exclude each other removed");
        return;
    }
    if (rules[index].labels.empty()) {
        warn(path + "/set", "the rule sets no label", "at least one label, or the rule removed");
    }
    for (const label &assigned : rules[index].labels) {
        const std::size_t end = std::min(rules.size(), index + MAX_COMPARED);
        for (std::size_t later = index + 1; later < end; ++later) {
            if (sets(rules[later], assigned.key) && upstreams[later].includes(upstreams[index])) {
                warn(path + "/set/" + assigned.key,
                     "setting the label here has no effect, since " + place("labels", later) + " sets it later on all of these upstreams",
                     "the wider rule before the narrower one, or the label removed here");
                break;
            }
        }
    }
}

void configuration_check::checkDrains(const configuration &checked)
{
    for (std::size_t index = 0; index < checked.drains().size(); ++index) {
        if (upstreamsOf(checked.drains()[index]).isEmpty()) {
            warn(place("drains", index),
                 "no upstream can match the selector, so nothing is drained",
                 "requirements that exclude each other removed");
        }
    }
    for (std::size_t index = 0; index < m_drains.size(); ++index) {
        for (std::size_t other = 0; other < m_drains.size() && !m_drains[index].isEmpty(); ++other) {
            if (isCoveredBy(m_drains, index, other)) {
                warn(place("drains", index),
                     "the drain has no effect, since " + place("drains", other) + " drains all of these upstreams",
                     "one of the two");
                break;
            }
        }
    }
}

void configuration_check::checkKnownUpstreams(const configuration &checked)
{
    if (m_upstreams.isEmpty()) {
        return;
    }
    m_upstreams.applyLabels(checked);
    const std::string remedy = "labels of an upstream that the fleet has";
    for (std::size_t index = 0; index < checked.placementRules().size(); ++index) {
        if (!m_upstreams.mayMatch(checked.placementRules()[index].upstreams)) {
            warn(place("rules", index) + "/upstreams", "no upstream of the fleet has these labels now, so the work cannot run", remedy);
        }
    }
    for (std::size_t index = 0; index < checked.labelRules().size(); ++index) {
        if (!m_upstreams.mayMatchAnnounced(checked.labelRules()[index].upstreams)) {
            warn(place("labels", index) + "/upstreams", "no upstream of the fleet has these labels now, so none is changed", remedy);
        }
    }
    for (std::size_t index = 0; index < checked.drains().size(); ++index) {
        if (!m_upstreams.mayMatch(checked.drains()[index])) {
            warn(place("drains", index), "no upstream of the fleet has these labels now, so none is drained", remedy);
        }
    }
}

void configuration_check::warn(std::string path, std::string problem, std::string remedy)
{
    m_findings.push_back({finding_severity::warning, std::move(path), std::nullopt, std::move(problem), std::move(remedy)});
}

}
