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

/// A process of the fleet, as it registered itself. An entry admits jobs, owns shards and takes part in quorums. An agent starts
/// tasks and keeps a ledger of them.
struct fleet_member {
    std::string name;
    member_role role = member_role::entry;
    /// Distinguishes this run of the process from earlier ones under the same name.
    std::uint64_t incarnation = 0;
    /// IP address and port on which the process accepts messages from other processes.
    std::string address;
    std::string dataCentre;
    std::string rack;

    bool operator==(const fleet_member &) const = default;
};

/// A process joined the fleet, returned with a new incarnation, or returned with the same one after it was declared lost by
/// mistake.
struct member_joined {
    fleet_member member;
    unix_time writtenAt;
};

/// A process left the fleet in a planned stop. Its ledger does not count as lost.
struct member_left {
    std::string name;
    std::uint64_t incarnation = 0;
};

/// A process was declared lost. If it is an agent, its ledger counts as lost.
struct member_lost {
    std::string name;
    std::uint64_t incarnation = 0;
    unix_time writtenAt;
};

/// A shard in a claim. The claim takes effect for the shard only if the current epoch equals `previousEpoch`.
struct claimed_shard {
    std::uint32_t shard = 0;
    std::uint64_t previousEpoch = 0;
};

/// An entry becomes the owner of shards. Written by the new owner or, in a handover, by the previous owner for the new one. The
/// offset of the record is the new epoch.
struct ownership_claim {
    std::string owner;
    std::uint64_t incarnation = 0;
    std::vector<claimed_shard> shards;
    /// Whether the previous owner transferred its job table. False if the shard was taken over or had no owner.
    bool handedOver = false;
    unix_time writtenAt;
};

/// A change of the configuration by an operator. It takes effect only if the current version equals `baseVersion`.
struct configuration_change {
    std::uint64_t baseVersion = 0;
    std::string author;
    /// The complete new document, in JSON.
    std::string document;
    unix_time writtenAt;
};

/// The encoded state after all records up to an offset. It allows these records to be deleted from the log.
struct fleet_snapshot {
    /// Offset of the last record that the state includes.
    std::uint64_t coveredOffset = 0;
    std::string state;
};

/// A decoded record of the control stream.
struct fleet_record {
    /// Chosen by the writer, so that it can recognize its record on the log after a lost acknowledgement.
    std::string id;
    std::variant<member_joined, member_left, member_lost, ownership_claim, configuration_change, fleet_snapshot> body;
};

/// An encoded record with its offset in the control stream.
struct log_record {
    std::uint64_t offset = 0;
    /// The whole record as encoded by encodeRecord(), including its identifier.
    std::string body;
};

/// Returns the JSON text that is written to the log.
std::string encodeRecord(const fleet_record &record);

/// Decodes a JSON record, or returns an error message. Texts over 8 MiB are rejected.
tl::expected<fleet_record, std::string> decodeRecord(std::string_view text);

}

#endif
