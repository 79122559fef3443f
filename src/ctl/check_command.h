#ifndef AZUREMOOR_CTL_CHECK_COMMAND_H
#define AZUREMOOR_CTL_CHECK_COMMAND_H

#include <optional>
#include <string>

#include "checks/check_report.h"
#include "checks/known_upstreams.h"
#include "ctl/ctl_client.h"

namespace azuremoor
{

/// Checks a configuration before it is published. Publishes nothing.
class check_command
{
public:
    /// Takes the client, and whether the report is printed as JSON.
    check_command(ctl_client &client, bool json);

    /// Prints what is wrong with the document in the file and, unless `against` is empty, in what it differs from that version. `against`
    /// is the number of a version, or `current` for the one in force. Nothing is fetched without `against` or for a file with errors.
    exit_status run(const std::string &file, const std::string &against);

private:
    exit_status compare(const std::string &text, const std::string &against, check_report &report);
    std::optional<known_upstreams> fetchUpstreams(exit_status &status);
    exit_status print(const check_report &report) const;

    ctl_client &m_client;
    bool m_json;
};

}

#endif
