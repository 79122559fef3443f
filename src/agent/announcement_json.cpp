#include "agent/announcement_json.h"

#include <cmath>

#include <nlohmann/json.hpp>

#include "transport/http_client.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr std::size_t MAX_LABELS = 64;
constexpr double MAX_COUNT = 1'000'000;
constexpr double MILLI = 1000;

double readNumber(const json &value, const std::string &key, double absent)
{
    if (!value.contains(key)) {
        return absent;
    }
    const json &entry = value[key];
    if (!entry.is_number() || entry.get<double>() < 0 || entry.get<double>() > MAX_COUNT) {
        throw std::string(key + ": expected a number from 0 to 1000000");
    }
    return entry.get<double>();
}

std::string readText(const json &value, const std::string &key)
{
    if (!value.contains(key) || !value[key].is_string() || value[key].get_ref<const std::string &>().size() > MAX_NAME_BYTES) {
        throw std::string(key + ": expected a text of at most 256 bytes");
    }
    return value[key].get<std::string>();
}

std::vector<label> readLabels(const json &value)
{
    std::vector<label> labels;
    if (!value.contains("labels")) {
        return labels;
    }
    const json &entries = value["labels"];
    if (!entries.is_object() || entries.size() > MAX_LABELS) {
        throw std::string("labels: expected an object of at most 64 labels");
    }
    for (const auto &[key, entry] : entries.items()) {
        labels.push_back({key, readText(entries, key)});
    }
    return labels;
}

upstream_announcement readAnnouncement(const json &value)
{
    if (!value.is_object()) {
        throw std::string("expected an object");
    }
    upstream_announcement announcement;
    announcement.name = readText(value, "name");
    announcement.url = readText(value, "url");
    if (!http_url::parse(announcement.url)) {
        throw std::string("url: expected an http:// address with an IP number and a port");
    }
    announcement.labels = readLabels(value);
    announcement.slots = static_cast<std::uint32_t>(readNumber(value, "slots", 1));
    announcement.connections = static_cast<std::uint32_t>(readNumber(value, "connections", announcement.slots));
    announcement.capacity.milliCores = static_cast<std::uint32_t>(std::floor(readNumber(value, "cores", 0) * MILLI));
    announcement.capacity.memoryMegabytes = static_cast<std::uint32_t>(readNumber(value, "memory_mb", 0));
    announcement.capacity.accelerators = static_cast<std::uint32_t>(readNumber(value, "accelerators", 0));
    if (announcement.slots == 0 || announcement.connections == 0) {
        throw std::string("slots and connections must be at least 1");
    }
    return announcement;
}

}

tl::expected<upstream_announcement, std::string> parseAnnouncement(std::string_view text)
{
    try {
        return readAnnouncement(json::parse(text));
    } catch (const std::string &reason) {
        return tl::unexpected(reason);
    } catch (const json::exception &error) {
        return tl::unexpected(std::string("the body is not JSON: ") + error.what());
    }
}

}
