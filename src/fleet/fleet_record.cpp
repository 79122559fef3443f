#include "fleet/fleet_record.h"

#include <nlohmann/json.hpp>

#include "fleet/member_json.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr std::size_t MAX_RECORD_BYTES = 8 * 1024 * 1024;

json encodeBody(const member_joined &body)
{
    json result = memberToJson(body.member);
    result["kind"] = "member_joined";
    result["at"] = unixMilliseconds(body.writtenAt);
    return result;
}

json encodeBody(const member_left &body)
{
    return {{"kind", "member_left"}, {"name", body.name}, {"incarnation", body.incarnation}};
}

json encodeBody(const member_lost &body)
{
    return {{"kind", "member_lost"}, {"name", body.name}, {"incarnation", body.incarnation}, {"at", unixMilliseconds(body.writtenAt)}};
}

json encodeBody(const ownership_claim &body)
{
    json shards = json::array();
    for (const claimed_shard &claimed : body.shards) {
        shards.push_back({claimed.shard, claimed.previousEpoch});
    }
    return {{"kind", "ownership_claim"},
            {"owner", body.owner},
            {"incarnation", body.incarnation},
            {"shards", shards},
            {"handed_over", body.handedOver},
            {"at", unixMilliseconds(body.writtenAt)}};
}

json encodeBody(const configuration_change &body)
{
    return {{"kind", "configuration_change"},
            {"base_version", body.baseVersion},
            {"author", body.author},
            {"document", body.document},
            {"at", unixMilliseconds(body.writtenAt)}};
}

json encodeBody(const fleet_snapshot &body)
{
    return {{"kind", "fleet_snapshot"}, {"as_of", body.coveredOffset}, {"state", body.state}};
}

ownership_claim decodeClaim(const json &value)
{
    ownership_claim body;
    body.owner = value.at("owner").get<std::string>();
    body.incarnation = value.at("incarnation").get<std::uint64_t>();
    body.handedOver = value.at("handed_over").get<bool>();
    body.writtenAt = fromUnixMilliseconds(value.at("at").get<std::int64_t>());
    for (const json &claimed : value.at("shards")) {
        body.shards.push_back({claimed.at(0).get<std::uint32_t>(), claimed.at(1).get<std::uint64_t>()});
    }
    return body;
}

fleet_record recordFromJson(const json &value)
{
    fleet_record record;
    record.id = value.at("id").get<std::string>();
    const auto kind = value.at("kind").get<std::string>();
    if (kind == "member_joined") {
        record.body = member_joined{memberFromJson(value), fromUnixMilliseconds(value.at("at").get<std::int64_t>())};
    } else if (kind == "member_left") {
        record.body = member_left{value.at("name").get<std::string>(), value.at("incarnation").get<std::uint64_t>()};
    } else if (kind == "member_lost") {
        record.body = member_lost{value.at("name").get<std::string>(),
                                  value.at("incarnation").get<std::uint64_t>(),
                                  fromUnixMilliseconds(value.at("at").get<std::int64_t>())};
    } else if (kind == "ownership_claim") {
        record.body = decodeClaim(value);
    } else if (kind == "configuration_change") {
        record.body = configuration_change{value.at("base_version").get<std::uint64_t>(),
                                           value.at("author").get<std::string>(),
                                           value.at("document").get<std::string>(),
                                           fromUnixMilliseconds(value.at("at").get<std::int64_t>())};
    } else {
        // Records of an unknown kind are rejected here, unless they have the keys of a snapshot.
        record.body = fleet_snapshot{value.at("as_of").get<std::uint64_t>(), value.at("state").get<std::string>()};
    }
    return record;
}

}

std::string encodeRecord(const fleet_record &record)
{
    json value = std::visit([](const auto &body) { return encodeBody(body); }, record.body);
    value["id"] = record.id;
    return value.dump();
}

tl::expected<fleet_record, std::string> decodeRecord(std::string_view text)
{
    if (text.size() > MAX_RECORD_BYTES) {
        return tl::unexpected(std::string("record exceeds the limit of 8 MiB"));
    }
    try {
        return recordFromJson(json::parse(text));
    } catch (const json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

}
