#ifndef AZUREMOOR_FLEET_FLEET_RECORD_H
#define AZUREMOOR_FLEET_FLEET_RECORD_H

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// A process of the fleet, as it registered itself.
struct fleet_member {
    std::string name;
    member_role role = member_role::entry;
    std::uint64_t incarnation = 0;
    /// IP number and port for messages between processes.
    std::string address;
    std::string dataCentre;
    std::string rack;

    bool operator==(const fleet_member &) const = default;
};

/// A process joins the fleet, or returns with a new incarnation.
struct member_joined {
    fleet_member member;
    unix_time writtenAt;
};

/// A process left as planned. Nothing that it knew is lost.
struct member_left {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// A process is given up. What only it knew is lost.
struct member_lost {
    std::string name;
    std::uint64_t incarnation = 0;
    unix_time writtenAt;
};

/// One shard of a claim. The claim holds only if the shard's epoch is still the one named here.
struct claimed_shard {
    std::uint32_t shard = 0;
    std::uint64_t previousEpoch = 0;
};

/// An entry becomes the owner of shards; the record's offset is the new epoch.
struct ownership_claim {
    std::string owner;
    std::uint64_t incarnation = 0;
    std::vector<claimed_shard> shards;
    /// True when the previous owner handed its table over, false when the shard was taken over or had no owner.
    bool handedOver = false;
    unix_time writtenAt;
};

/// An operator's change. It holds only if the version in force is still the one that it was made from.
struct configuration_change {
    std::uint64_t baseVersion = 0;
    std::string author;
    /// The whole new document, in JSON.
    std::string document;
    unix_time writtenAt;
};

/// The state that all records up to an offset add up to, so that these may be trimmed.
struct fleet_snapshot {
    std::uint64_t coveredOffset = 0;
    std::string state;
};

/// A record of the control stream.
struct fleet_record {
    /// Chosen by the writer, so that it can find its own record after a lost acknowledgement.
    std::string id;
    std::variant<member_joined, member_left, member_lost, ownership_claim, configuration_change, fleet_snapshot> body;
};

/// A record with its place in the control stream.
struct log_record {
    std::uint64_t offset = 0;
    std::string body;
};

/// Returns the record as JSON, the form it has on the log.
std::string encodeRecord(const fleet_record &record);

/// Returns the record that the JSON text holds, or the reason why it holds none.
tl::expected<fleet_record, std::string> decodeRecord(std::string_view text);

}

#endif
