#include "daemon/platform_log.h"

#include "transport/http_status.h"

#include <nlohmann/json.hpp>

namespace azuremoor
{

namespace
{

constexpr seconds REQUEST_TIMEOUT{2};
constexpr int PAGE_RECORDS = 500;

std::optional<log_page> parsePage(const std::string &body, steady_time began)
{
    try {
        const nlohmann::json value = nlohmann::json::parse(body);
        log_page page;
        page.readStart = began;
        page.firstOffset = value.at("first").get<std::uint64_t>();
        page.nextOffset = value.at("next").get<std::uint64_t>();
        for (const nlohmann::json &record : value.at("records")) {
            page.records.push_back({record.at("offset").get<std::uint64_t>(), record.at("body").get<std::string>()});
        }
        return page;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

}

platform_log::platform_log(
    const time_source &time, http_client &client, const http_url &service, const std::string &stream, append_callback appended)
    : m_time(time)
    , m_client(client)
    , m_service(service)
    , m_path("/v1/streams/" + stream + "/records")
    , m_appended(std::move(appended))
{
}

void platform_log::append(const std::string &recordId, const std::string &body)
{
    outgoing_request request{"POST", m_service.address, m_path, {{"Content-Type", "application/json"}}, body, REQUEST_TIMEOUT};
    m_client.send(std::move(request), [this, recordId](const result_or_failure<incoming_response> &response) {
        m_appended(recordId, response && response->status == STATUS_OK);
    });
}

void platform_log::read(std::uint64_t fromOffset, page_callback done)
{
    if (m_reading) {
        return;
    }
    m_reading = true;
    ++m_reads;
    const steady_time began = m_time.steadyNow();
    const std::string path = m_path + "?from=" + std::to_string(fromOffset) + "&limit=" + std::to_string(PAGE_RECORDS);
    m_client.send({"GET", m_service.address, path, {}, {}, REQUEST_TIMEOUT},
                  [this, began, done = std::move(done)](const result_or_failure<incoming_response> &response) {
                      m_reading = false;
                      const std::optional<log_page> page
                          = response && response->status == STATUS_OK ? parsePage(response->body, began) : std::nullopt;
                      if (!page) {
                          ++m_failedReads;
                          return;
                      }
                      done(*page);
                  });
}

std::uint64_t platform_log::failedReads() const
{
    return m_failedReads;
}

std::uint64_t platform_log::reads() const
{
    return m_reads;
}

}
