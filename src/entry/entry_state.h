#ifndef AZUREMOOR_ENTRY_ENTRY_STATE_H
#define AZUREMOOR_ENTRY_ENTRY_STATE_H

#include <vector>

#include <nlohmann/json.hpp>

#include "nodes/entry_node.h"
#include "telemetry/metrics_page.h"

namespace azuremoor
{

/// Returns what an entry owns, sees, holds and has decided lately, in bounded size.
nlohmann::json describeEntry(entry_node &node);

/// Returns what the decision objects of an entry have counted, as metrics.
std::vector<metric_sample> entrySamples(entry_node &node);

}

#endif
