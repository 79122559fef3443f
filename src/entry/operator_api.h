#ifndef AZUREMOOR_ENTRY_OPERATOR_API_H
#define AZUREMOOR_ENTRY_OPERATOR_API_H

#include <cstdint>
#include <map>
#include <string>

#include "nodes/entry_node.h"
#include "transport/http_server.h"

namespace azuremoor
{

/// Serves operators over HTTP: shows and changes the configuration and the members of the fleet.
class operator_api
{
public:
    /// The name is that of this entry. All referenced objects must outlive the operator API. Requests are answered through the server.
    operator_api(const time_source &time, const std::string &name, entry_node &node, http_server &http);

    /// Handles a request of an operator. Returns whether the path is one of the configuration or the members.
    bool handle(const http_request &request);

    /// Notes that the operator of an unanswered request hung up.
    void abandon(std::uint64_t httpId);

    /// Answers the requests whose changes were read back from the log, or were not in time.
    void answerChanges();

private:
    /// An operator's change that waits to be read back.
    struct pending_change {
        std::string recordId;
        steady_time deadline;
    };

    void getConfiguration(const http_request &request);
    void putConfiguration(const http_request &request);
    void getHistory(const http_request &request);
    void getMembers(const http_request &request);
    void forgetMember(const http_request &request, const std::string &name);
    void answerChange(std::uint64_t httpId, const std::string &recordId);

    const time_source &m_time;
    std::string m_name;
    entry_node &m_node;
    http_server &m_http;
    std::map<std::uint64_t, pending_change> m_changes;
};

}

#endif
