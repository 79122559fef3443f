#ifndef AZUREMOOR_TESTING_FAKE_FLEET_SETTINGS_H
#define AZUREMOOR_TESTING_FAKE_FLEET_SETTINGS_H

#include <cstddef>
#include <cstdint>

#include "base/protocol_rules.h"
#include "fleet/heartbeat_monitor.h"

namespace azuremoor::testing
{

/// Size and bounds of a fake fleet.
struct fake_fleet_settings {
    std::size_t entries = 3;
    std::size_t agents = 4;
    std::size_t dataCentres = 3;
    std::uint32_t slots = 4;
    microseconds tickInterval = milliseconds(20);
    /// One way, within and between data centres.
    microseconds nearDelay{200};
    microseconds farDelay{1500};
    /// Largest difference of a node's wall clock from the true time, either way.
    microseconds skew = milliseconds(0);
    microseconds snapshotInterval = seconds(60);
    microseconds agentLoss = seconds(30);
    heartbeat_settings heartbeat;
    microseconds isolationBound = milliseconds(1000);
    protocol_rules rules;
    std::uint64_t seed = 1;
};

}

#endif
