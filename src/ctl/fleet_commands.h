#ifndef AZUREMOOR_CTL_FLEET_COMMANDS_H
#define AZUREMOOR_CTL_FLEET_COMMANDS_H

#include <string>

#include "ctl/ctl_client.h"

namespace azuremoor
{

/// Commands that show the processes of the fleet.
class fleet_commands
{
public:
    fleet_commands(ctl_client &client, bool json);

    /// Prints the state of the process at the address, or of every entry that was given.
    exit_status state(const std::string &address);

    /// Prints the members of the fleet, and how far each is with the control stream.
    exit_status members();

    /// Prints a line for each entry, again and again, for a number of rounds; without end for 0.
    exit_status watch(std::int64_t rounds);

    /// Publishes that the process is gone for good.
    exit_status forget(const std::string &name);

private:
    exit_status printState(const http_url &target);
    void printBrief(const http_url &target);

    ctl_client &m_client;
    bool m_json;
};

}

#endif
