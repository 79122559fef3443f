#include "ctl/configuration_fetch.h"

#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

constexpr seconds TIMEOUT{15};

}

std::optional<nlohmann::json> fetchConfiguration(ctl_client &client, std::optional<std::uint64_t> version, exit_status &status)
{
    const std::string path = version ? "/v1/configuration?version=" + std::to_string(*version) : "/v1/configuration";
    const auto response = client.call("GET", path, {}, TIMEOUT);
    if (!response) {
        status = reportFailure(response.error());
        return std::nullopt;
    }
    if (response->status != STATUS_OK) {
        status = reportProblem(*response);
        return std::nullopt;
    }
    return nlohmann::json::parse(response->body);
}

}
