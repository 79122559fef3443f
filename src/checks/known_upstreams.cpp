#include "checks/known_upstreams.h"

#include <algorithm>

namespace azuremoor
{

known_upstreams::known_upstreams(std::vector<std::vector<label>> upstreams, const configuration &inForce)
    : m_upstreams(std::move(upstreams))
{
    for (const label_rule &rule : inForce.labelRules()) {
        for (const label &assigned : rule.labels) {
            m_replacedKeys.insert(assigned.key);
        }
    }
}

bool known_upstreams::isEmpty() const
{
    return m_upstreams.empty();
}

void known_upstreams::applyLabels(const configuration &checked)
{
    const std::vector<label_rule> &rules = checked.labelRules();
    m_isUncertain = std::any_of(rules.begin(), rules.end(), [this](const label_rule &rule) { return dependsOnReplaced(rule.upstreams); });
    m_effective.clear();
    for (const std::vector<label> &labels : m_upstreams) {
        m_effective.push_back(checked.effectiveLabels(labels));
    }
}

bool known_upstreams::mayMatch(const selector &condition) const
{
    return m_isUncertain || dependsOnReplaced(condition)
        || std::any_of(m_effective.begin(), m_effective.end(), [&condition](const auto &labels) { return condition.matches(labels); });
}

bool known_upstreams::mayMatchAnnounced(const selector &condition) const
{
    return dependsOnReplaced(condition)
        || std::any_of(m_upstreams.begin(), m_upstreams.end(), [&condition](const auto &labels) { return condition.matches(labels); });
}

bool known_upstreams::dependsOnReplaced(const selector &condition) const
{
    return std::any_of(condition.requirements().begin(), condition.requirements().end(), [this](const auto &requirement) {
        return m_replacedKeys.contains(requirement.key);
    });
}

}
