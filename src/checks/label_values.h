#ifndef AZUREMOOR_CHECKS_LABEL_VALUES_H
#define AZUREMOOR_CHECKS_LABEL_VALUES_H

#include <set>
#include <string>

#include "configuration/selector.h"

namespace azuremoor
{

/// The set of values that requirements allow for one label key. A missing label counts as a value of its own.
class label_values
{
public:
    /// Removes the values that do not meet the requirement, whose key is not looked at.
    void restrictTo(const selector::label_requirement &requirement);

    /// Removes all values that are not listed, and the missing label.
    void restrictTo(const std::set<std::string> &listed);

    /// Returns whether no value is left.
    bool isEmpty() const;

    /// Returns whether every value of the other set is in this one.
    bool includes(const label_values &other) const;

private:
    bool contains(const std::string &value) const;
    void remove(const std::string &value);
    bool includesPresentValues(const label_values &other) const;

    bool m_canBeMissing = true;
    /// Whether `m_values` lists the values that are allowed, instead of those that are not.
    bool m_isList = false;
    std::set<std::string> m_values;
};

}

#endif
