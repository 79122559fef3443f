#ifndef AZUREMOOR_DISPATCH_ENTRY_DIRECTORY_H
#define AZUREMOOR_DISPATCH_ENTRY_DIRECTORY_H

#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/**
 * The addresses of entries that a process knows, from its settings, from the platform's store and from other processes.
 *
 * An address that is not reached for a while is forgotten, unless the settings name it. Only addresses that are reached are passed on, so
 * that an entry which is gone for good is forgotten everywhere.
 */
class entry_directory
{
public:
    /// Takes this process's own address, empty if it is no entry, and the addresses that the settings name.
    entry_directory(const time_source &time, std::string self, std::span<const std::string> seeds);

    /// Notes addresses that were heard of. Returns whether one was new.
    bool addAddresses(std::span<const std::string> addresses);

    /// Notes that a connection to the address was made or is gone.
    void setConnected(const std::string &address, bool isConnected);

    /// Forgets addresses that were not reached for a while. Returns whether there was one.
    bool removeExpired();

    /// Returns the addresses to keep connections to.
    std::vector<std::string> connectionTargets() const;

    /// Returns the addresses that are known to be alive, this process's own included.
    std::vector<std::string> reachableAddresses() const;

private:
    struct known_entry {
        bool isSeed = false;
        bool isConnected = false;
        steady_time lastSeen;
    };

    const time_source &m_time;
    std::string m_self;
    std::map<std::string, known_entry> m_entries;
};

}

#endif
