#ifndef AZUREMOOR_CHECKS_SELECTOR_DOMAIN_H
#define AZUREMOOR_CHECKS_SELECTOR_DOMAIN_H

#include <initializer_list>
#include <map>
#include <set>
#include <string>

#include "checks/label_values.h"

namespace azuremoor
{

/// The sets of labels that a selector matches, by which selectors are compared without knowing any worker or job.
class selector_domain
{
public:
    /// Constructs the domain of label sets that contain all the given keys.
    explicit selector_domain(std::initializer_list<std::string> presentKeys);

    /// Removes the label sets that the selector does not match. Returns this domain.
    selector_domain &restrictTo(const selector &condition);

    /// Removes the label sets in which the key has none of the values. Returns this domain.
    selector_domain &restrictTo(const std::string &key, const std::set<std::string> &values);

    /// Returns whether no label set is left.
    bool isEmpty() const;

    /// Returns whether every label set of the other domain is in this one.
    bool includes(const selector_domain &other) const;

private:
    /// Keys that are not listed can have any value and can be missing.
    std::map<std::string, label_values> m_keys;
};

}

#endif
