#ifndef AZUREMOOR_DISPATCH_ENTRY_DIRECTORY_H
#define AZUREMOOR_DISPATCH_ENTRY_DIRECTORY_H

#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// What a directory knows of one entry.
struct entry_contact {
    std::string address;
    bool isConnected = false;
    /// When the address was added, or its connection was made or lost.
    steady_time lastChangeAt;
};

/**
 * The addresses of entries that a process knows from its settings, the addresses that entries write to the platform's store, and other
 * processes.
 *
 * An address that has had no connection for some time is removed, unless the settings name it. Only addresses with a connection are
 * passed on to other processes, so that an entry that is gone permanently is removed in all of them.
 */
class entry_directory
{
public:
    /// Creates the directory with this process's own address, which is empty if it is not an entry, and the addresses in the settings.
    entry_directory(const time_source &time, std::string self, std::span<const std::string> seeds);

    /// Adds addresses from another source. Returns whether at least one was unknown.
    bool addAddresses(std::span<const std::string> addresses);

    /// Records that a connection to the address was made or lost. Adds the address if it is unknown.
    void setConnected(const std::string &address, bool isConnected);

    /// Removes the addresses that have been without a connection for too long. Returns whether at least one was removed.
    bool removeExpired();

    /// Returns all addresses.
    std::vector<entry_contact> contacts() const;

    /// Returns the addresses with a connection, and this process's own if it is an entry.
    std::vector<std::string> reachableAddresses() const;

private:
    struct known_entry {
        /// The settings name the address.
        bool isSeed = false;
        bool isConnected = false;
        /// When the address was added, or its connection was made or lost.
        steady_time lastChangeAt;
    };

    const time_source &m_time;
    std::string m_self;
    std::map<std::string, known_entry> m_entries;
};

}

#endif
