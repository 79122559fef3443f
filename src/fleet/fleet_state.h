#ifndef AZUREMOOR_FLEET_FLEET_STATE_H
#define AZUREMOOR_FLEET_FLEET_STATE_H

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/submission_id.h"
#include "configuration/configuration.h"
#include "fleet/fleet_record.h"

namespace azuremoor
{

/// Who owns a shard.
struct shard_ownership {
    std::string owner;
    std::uint64_t incarnation = 0;
    /// Offset of the claim; 0 while the shard never had an owner.
    std::uint64_t epoch = 0;
    /// Epoch that the claim replaced; 0 for the first owner.
    std::uint64_t previousEpoch = 0;
    bool handedOver = false;
    /// When the claim was written, by the clock of its writer.
    unix_time claimedAt;

    bool operator==(const shard_ownership &) const = default;
};

/// An agent whose ledger is gone.
struct lost_ledger {
    std::string agent;
    std::uint64_t incarnation = 0;
    /// When the loss was recorded, by the clock of the writer.
    unix_time lostAt;

    bool operator==(const lost_ledger &) const = default;
};

/// A configuration with the offset at which it came into force.
struct configuration_version {
    std::uint64_t version = 0;
    std::string author;
    unix_time writtenAt;
    std::string document = "{}";

    bool operator==(const configuration_version &) const = default;
};

/// What became of an applied record.
enum class record_effect : std::uint8_t {
    applied,
    /// The record was made from a state that is no longer in force.
    superseded,
    /// The record, or one with its identifier, was applied before.
    repeated,
    /// The record cannot be read, or does not make sense.
    invalid,
};

/**
 * All that the fleet has agreed on: members, owners of shards and the configuration in force.
 *
 * It is a function of the control stream alone: processes that have applied the same records hold the same state. Records
 * are applied in the order of their offsets, and the offset never goes down.
 */
class fleet_state
{
public:
    /// How long a lost ledger may matter: no submission lives longer.
    static constexpr seconds LOST_LEDGER_RETENTION{1800};

    /// Number of configuration versions that are kept for operators to compare with.
    static constexpr std::size_t MAX_HISTORY_VERSIONS = 50;

    /// Applies the next record. Offsets at or below the current one are repeated and change nothing.
    record_effect apply(const log_record &record);

    /// Returns the offset of the last record that was applied; 0 before the first.
    std::uint64_t offset() const;

    /// Returns the members by name.
    const std::map<std::string, fleet_member> &members() const;

    /// Returns the member, or null when no process of that name is part of the fleet.
    const fleet_member *member(const std::string &name) const;

    /// Returns the offset at which a process of this name first became a member; 0 when there is none.
    std::uint64_t joinOffset(const std::string &name) const;

    /// Returns the names of all members of the role, in order.
    std::vector<std::string> memberNames(member_role role) const;

    /// Returns who owns the shard.
    const shard_ownership &ownership(std::uint32_t shard) const;

    /// Returns the ledgers whose loss may still matter.
    std::span<const lost_ledger> lostLedgers() const;

    /// Returns the configuration in force.
    const configuration &currentConfiguration() const;

    /// Returns the version of the configuration in force; 0 before any was published.
    std::uint64_t configurationVersion() const;

    /// Returns the latest versions, the one in force last.
    const std::deque<configuration_version> &configurationHistory() const;

    /// Returns what the record with this identifier did, or nothing when no such record was applied lately.
    std::optional<record_effect> effectOf(const std::string &recordId) const;

    /// Returns the offset of the record with this identifier, or 0 when no such record was applied lately.
    std::uint64_t offsetOf(const std::string &recordId) const;

    /// Returns the state as JSON, for snapshots and for peers that are behind.
    std::string encode() const;

    /// Replaces the state by an encoded one of a higher offset. Returns false, and changes nothing, for any other text.
    bool restoreIfNewer(std::string_view encoded);

private:
    /// Number of identifiers that are remembered for writers in doubt.
    static constexpr std::size_t MAX_REMEMBERED_EFFECTS = 4096;

    record_effect applyBody(std::uint64_t offset, const member_joined &body);
    record_effect applyBody(std::uint64_t offset, const member_left &body);
    record_effect applyBody(std::uint64_t offset, const member_lost &body);
    record_effect applyBody(std::uint64_t offset, const ownership_claim &body);
    record_effect applyBody(std::uint64_t offset, const configuration_change &body);
    record_effect applyBody(std::uint64_t offset, const fleet_snapshot &body);

    bool isCurrentIncarnation(const std::string &name, std::uint64_t incarnation) const;
    void recordLostLedger(const fleet_member &member, unix_time at);
    struct remembered_effect {
        record_effect effect = record_effect::applied;
        std::uint64_t offset = 0;
    };

    void rememberEffect(const std::string &recordId, remembered_effect record);

    std::uint64_t m_offset = 0;
    std::map<std::string, fleet_member> m_members;
    std::map<std::string, std::uint64_t> m_joinOffsets;
    std::array<shard_ownership, SHARD_COUNT> m_shards;
    std::vector<lost_ledger> m_lostLedgers;
    configuration m_configuration;
    std::deque<configuration_version> m_history;
    std::map<std::string, remembered_effect> m_recordEffects;
    std::deque<std::string> m_effectOrder;
};

}

#endif
