#ifndef AZUREMOOR_NODES_TESTS_RULE_SWITCHES_H
#define AZUREMOOR_NODES_TESTS_RULE_SWITCHES_H

#include <array>
#include <string_view>

#include "base/protocol_rules.h"

namespace azuremoor::testing
{

/// A protocol rule that a test can disable.
struct rule_switch {
    std::string_view name;
    bool protocol_rules::*rule;
};

/// All protocol rules, with the names that the tests print.
constexpr std::array<rule_switch, 8> RULE_SWITCHES = {{{"refuse-known-starts", &protocol_rules::refuseKnownStarts},
                                                       {"refuse-stale-epochs", &protocol_rules::refuseStaleEpochs},
                                                       {"require-freshness", &protocol_rules::requireFreshness},
                                                       {"remember-refusals", &protocol_rules::rememberRefusals},
                                                       {"close-before-not-run", &protocol_rules::closeBeforeNotRun},
                                                       {"honour-lost-evidence", &protocol_rules::honourLostEvidence},
                                                       {"cover-isolation", &protocol_rules::coverIsolation},
                                                       {"collect-ledgers", &protocol_rules::collectLedgers}}};

}

#endif
