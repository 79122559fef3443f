#include "fleet/fleet_state.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "fleet/member_json.h"

namespace azuremoor
{

using nlohmann::json;

record_effect fleet_state::apply(const log_record &record)
{
    if (record.offset <= m_offset) {
        return record_effect::repeated;
    }
    m_offset = record.offset;
    const auto decoded = decodeRecord(record.body);
    if (!decoded) {
        return record_effect::invalid;
    }
    if (m_recordEffects.contains(decoded->id)) {
        return record_effect::repeated;
    }
    const record_effect effect = std::visit([this, &record](const auto &body) { return applyBody(record.offset, body); }, decoded->body);
    rememberEffect(decoded->id, {effect, record.offset});
    return effect;
}

std::uint64_t fleet_state::offset() const
{
    return m_offset;
}

const std::map<std::string, fleet_member> &fleet_state::members() const
{
    return m_members;
}

const fleet_member *fleet_state::member(const std::string &name) const
{
    const auto found = m_members.find(name);
    return found == m_members.end() ? nullptr : &found->second;
}

std::uint64_t fleet_state::joinOffset(const std::string &name) const
{
    const auto found = m_joinOffsets.find(name);
    return found == m_joinOffsets.end() ? 0 : found->second;
}

std::vector<std::string> fleet_state::memberNames(member_role role) const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (member.role == role) {
            names.push_back(name);
        }
    }
    return names;
}

const shard_ownership &fleet_state::ownership(std::uint32_t shard) const
{
    return m_shards.at(shard);
}

std::span<const lost_ledger> fleet_state::lostLedgers() const
{
    return m_lostLedgers;
}

const configuration &fleet_state::currentConfiguration() const
{
    return m_configuration;
}

std::uint64_t fleet_state::configurationVersion() const
{
    return m_history.empty() ? 0 : m_history.back().version;
}

const std::deque<published_configuration> &fleet_state::configurationHistory() const
{
    return m_history;
}

std::optional<record_effect> fleet_state::effectOf(const std::string &recordId) const
{
    const auto found = m_recordEffects.find(recordId);
    if (found == m_recordEffects.end()) {
        return std::nullopt;
    }
    return found->second.effect;
}

std::uint64_t fleet_state::offsetOf(const std::string &recordId) const
{
    const auto found = m_recordEffects.find(recordId);
    return found == m_recordEffects.end() ? 0 : found->second.offset;
}

record_effect fleet_state::applyBody(std::uint64_t offset, const member_joined &body)
{
    m_joinOffsets.try_emplace(body.member.name, offset);
    fleet_member &member = m_members[body.member.name];
    // The incarnation is 0 if the member was not known and has just been inserted.
    const bool replaced = member.incarnation != 0 && member.incarnation != body.member.incarnation;
    if (replaced && member.role == member_role::agent) {
        addLostLedger(member, body.writtenAt);
    }
    member = body.member;
    // A member that was declared lost by mistake rejoins with the same incarnation and still has its ledger.
    std::erase_if(m_lostLedgers, [&body](const lost_ledger &lost) {
        return lost.agent == body.member.name && lost.incarnation == body.member.incarnation;
    });
    return record_effect::applied;
}

record_effect fleet_state::applyBody(std::uint64_t, const member_left &body)
{
    if (!isCurrentIncarnation(body.name, body.incarnation)) {
        return record_effect::superseded;
    }
    m_members.erase(body.name);
    m_joinOffsets.erase(body.name);
    return record_effect::applied;
}

record_effect fleet_state::applyBody(std::uint64_t, const member_lost &body)
{
    if (!isCurrentIncarnation(body.name, body.incarnation)) {
        return record_effect::superseded;
    }
    const fleet_member &member = m_members[body.name];
    if (member.role == member_role::agent) {
        addLostLedger(member, body.writtenAt);
    }
    m_members.erase(body.name);
    m_joinOffsets.erase(body.name);
    return record_effect::applied;
}

record_effect fleet_state::applyBody(std::uint64_t offset, const ownership_claim &body)
{
    bool anyShardClaimed = false;
    for (const claimed_shard &claimed : body.shards) {
        if (claimed.shard >= SHARD_COUNT || m_shards[claimed.shard].epoch != claimed.previousEpoch) {
            continue;
        }
        m_shards[claimed.shard] = {body.owner, body.incarnation, offset, claimed.previousEpoch, body.handedOver, body.writtenAt};
        anyShardClaimed = true;
    }
    return anyShardClaimed ? record_effect::applied : record_effect::superseded;
}

record_effect fleet_state::applyBody(std::uint64_t offset, const configuration_change &body)
{
    if (body.baseVersion != configurationVersion()) {
        return record_effect::superseded;
    }
    auto parsed = configuration::parseText(body.document);
    if (!parsed) {
        return record_effect::invalid;
    }
    m_configuration = std::move(*parsed);
    m_history.push_back({offset, body.author, body.writtenAt, body.document});
    if (m_history.size() > MAX_HISTORY_VERSIONS) {
        m_history.pop_front();
    }
    return record_effect::applied;
}

record_effect fleet_state::applyBody(std::uint64_t, const fleet_snapshot &)
{
    // All records that the snapshot covers have already been applied.
    return record_effect::applied;
}

bool fleet_state::isCurrentIncarnation(const std::string &name, std::uint64_t incarnation) const
{
    const fleet_member *known = member(name);
    return known != nullptr && known->incarnation == incarnation;
}

void fleet_state::addLostLedger(const fleet_member &member, unix_time lostAt)
{
    std::erase_if(m_lostLedgers, [lostAt](const lost_ledger &lost) { return lost.lostAt + LOST_LEDGER_RETENTION < lostAt; });
    m_lostLedgers.push_back({member.name, member.incarnation, lostAt});
}

void fleet_state::rememberEffect(const std::string &recordId, remembered_effect effect)
{
    m_recordEffects[recordId] = effect;
    m_rememberedIds.push_back(recordId);
    if (m_rememberedIds.size() > MAX_REMEMBERED_EFFECTS) {
        m_recordEffects.erase(m_rememberedIds.front());
        m_rememberedIds.pop_front();
    }
}

std::string fleet_state::encode() const
{
    json members = json::array();
    for (const auto &[name, member] : m_members) {
        members.push_back(memberToJson(member));
        members.back()["joined"] = m_joinOffsets.at(name);
    }
    json shards = json::array();
    for (const shard_ownership &shard : m_shards) {
        shards.push_back(
            {shard.owner, shard.incarnation, shard.epoch, shard.previousEpoch, shard.handedOver, unixMilliseconds(shard.claimedAt)});
    }
    json lost = json::array();
    for (const lost_ledger &ledger : m_lostLedgers) {
        lost.push_back({ledger.agent, ledger.incarnation, unixMilliseconds(ledger.lostAt)});
    }
    json history = json::array();
    for (const published_configuration &version : m_history) {
        history.push_back({version.version, version.author, unixMilliseconds(version.writtenAt), version.document});
    }
    json effects = json::array();
    for (const std::string &id : m_rememberedIds) {
        effects.push_back({id, static_cast<int>(m_recordEffects.at(id).effect), m_recordEffects.at(id).offset});
    }
    return json{{"offset", m_offset}, {"members", members}, {"shards", shards}, {"lost", lost}, {"history", history}, {"effects", effects}}
        .dump();
}

bool fleet_state::restoreIfNewer(std::string_view encoded)
{
    fleet_state restored;
    try {
        const json value = json::parse(encoded);
        restored.m_offset = value.at("offset").get<std::uint64_t>();
        for (const json &item : value.at("members")) {
            fleet_member member = memberFromJson(item);
            restored.m_members[member.name] = member;
            restored.m_joinOffsets[member.name] = item.at("joined").get<std::uint64_t>();
        }
        if (value.at("shards").size() != SHARD_COUNT) {
            return false;
        }
        for (std::size_t shard = 0; shard < SHARD_COUNT; ++shard) {
            const json &item = value.at("shards").at(shard);
            restored.m_shards[shard] = {item.at(0).get<std::string>(),
                                        item.at(1).get<std::uint64_t>(),
                                        item.at(2).get<std::uint64_t>(),
                                        item.at(3).get<std::uint64_t>(),
                                        item.at(4).get<bool>(),
                                        fromUnixMilliseconds(item.at(5).get<std::int64_t>())};
        }
        for (const json &item : value.at("lost")) {
            restored.m_lostLedgers.push_back(
                {item.at(0).get<std::string>(), item.at(1).get<std::uint64_t>(), fromUnixMilliseconds(item.at(2).get<std::int64_t>())});
        }
        for (const json &item : value.at("history")) {
            restored.m_history.push_back({item.at(0).get<std::uint64_t>(),
                                          item.at(1).get<std::string>(),
                                          fromUnixMilliseconds(item.at(2).get<std::int64_t>()),
                                          item.at(3).get<std::string>()});
        }
        for (const json &item : value.at("effects")) {
            restored.rememberEffect(item.at(0).get<std::string>(),
                                    {static_cast<record_effect>(item.at(1).get<int>()), item.at(2).get<std::uint64_t>()});
        }
    } catch (const json::exception &) {
        return false;
    }
    if (restored.m_offset <= m_offset) {
        return false;
    }
    if (!restored.m_history.empty()) {
        auto parsed = configuration::parseText(restored.m_history.back().document);
        if (!parsed) {
            return false;
        }
        restored.m_configuration = std::move(*parsed);
    }
    *this = std::move(restored);
    return true;
}

}
