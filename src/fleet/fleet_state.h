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

/// Current owner of a shard, and the claim that made it the owner.
struct shard_ownership {
    std::string owner;
    std::uint64_t incarnation = 0;
    /// Offset of the record that claimed the shard; 0 if the shard has never been owned.
    std::uint64_t epoch = 0;
    /// Epoch that the claim replaced; 0 for the first owner.
    std::uint64_t previousEpoch = 0;
    /// Whether the previous owner transferred its job table to this owner.
    bool handedOver = false;
    /// When the claim was written, by the wall clock of its writer.
    unix_time claimedAt;

    bool operator==(const shard_ownership &) const = default;
};

/// A ledger that is no longer available. A ledger is the record that an agent keeps of the tasks it started; without it, a new
/// owner of a job cannot tell which of its tasks that agent started. The agent name and the incarnation identify the process
/// that kept it.
struct lost_ledger {
    std::string agent;
    std::uint64_t incarnation = 0;
    /// When the loss was recorded, by the wall clock of the writer.
    unix_time lostAt;

    bool operator==(const lost_ledger &) const = default;
};

/// A published configuration.
struct published_configuration {
    /// Offset of the record that published it.
    std::uint64_t version = 0;
    std::string author;
    /// When the change was written, by the wall clock of the writer.
    unix_time writtenAt;
    std::string document = "{}";

    bool operator==(const published_configuration &) const = default;
};

/// Effect of a record on the state. The values are stored in encoded states.
enum class record_effect : std::uint8_t {
    /// The record took effect; a claim did so for at least one shard. A snapshot always counts as applied.
    applied,
    /// The record depends on an epoch, version or incarnation that is no longer current, or is a claim that took effect for no
    /// shard.
    superseded,
    /// The offset is not above the current one, or the identifier is that of a remembered record.
    repeated,
    /// The record could not be decoded, or its content is invalid.
    invalid,
};

/**
 * State that the fleet has agreed on: members, owners of shards and the current configuration.
 *
 * The state depends on the control stream alone, so processes that have applied the same records hold the same state. Records
 * are applied in the order of their offsets, and the offset never decreases.
 */
class fleet_state
{
public:
    /// Minimum time for which a lost ledger is remembered, unless its process rejoins with the same incarnation. Older ones are
    /// removed when another ledger is lost. Must not be less than the maximum lifetime of a submission, so that losses that are no
    /// longer remembered cannot affect one.
    static constexpr seconds LOST_LEDGER_RETENTION{1800};

    /// Number of configuration versions kept so that operators can compare them.
    static constexpr std::size_t MAX_HISTORY_VERSIONS = 50;

    /// Applies the next record. Records at or below the current offset are reported as `repeated` and change nothing. A record
    /// with a remembered identifier is `repeated` too and changes only the offset, and so does a record that cannot be decoded.
    /// Any other record is remembered by its identifier, even if its effect is `superseded` or `invalid`.
    record_effect apply(const log_record &record);

    /// Returns the offset of the last applied record; 0 before the first.
    std::uint64_t offset() const;

    const std::map<std::string, fleet_member> &members() const;

    /// Returns the member of that name, or null. The pointer is valid until the next change of the state.
    const fleet_member *member(const std::string &name) const;

    /// Returns the offset at which the member of that name joined; 0 if there is none. A return with a new incarnation keeps
    /// the offset.
    std::uint64_t joinOffset(const std::string &name) const;

    /// Returns the sorted names of all members with the role.
    std::vector<std::string> memberNames(member_role role) const;

    /// Throws std::out_of_range if `shard` is not below SHARD_COUNT.
    const shard_ownership &ownership(std::uint32_t shard) const;

    /// Returns the lost ledgers that are still remembered. Some may be older than LOST_LEDGER_RETENTION.
    std::span<const lost_ledger> lostLedgers() const;

    const configuration &currentConfiguration() const;

    /// Returns the version of the current configuration; 0 before any was published.
    std::uint64_t configurationVersion() const;

    /// Returns the latest versions in ascending order. The last one is current.
    const std::deque<published_configuration> &configurationHistory() const;

    /// Returns the effect of the record with this identifier, or nothing if it is not among the latest MAX_REMEMBERED_EFFECTS
    /// remembered records.
    std::optional<record_effect> effectOf(const std::string &recordId) const;

    /// Returns the offset of the record with this identifier, or 0 if it is not among the latest MAX_REMEMBERED_EFFECTS
    /// remembered records.
    std::uint64_t offsetOf(const std::string &recordId) const;

    /// Returns the state as JSON, for snapshots and for peers that are behind.
    std::string encode() const;

    /// Replaces the state by an encoded state of a higher offset. Returns false, and changes nothing, if the text is invalid or
    /// not newer.
    bool restoreIfNewer(std::string_view encoded);

private:
    /// Number of record effects that are remembered, so that a writer can tell whether its record was applied.
    static constexpr std::size_t MAX_REMEMBERED_EFFECTS = 4096;

    record_effect applyBody(std::uint64_t offset, const member_joined &body);
    record_effect applyBody(std::uint64_t offset, const member_left &body);
    record_effect applyBody(std::uint64_t offset, const member_lost &body);
    record_effect applyBody(std::uint64_t offset, const ownership_claim &body);
    record_effect applyBody(std::uint64_t offset, const configuration_change &body);
    record_effect applyBody(std::uint64_t offset, const fleet_snapshot &body);

    /// Returns whether the name belongs to a member with this incarnation.
    bool isCurrentIncarnation(const std::string &name, std::uint64_t incarnation) const;
    /// Adds the ledger of the member, and removes those whose retention ended before `lostAt`.
    void addLostLedger(const fleet_member &member, unix_time lostAt);

    /// Effect and offset of a decoded record.
    struct remembered_effect {
        record_effect effect = record_effect::applied;
        std::uint64_t offset = 0;
    };

    void rememberEffect(const std::string &recordId, remembered_effect effect);

    std::uint64_t m_offset = 0;
    std::map<std::string, fleet_member> m_members;
    std::map<std::string, std::uint64_t> m_joinOffsets;
    std::array<shard_ownership, SHARD_COUNT> m_shards;
    std::vector<lost_ledger> m_lostLedgers;
    configuration m_configuration;
    std::deque<published_configuration> m_history;
    std::map<std::string, remembered_effect> m_recordEffects;
    /// Identifiers of the remembered records, oldest first.
    std::deque<std::string> m_rememberedIds;
};

}

#endif
