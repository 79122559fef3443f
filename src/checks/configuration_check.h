#ifndef AZUREMOOR_CHECKS_CONFIGURATION_CHECK_H
#define AZUREMOOR_CHECKS_CONFIGURATION_CHECK_H

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "checks/finding.h"
#include "checks/known_upstreams.h"
#include "checks/selector_domain.h"
#include "configuration/configuration.h"

namespace azuremoor
{

/**
 * Checks a document of the product's own configuration format.
 *
 * Errors are those of `configuration::parseText()`, here for all entries at once instead of for the first wrong one. Warnings name entries
 * that have no effect and rules that leave work without an upstream, whatever jobs and upstreams there are.
 */
class configuration_check
{
public:
    /// Takes the upstreams that the fleet knows. Without any, selectors are not compared with upstreams.
    explicit configuration_check(known_upstreams upstreams = {});

    /// Returns what is wrong with the document, in the order of its sections.
    std::vector<finding> run(std::string_view text);

private:
    void checkRules(const configuration &checked);
    void checkRule(const configuration &checked, std::size_t index);
    void checkRuleDrains(const std::string &path, const selector_domain &upstreams);
    void checkRulePairs(const configuration &checked);
    void checkLabelRules(const configuration &checked);
    void checkLabelRule(const configuration &checked, std::span<const selector_domain> upstreams, std::size_t index);
    void checkDrains(const configuration &checked);
    void checkKnownUpstreams(const configuration &checked);
    void warn(std::string path, std::string problem, std::string remedy);

    known_upstreams m_upstreams;
    /// Domains of the upstreams that the drains of the checked document match.
    std::vector<selector_domain> m_drains;
    std::vector<finding> m_findings;
};

}

#endif
