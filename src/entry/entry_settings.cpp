#include "entry/entry_settings.h"

namespace azuremoor
{

void entry_settings::declare(settings_parser &parser)
{
    process.declare(parser);
    parser.beginGroup("Jobs");
    parser.addNumber("--max-deadline-s", maxDeadlineS, 1, 3600, "Furthest deadline of a job that is accepted");
    parser.addNumber("--max-jobs", maxJobs, 100, 10'000'000, "Most jobs that are remembered");
    parser.addNumber("--max-waiting-tasks", maxWaitingTasks, 440, 10'000'000, "Most tasks that wait for a slot");
    parser.addNumber("--max-body-bytes", maxBodyBytes, 1024, 256 * 1024 * 1024, "Largest body of a request");
    parser.beginGroup("Workers");
    parser.addNumber(
        "--agent-grace-ms", agentGraceMs, 100, 60'000, "Time for which a disconnected agent may return before its tasks are given up");
    parser.addNumber("--agent-loss-ms", agentLossMs, 1000, 3'600'000, "Time after which a silent agent is given up for good");
    parser.beginGroup("Control records");
    parser.addNumber("--snapshot-interval-s", snapshotIntervalS, 1, 3600, "Interval of snapshots on the log; shorter than its retention");
    parser.demand([this] { return process.windowS >= maxDeadlineS; }, "--window-s", "must be at least --max-deadline-s");
    parser.demand([this] { return agentLossMs > agentGraceMs; }, "--agent-loss-ms", "must be more than --agent-grace-ms");
}

entry_node_settings entry_settings::nodeSettings(std::uint64_t incarnation, const std::string &address) const
{
    entry_node_settings settings;
    settings.self = {process.name, member_role::entry, incarnation, address, process.dataCentre, process.rack};
    settings.heartbeat = {milliseconds(process.heartbeatMs), milliseconds(process.slowHeartbeatMs), milliseconds(process.suspicionMs)};
    settings.recovery.isolationBound = milliseconds(process.isolationMs);
    settings.recovery.clockSkew = milliseconds(process.clockSkewMs);
    settings.jobs.name = process.name;
    settings.jobs.dataCentre = process.dataCentre;
    settings.jobs.bounds.deduplicationWindow = seconds(process.windowS);
    settings.jobs.bounds.maxDeadline = seconds(maxDeadlineS);
    settings.jobs.bounds.clockSkew = milliseconds(process.clockSkewMs);
    settings.jobs.agentGrace = milliseconds(agentGraceMs);
    settings.jobs.maxJobs = static_cast<std::size_t>(maxJobs);
    settings.jobs.maxWaitingTasks = static_cast<std::size_t>(maxWaitingTasks);
    settings.snapshotInterval = seconds(snapshotIntervalS);
    settings.agentLossTimeout = milliseconds(agentLossMs);
    return settings;
}

}
