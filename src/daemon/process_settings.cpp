#include "daemon/process_settings.h"

namespace azuremoor
{

void process_settings::declare(settings_parser &parser)
{
    parser.beginGroup("Identity");
    parser.addName("--name", name, "Name of this process, unique in the fleet")->required();
    parser.addName("--data-centre", dataCentre, "Data centre of this process")->required();
    parser.addName("--rack", rack, "Rack of this process");
    parser.addName("--region", region, "Region of this process; regions share no jobs");

    parser.beginGroup("Addresses");
    parser.addAddress("--listen", listen, "Address for messages from other processes; port 0 for any");
    parser.addAddress("--advertise", advertise, "Address at which other processes reach this one, if it differs");
    parser.addAddress("--http", http, "Address for HTTP; port 0 for any");
    parser.addUrl("--log", log, "Address of the platform's log service")->required();
    parser.addName("--log-stream", logStream, "Stream of the log service that holds the control records; the region's name is added");
    parser.addAddresses("--seeds", seeds, "Entries to learn the fleet's state from while the log is down");

    parser.beginGroup("Times");
    parser.addNumber("--heartbeat-ms", heartbeatMs, 10, 10'000, "Interval of heartbeats");
    parser.addNumber(
        "--slow-heartbeat-ms", slowHeartbeatMs, 10, 2000, "Interval of heartbeats from an agent to entries that are not close to it");
    parser.addNumber("--suspicion-ms", suspicionMs, 50, 60'000, "Time without an answer after which a process is suspected");
    parser.addNumber(
        "--isolation-ms", isolationMs, 50, 60'000, "Time after which a process that is cut off stops acting; the same everywhere");
    parser.addNumber("--clock-skew-ms", clockSkewMs, 0, 60'000, "Largest difference between the clocks of two nodes; the same everywhere");
    parser.addNumber("--window-s", windowS, 10, 3600, "Deduplication window; the same everywhere");
    parser.addNumber("--log-poll-ms", logPollMs, 10, 10'000, "Interval at which the log is read");
    parser.addNumber("--stop-deadline-s", stopDeadlineS, 1, 3600, "Time after which a planned stop cuts what is still under way");

    parser.beginGroup("Logging");
    parser.addFraction(
        "--processor-share", processorShare, 0, 1024, "Processor time that the VM grants, in cores, for reports; 0 if not known");
    parser.addChoice("--log-level", logLevel, {"info", "warning", "error"}, "Lowest level of events that are logged");

    parser.demand([this] { return slowHeartbeatMs >= heartbeatMs; }, "--slow-heartbeat-ms", "must be at least --heartbeat-ms");
    parser.demand([this] { return suspicionMs >= 2 * heartbeatMs; }, "--suspicion-ms", "must be at least twice --heartbeat-ms");
    parser.demand([this] { return isolationMs >= 2 * heartbeatMs; }, "--isolation-ms", "must be at least twice --heartbeat-ms");
    parser.demand([this] { return isolationMs >= 2 * logPollMs; }, "--log-poll-ms", "must be at most half of --isolation-ms");
}

std::string process_settings::controlStream() const
{
    return logStream + '.' + region;
}

log_level process_settings::lowestLevel() const
{
    if (logLevel == "error") {
        return log_level::error;
    }
    return logLevel == "warning" ? log_level::warning : log_level::info;
}

}
