#include "checks/selector_domain.h"

#include <algorithm>

namespace azuremoor
{

selector_domain::selector_domain(std::initializer_list<std::string> presentKeys)
{
    for (const std::string &key : presentKeys) {
        m_keys[key].restrictTo({key, selector::match_operator::exists, {}});
    }
}

selector_domain &selector_domain::restrictTo(const selector &condition)
{
    for (const selector::label_requirement &requirement : condition.requirements()) {
        m_keys[requirement.key].restrictTo(requirement);
    }
    return *this;
}

selector_domain &selector_domain::restrictTo(const std::string &key, const std::set<std::string> &values)
{
    m_keys[key].restrictTo(values);
    return *this;
}

bool selector_domain::isEmpty() const
{
    return std::any_of(m_keys.begin(), m_keys.end(), [](const auto &each) { return each.second.isEmpty(); });
}

bool selector_domain::includes(const selector_domain &other) const
{
    if (other.isEmpty()) {
        return true;
    }
    const label_values anything;
    return std::all_of(m_keys.begin(), m_keys.end(), [&other, &anything](const auto &each) {
        const auto found = other.m_keys.find(each.first);
        return each.second.includes(found == other.m_keys.end() ? anything : found->second);
    });
}

}
