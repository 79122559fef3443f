#ifndef AZUREMOOR_DAEMON_PROCESS_SETTINGS_H
#define AZUREMOOR_DAEMON_PROCESS_SETTINGS_H

#include <cstdint>
#include <string>
#include <vector>

#include "settings/settings_parser.h"
#include "telemetry/event_log.h"

namespace azuremoor
{

/// The settings that every process of the fleet has. Times are in the unit that the name ends with.
struct process_settings {
    std::string name;
    std::string dataCentre;
    std::string rack = "none";
    std::string region = "default";
    std::string listen = "127.0.0.1:0";
    std::string advertise;
    std::string http = "127.0.0.1:0";
    std::string log;
    std::string logStream = "azuremoor";
    std::vector<std::string> seeds;
    std::int64_t heartbeatMs = 200;
    std::int64_t slowHeartbeatMs = 1000;
    std::int64_t suspicionMs = 1000;
    std::int64_t isolationMs = 1000;
    std::int64_t clockSkewMs = 500;
    std::int64_t windowS = 600;
    std::int64_t logPollMs = 150;
    std::int64_t stopDeadlineS = 60;
    /// Processor time that the VM grants the process, in cores; 0 if it is not known. Reported only.
    double processorShare = 0;
    std::string logLevel = "info";

    /// Declares the settings.
    void declare(settings_parser &parser);

    /// Returns the name of the control stream of the region.
    std::string controlStream() const;

    /// Returns the lowest level of events that are logged.
    log_level lowestLevel() const;
};

}

#endif
