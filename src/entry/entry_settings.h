#ifndef AZUREMOOR_ENTRY_ENTRY_SETTINGS_H
#define AZUREMOOR_ENTRY_ENTRY_SETTINGS_H

#include "daemon/process_settings.h"
#include "nodes/entry_node.h"

namespace azuremoor
{

/// The settings of an entry.
struct entry_settings {
    process_settings process;
    std::int64_t maxDeadlineS = 300;
    std::int64_t maxJobs = 200'000;
    std::int64_t maxWaitingTasks = 100'000;
    std::int64_t maxBodyBytes = 16 * 1024 * 1024;
    std::int64_t agentGraceMs = 3000;
    std::int64_t agentLossMs = 30'000;
    std::int64_t snapshotIntervalS = 60;

    /// Declares the settings.
    void declare(settings_parser &parser);

    /// Returns the settings of the decision objects, for a process that others reach at the address.
    entry_node_settings nodeSettings(std::uint64_t incarnation, const std::string &address) const;
};

}

#endif
