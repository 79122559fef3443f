#include "daemon/state_json.h"

#include "fleet/member_json.h"

namespace azuremoor
{

namespace
{

/// Members that a state dump lists, so that its size is bounded.
constexpr std::size_t LISTED_MEMBERS = 200;

}

nlohmann::json fieldsJson(const journal_fields &fields)
{
    nlohmann::json result = nlohmann::json::object();
    for (const auto &[name, value] : fields) {
        result[name] = value;
    }
    return result;
}

nlohmann::json journalJson(const decision_journal &journal)
{
    nlohmann::json lines = nlohmann::json::array();
    for (auto line = journal.entries().rbegin(); line != journal.entries().rend(); ++line) {
        nlohmann::json entry = fieldsJson(line->fields);
        entry["at_ms"] = unixMilliseconds(line->at);
        entry["event"] = line->event;
        lines.push_back(entry);
    }
    return lines;
}

nlohmann::json controlJson(const control_stream_replica &stream, const freshness_tracker &guard, const record_publisher &publisher)
{
    const fleet_state &state = stream.state();
    nlohmann::json members = nlohmann::json::array();
    for (const auto &[name, member] : state.members()) {
        if (members.size() < LISTED_MEMBERS) {
            members.push_back(memberToJson(member));
        }
    }
    return {{"offset", state.offset()},
            {"configuration_version", state.configurationVersion()},
            {"fresh", guard.isFresh()},
            {"pending_records", publisher.pendingCount()},
            {"invalid_records", stream.invalidRecordCount()},
            {"lost_ledgers", state.lostLedgers().size()},
            {"member_count", state.members().size()},
            {"members", members}};
}

nlohmann::json evacuationsJson(const evacuation_table &table)
{
    nlohmann::json result = nlohmann::json::array();
    for (const evacuation_row &row : table.rows()) {
        result.push_back({{"data_centre", row.dataCentre},
                          {"version", row.version},
                          {"evacuated", row.isEvacuated},
                          {"age_us", table.stateAge(row.dataCentre).count()}});
    }
    return result;
}

void addEvacuationSamples(std::vector<metric_sample> &samples, const evacuation_table &table)
{
    for (const auto &[dataCentre, isEvacuated] : table.dataCentres()) {
        samples.push_back(
            gaugeSample("azuremoor_evacuated", "Whether the data centre is evacuated", isEvacuated ? 1 : 0, {{"data_centre", dataCentre}}));
    }
}

nlohmann::json meshJson(const peer_mesh &mesh)
{
    const mesh_counters counters = mesh.counters();
    return {{"connected", mesh.connected()},
            {"sent_messages", counters.sentMessages},
            {"received_messages", counters.receivedMessages},
            {"sent_bytes", counters.sentBytes},
            {"received_bytes", counters.receivedBytes},
            {"dropped_malformed", counters.droppedMalformed},
            {"dropped_unreachable", counters.droppedUnreachable},
            {"sent_by_type", counters.sentByType}};
}

void addMeshSamples(std::vector<metric_sample> &samples, const peer_mesh &mesh)
{
    const mesh_counters counters = mesh.counters();
    for (const auto &[type, count] : counters.sentByType) {
        samples.push_back(counterSample(
            "azuremoor_messages_sent_total", "Messages sent to other processes", static_cast<double>(count), {{"type", type}}));
    }
    samples.push_back(counterSample(
        "azuremoor_messages_received_total", "Messages received from other processes", static_cast<double>(counters.receivedMessages)));
    samples.push_back(
        counterSample("azuremoor_sent_bytes_total", "Bytes sent to other processes", static_cast<double>(counters.sentBytes)));
    samples.push_back(counterSample(
        "azuremoor_received_bytes_total", "Bytes received from other processes", static_cast<double>(counters.receivedBytes)));
    samples.push_back(counterSample("azuremoor_messages_dropped_total",
                                    "Messages that were dropped",
                                    static_cast<double>(counters.droppedMalformed),
                                    {{"reason", "malformed"}}));
    samples.push_back(counterSample("azuremoor_messages_dropped_total",
                                    "Messages that were dropped",
                                    static_cast<double>(counters.droppedUnreachable),
                                    {{"reason", "unreachable"}}));
    for (const auto &[role, count] : counters.connections) {
        samples.push_back(gaugeSample("azuremoor_connections",
                                      "Connections to other processes, by their role",
                                      static_cast<double>(count),
                                      {{"role", std::string(roleName(role))}}));
    }
    for (const auto &[role, bytes] : counters.waitingBytes) {
        samples.push_back(gaugeSample("azuremoor_waiting_bytes",
                                      "Bytes that connections to other processes have not taken yet, by their role",
                                      static_cast<double>(bytes),
                                      {{"role", std::string(roleName(role))}}));
    }
}

void addControlSamples(std::vector<metric_sample> &samples,
                       const control_stream_replica &stream,
                       const freshness_tracker &guard,
                       const record_publisher &publisher)
{
    samples.push_back(gaugeSample(
        "azuremoor_control_offset", "Offset up to which the control stream is applied", static_cast<double>(stream.state().offset())));
    samples.push_back(gaugeSample("azuremoor_configuration_version",
                                  "Version of the configuration in force",
                                  static_cast<double>(stream.state().configurationVersion())));
    samples.push_back(gaugeSample("azuremoor_fresh", "Whether the process may act on what it knows", guard.isFresh() ? 1 : 0));
    samples.push_back(
        counterSample("azuremoor_log_appends_total", "Appends sent to the log", static_cast<double>(publisher.appendCount())));
}

}
