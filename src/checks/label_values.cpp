#include "checks/label_values.h"

#include <algorithm>

namespace azuremoor
{

void label_values::restrictTo(const selector::label_requirement &requirement)
{
    switch (requirement.matchOperator) {
    case selector::match_operator::in:
        restrictTo(std::set<std::string>(requirement.values.begin(), requirement.values.end()));
        return;
    case selector::match_operator::not_in:
        for (const std::string &value : requirement.values) {
            remove(value);
        }
        return;
    case selector::match_operator::exists:
        m_canBeMissing = false;
        return;
    case selector::match_operator::absent:
        m_isList = true;
        m_values.clear();
        return;
    }
}

void label_values::restrictTo(const std::set<std::string> &listed)
{
    std::set<std::string> left;
    std::copy_if(
        listed.begin(), listed.end(), std::inserter(left, left.end()), [this](const std::string &value) { return contains(value); });
    m_canBeMissing = false;
    m_isList = true;
    m_values = std::move(left);
}

bool label_values::isEmpty() const
{
    return !m_canBeMissing && m_isList && m_values.empty();
}

bool label_values::includes(const label_values &other) const
{
    return (m_canBeMissing || !other.m_canBeMissing) && includesPresentValues(other);
}

bool label_values::contains(const std::string &value) const
{
    return m_values.contains(value) == m_isList;
}

void label_values::remove(const std::string &value)
{
    if (m_isList) {
        m_values.erase(value);
    } else {
        m_values.insert(value);
    }
}

bool label_values::includesPresentValues(const label_values &other) const
{
    if (other.m_isList) {
        return std::all_of(other.m_values.begin(), other.m_values.end(), [this](const std::string &value) { return contains(value); });
    }
    // A list is finite, and the other set is not.
    return !m_isList && std::includes(other.m_values.begin(), other.m_values.end(), m_values.begin(), m_values.end());
}

}
