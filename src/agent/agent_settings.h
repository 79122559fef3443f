#ifndef AZUREMOOR_AGENT_AGENT_SETTINGS_H
#define AZUREMOOR_AGENT_AGENT_SETTINGS_H

#include "daemon/process_settings.h"
#include "nodes/agent_node.h"

namespace azuremoor
{

/// The settings of an agent.
struct agent_settings {
    process_settings process;
    std::int64_t announcementTimeoutMs = 3000;
    std::int64_t announcementMarginMs = 300;
    std::int64_t maxLedgerTasks = 400'000;
    std::int64_t maxAnswerBytes = 32 * 1024 * 1024;
    std::int64_t lateAnswerS = 5;

    /// Declares the settings.
    void declare(settings_parser &parser);

    /// Returns the settings of the decision objects.
    agent_node_settings nodeSettings(std::uint64_t incarnation) const;
};

}

#endif
