#include "ctl/job_commands.h"

#include <iostream>

#include <unistd.h>

#include "ctl/text_file.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

using nlohmann::json;

constexpr seconds QUERY_TIMEOUT{10};
constexpr milliseconds FOLLOW_INTERVAL{200};

}

job_commands::job_commands(ctl_client &client, bool printJson)
    : m_client(client)
    , m_json(printJson)
{
}

exit_status job_commands::submit(const std::string &file, bool wait)
{
    const auto text = readTextFile(file);
    if (!text) {
        std::cerr << "azuremoorctl: cannot read " << file << std::endl;
        return exit_status::usage;
    }
    const auto response = m_client.call("POST", "/v1/jobs?wait=false", *text, QUERY_TIMEOUT);
    if (!response) {
        return reportFailure(response.error());
    }
    if (response->status != STATUS_ACCEPTED) {
        return reportProblem(*response);
    }
    const std::string jobId = json::parse(response->body).at("id").get<std::string>();
    if (!wait) {
        std::cout << (m_json ? response->body : "accepted " + jobId) << std::endl;
        return exit_status::success;
    }
    return follow(jobId);
}

exit_status job_commands::status(const std::string &jobId)
{
    const auto response = m_client.call("GET", "/v1/jobs/" + jobId, {}, QUERY_TIMEOUT);
    return response ? printJob(*response) : reportFailure(response.error());
}

exit_status job_commands::cancel(const std::string &jobId)
{
    const auto response = m_client.call("DELETE", "/v1/jobs/" + jobId, {}, QUERY_TIMEOUT);
    return response ? printJob(*response) : reportFailure(response.error());
}

exit_status job_commands::explain(const std::string &jobId)
{
    // Only the owner of the job can say where its tasks are.
    for (const http_url &entry : m_client.entries()) {
        const auto response = m_client.callAt(entry, "GET", "/v1/explain/" + jobId, {}, QUERY_TIMEOUT);
        if (!response) {
            continue;
        }
        const json body = json::parse(response->body, nullptr, false);
        if (!body.is_object() || !body.contains("tasks")) {
            continue;
        }
        if (m_json) {
            std::cout << response->body << std::endl;
            return exit_status::success;
        }
        std::cout << jobId << " is owned by " << body.value("owner", "") << ", shard " << body.value("shard", 0) << std::endl;
        for (const json &line : body["tasks"]) {
            std::cout << "  " << line.get<std::string>() << std::endl;
        }
        return exit_status::success;
    }
    std::cerr << "azuremoorctl: no entry that was given owns a job " << jobId << "; name all entries with --entry" << std::endl;
    return exit_status::refused;
}

exit_status job_commands::printJob(const incoming_response &response) const
{
    if (response.status != STATUS_OK && response.status != STATUS_ACCEPTED) {
        return reportProblem(response);
    }
    const json body = json::parse(response.body, nullptr, false);
    const std::string state = body.value("state", "");
    if (m_json) {
        std::cout << response.body << std::endl;
    } else if (response.status == STATUS_ACCEPTED) {
        std::cout << body.value("id", "") << " runs: " << body.value("ended_tasks", 0) << " of " << body.value("tasks", 0) << " tasks ended"
                  << std::endl;
    } else {
        std::size_t answered = 0;
        for (const json &task : body["tasks"]) {
            answered += task.contains("error") ? 0 : 1;
        }
        std::cout << body.value("id", "") << " is " << state << ": " << answered << " of " << body["tasks"].size() << " answers"
                  << std::endl;
        for (const json &task : body["tasks"]) {
            if (task.contains("error")) {
                std::cout << "  " << task.value("name", "") << " " << task.value("verdict", "") << ": " << task.value("error", "")
                          << std::endl;
            }
        }
    }
    return state == "failed" ? exit_status::failed : exit_status::success;
}

exit_status job_commands::follow(const std::string &jobId)
{
    const bool terminal = isatty(STDERR_FILENO) != 0;
    while (true) {
        const auto response = m_client.call("GET", "/v1/jobs/" + jobId, {}, QUERY_TIMEOUT);
        if (!response) {
            return reportFailure(response.error());
        }
        if (response->status != STATUS_ACCEPTED) {
            if (terminal) {
                std::cerr << "\r\033[K";
            }
            return printJob(*response);
        }
        if (terminal) {
            const json body = json::parse(response->body, nullptr, false);
            std::cerr << "\r" << body.value("ended_tasks", 0) << " of " << body.value("tasks", 0) << " tasks ended" << std::flush;
        }
        m_client.pause(FOLLOW_INTERVAL);
    }
}

}
