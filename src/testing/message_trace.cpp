#include "testing/message_trace.h"

#include <algorithm>

#include "messages/codec.h"

namespace azuremoor::testing
{

namespace
{

std::string describeKey(const submission_key &key)
{
    return " attempt " + std::to_string(key.attempt) + " epoch " + std::to_string(key.epoch);
}

template<typename Body>
std::string describeBody(const Body &body, const std::string &jobId)
{
    if constexpr (requires { body.key; }) {
        return body.key.jobId == jobId ? describeKey(body.key) : "";
    } else if constexpr (requires { body.jobId; }) {
        return body.jobId == jobId ? " " : "";
    } else if constexpr (requires { body.job.id; }) {
        return body.job.id == jobId ? " attempt " + std::to_string(body.job.attempt) : "";
    } else if constexpr (requires { body.entries; }) {
        const auto matching
            = std::count_if(body.entries.begin(), body.entries.end(), [&jobId](const ledger_entry &entry) { return entry.jobId == jobId; });
        return matching > 0 ? " " + std::to_string(matching) + " entries" : "";
    } else {
        return {};
    }
}

}

std::string traceLine(const message &value, const std::string &jobId)
{
    const std::string body = std::visit([&jobId](const auto &alternative) { return describeBody(alternative, jobId); }, value);
    return body.empty() ? body : std::string(messageName(value)) + body;
}

}
