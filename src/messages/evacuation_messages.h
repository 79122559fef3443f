#ifndef AZUREMOOR_MESSAGES_EVACUATION_MESSAGES_H
#define AZUREMOOR_MESSAGES_EVACUATION_MESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include "messages/bounded_archive.h"

namespace azuremoor
{

/// Maximum number of data centres of which the state is kept and sent.
constexpr std::size_t MAX_EVACUATION_ROWS = 64;

/// What an operator declared of one data centre.
struct evacuation_row {
    std::string dataCentre;
    /// Offset of the operator's record in the platform's store. Of two rows of a data centre, the one with the higher version is in force.
    std::uint64_t version = 0;
    /// False once the declaration was withdrawn.
    bool isEvacuated = false;

    bool operator==(const evacuation_row &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveText(archive, dataCentre);
        archive(version);
        archiveBool(archive, isEvacuated);
    }
};

/// The data centres that are or were evacuated. An entry sends it to agents on each new connection and after each change, and to an entry
/// that asks with evacuation_request.
struct evacuation_state {
    std::vector<evacuation_row> rows;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archiveList<MAX_EVACUATION_ROWS>(archive, rows);
    }
};

/// Asks an entry, whose digest of the evacuations differs, for its evacuation_state.
struct evacuation_request {
    /// Digest of the asking entry.
    std::uint64_t digest = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(digest);
    }
};

}

#endif
