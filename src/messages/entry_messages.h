#ifndef AZUREMOOR_MESSAGES_ENTRY_MESSAGES_H
#define AZUREMOOR_MESSAGES_ENTRY_MESSAGES_H

#include <cstdint>
#include <vector>

#include "messages/bounded_archive.h"

namespace azuremoor
{

/// Maximum number of priorities that are reported one by one.
constexpr std::size_t MAX_REPORTED_PRIORITIES = 8;

/// Work that waits at an entry in queues of one priority.
struct priority_load {
    /// Priority of the queues; 0 is the highest.
    std::uint32_t priority = 0;
    /// Estimated work, in thousandths of a core times milliseconds.
    std::uint64_t waitingWork = 0;

    bool operator==(const priority_load &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(priority, waitingWork);
    }
};

/// The load of an entry.
struct entry_load {
    /// Work that callers asked of the entry, admitted or not, as an average rate in thousandths of a core.
    std::uint64_t askedMilliCores = 0;
    /// Waiting work by priority, with the highest priority first.
    std::vector<priority_load> waiting;
    /// How long a request waits for the entry's processor.
    std::uint32_t processorDelayMicroseconds = 0;
    /// How long a payload waits for the entry's link.
    std::uint32_t linkDelayMicroseconds = 0;
    /// The entry has a routing configuration and is not stopping.
    bool acceptsJobs = false;
    /// Digest of the evacuations that the entry knows; 0 for none.
    std::uint64_t evacuationDigest = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(askedMilliCores);
        archiveList<MAX_REPORTED_PRIORITIES>(archive, waiting);
        archive(processorDelayMicroseconds, linkDelayMicroseconds);
        archiveBool(archive, acceptsJobs);
        archive(evacuationDigest);
    }
};

/// Heartbeat from an entry to another one. It gets no answer.
struct entry_heartbeat {
    /// Version of the routing configuration in force at the sender.
    std::uint64_t routingVersion = 0;
    entry_load load;
    /// Whether the sender reports to the balancer that it is ready.
    bool isReady = true;
    /// Steady clock of the sender, in microseconds.
    std::int64_t sentMicroseconds = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(routingVersion, load);
        archiveBool(archive, isReady);
        archive(sentMicroseconds);
    }
};

}

#endif
