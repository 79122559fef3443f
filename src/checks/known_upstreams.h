#ifndef AZUREMOOR_CHECKS_KNOWN_UPSTREAMS_H
#define AZUREMOOR_CHECKS_KNOWN_UPSTREAMS_H

#include <set>
#include <string>
#include <vector>

#include "configuration/configuration.h"

namespace azuremoor
{

/**
 * The upstreams that the fleet reports, with their labels as the configuration in force sets them.
 *
 * Announced values of labels that the configuration in force replaces are not known, so selectors that depend on them are taken to match.
 */
class known_upstreams
{
public:
    /// Constructs an empty list, for a check without the fleet.
    known_upstreams() = default;

    /// Takes the effective labels of each upstream, and the configuration in force that they result from.
    known_upstreams(std::vector<std::vector<label>> upstreams, const configuration &inForce);

    /// Returns whether no upstream is known.
    bool isEmpty() const;

    /// Sets the labels of the checked configuration, which `mayMatch()` looks at.
    void applyLabels(const configuration &checked);

    /// Returns whether an upstream matches the selector, or could, with the labels that were applied.
    bool mayMatch(const selector &condition) const;

    /// Returns whether an upstream matches the selector, or could, with the labels that it announced.
    bool mayMatchAnnounced(const selector &condition) const;

private:
    bool dependsOnReplaced(const selector &condition) const;

    std::vector<std::vector<label>> m_upstreams;
    std::vector<std::vector<label>> m_effective;
    /// Keys of the labels that the configuration in force replaces.
    std::set<std::string> m_replacedKeys;
    /// Whether the label rules that were applied depend on replaced labels.
    bool m_isUncertain = false;
};

}

#endif
