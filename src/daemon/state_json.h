#ifndef AZUREMOOR_DAEMON_STATE_JSON_H
#define AZUREMOOR_DAEMON_STATE_JSON_H

#include <nlohmann/json.hpp>

#include "base/decision_journal.h"
#include "fleet/control_stream_replica.h"
#include "fleet/evacuation_table.h"
#include "fleet/freshness_tracker.h"
#include "fleet/record_publisher.h"
#include "telemetry/metrics_page.h"
#include "transport/peer_mesh.h"

namespace azuremoor
{

/// Returns the fields of a decision as an object.
nlohmann::json fieldsJson(const journal_fields &fields);

/// Returns the latest decisions for a state dump, the newest first.
nlohmann::json journalJson(const decision_journal &journal);

/// Returns what a process knows of the control stream, and whether it may act on it.
nlohmann::json controlJson(const control_stream_replica &stream, const freshness_tracker &guard, const record_publisher &publisher);

/// Returns the evacuated and withdrawn data centres for a state dump.
nlohmann::json evacuationsJson(const evacuation_table &table);

/// Adds a gauge for each known data centre that says whether it is evacuated.
void addEvacuationSamples(std::vector<metric_sample> &samples, const evacuation_table &table);

/// Returns the traffic between processes for a state dump.
nlohmann::json meshJson(const peer_mesh &mesh);

/// Adds the metrics of the traffic between processes.
void addMeshSamples(std::vector<metric_sample> &samples, const peer_mesh &mesh);

/// Adds the metrics of the control stream.
void addControlSamples(std::vector<metric_sample> &samples,
                       const control_stream_replica &stream,
                       const freshness_tracker &guard,
                       const record_publisher &publisher);

}

#endif
