#ifndef AZUREMOOR_CTL_CONFIGURATION_COMMANDS_H
#define AZUREMOOR_CTL_CONFIGURATION_COMMANDS_H

#include <optional>
#include <string>

#include "ctl/ctl_client.h"

namespace azuremoor
{

/// Commands that publish, compare and follow configuration.
class configuration_commands
{
public:
    /// Takes the client, whether results are printed as JSON, and the name under which changes are published.
    configuration_commands(ctl_client &client, bool json, std::string author);

    /// Publishes the document in the file as a change of the version in force, or of the given one.
    exit_status apply(const std::string &file, std::optional<std::uint64_t> baseVersion);

    /// Prints in what the document in the file differs from the version in force.
    exit_status diff(const std::string &file);

    /// Prints a version, or the one in force.
    exit_status get(std::optional<std::uint64_t> version);

    /// Prints the versions that are kept.
    exit_status history();

    /// Publishes an earlier version again, as a new change.
    exit_status rollback(std::uint64_t version);

    /// Waits until every member has applied the version, and names those that have not.
    exit_status wait(std::uint64_t version, seconds timeout);

private:
    exit_status publish(const nlohmann::json &document, std::uint64_t baseVersion);

    ctl_client &m_client;
    bool m_json;
    std::string m_author;
};

}

#endif
