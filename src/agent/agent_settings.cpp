#include "agent/agent_settings.h"

namespace azuremoor
{

void agent_settings::declare(settings_parser &parser)
{
    process.declare(parser);
    parser.beginGroup("Upstream");
    parser.addNumber("--announcement-timeout-ms",
                     announcementTimeoutMs,
                     200,
                     60'000,
                     "Time without an announcement after which the upstream has vanished");
    parser.addNumber("--announcement-margin-ms", announcementMarginMs, 0, 10'000, "Part of that time in which nothing more is started");
    parser.addNumber("--late-answer-s", lateAnswerS, 0, 600, "Time after a job's deadline for which an answer is still awaited");
    parser.beginGroup("Ledger");
    parser.addNumber("--max-ledger-tasks", maxLedgerTasks, 1000, 100'000'000, "Most tasks that are remembered");
    parser.addNumber(
        "--max-answer-bytes", maxAnswerBytes, 1024 * 1024, INT64_C(64) * 1024 * 1024 * 1024, "Most bytes of answers that are kept");
    parser.demand([this] { return announcementMarginMs < announcementTimeoutMs; },
                  "--announcement-margin-ms",
                  "must be less than --announcement-timeout-ms");
}

agent_node_settings agent_settings::nodeSettings(std::uint64_t incarnation) const
{
    agent_node_settings settings;
    settings.self = {process.name, member_role::agent, incarnation, process.listen, process.dataCentre, process.rack};
    settings.heartbeat = {milliseconds(process.heartbeatMs), milliseconds(process.slowHeartbeatMs), milliseconds(process.suspicionMs)};
    settings.isolationBound = milliseconds(process.isolationMs);
    settings.worker.name = process.name;
    settings.worker.incarnation = incarnation;
    settings.worker.dataCentre = process.dataCentre;
    settings.worker.rack = process.rack;
    settings.worker.announcementTimeout = milliseconds(announcementTimeoutMs);
    settings.worker.announcementMargin = milliseconds(announcementMarginMs);
    settings.worker.ledger.maxTasks = static_cast<std::size_t>(maxLedgerTasks);
    settings.worker.ledger.maxAnswerBytes = static_cast<std::size_t>(maxAnswerBytes);
    settings.worker.ledger.retention = seconds(process.windowS);
    return settings;
}

}
