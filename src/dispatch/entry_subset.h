#ifndef AZUREMOOR_DISPATCH_ENTRY_SUBSET_H
#define AZUREMOOR_DISPATCH_ENTRY_SUBSET_H

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "dispatch/entry_directory.h"

namespace azuremoor
{

/// Number of entries that an agent is connected to when there are more. With it the number of agents of an entry depends on the number of
/// workers for each entry, and not on the size of the fleet.
constexpr std::size_t ENTRIES_PER_AGENT = 16;

/// The entries to which an agent keeps connections.
struct entry_selection {
    /// Addresses of the entries, among them those that cannot be reached now.
    std::vector<std::string> targets;
    /// Those of the targets whose connection is not needed any more.
    std::vector<std::string> surplus;
};

/**
 * Chooses the entries to which an agent keeps connections.
 *
 * Each agent ranks all entries by a hash of both names (rendezvous hashing) and takes the first ones. So the agents of a fleet spread
 * evenly over the entries without an agreement, and an entry that comes or goes changes few connections. An entry that cannot be reached is
 * replaced by the next one until it is back.
 */
class entry_subset
{
public:
    /// Creates the choice of the agent, which takes that many entries.
    entry_subset(const time_source &time, std::string agent, std::size_t size);

    /// Returns the choice among the entries that the directory knows. The connections to the targets of the previous choice are being
    /// attempted since then.
    entry_selection choose(const entry_directory &directory);

private:
    /// Returns whether connections to the entry have been attempted in vain for too long.
    bool isUnreachable(const entry_contact &contact) const;

    const time_source &m_time;
    std::string m_agent;
    std::size_t m_size;
    /// When each target became one.
    std::map<std::string, steady_time> m_targetSince;
};

}

#endif
