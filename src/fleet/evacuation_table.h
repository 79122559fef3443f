#ifndef AZUREMOOR_FLEET_EVACUATION_TABLE_H
#define AZUREMOOR_FLEET_EVACUATION_TABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "base/time_source.h"
#include "messages/evacuation_messages.h"

namespace azuremoor
{

/**
 * The versioned state of evacuated data centres that a process knows.
 *
 * Rows come from the platform's store or from another process, in any order and repeatedly. A row is in force if its version is higher
 * than that of the known row of the data centre; any other changes nothing. Withdrawn rows are kept, so that an older declaration that
 * arrives late stays without effect.
 */
class evacuation_table
{
public:
    /// An empty set of known data centres accepts any name.
    evacuation_table(const time_source &time, std::set<std::string> knownDataCentres, decision_journal &journal);

    /// Applies a row. Returns whether it was in force and is recorded now. The source, for the journal, is the peer's name or `store`.
    bool apply(const evacuation_row &row, const std::string &source);

    /// Records in the journal that a record has no effect. Repeated calls for the same record are recorded once.
    void noteUnreadable(const std::string &dataCentre, std::uint64_t version, const std::string &reason, const std::string &source);

    bool isEvacuated(const std::string &dataCentre) const;

    /// Returns whether at least one data centre is evacuated.
    bool isAnyEvacuated() const;

    /// Returns when this process learned that the latest evacuation of the data centre was withdrawn; nothing if it knew of none, or while
    /// the data centre is evacuated.
    std::optional<steady_time> returningSince(const std::string &dataCentre) const;

    /// Returns how long ago this process learned the state of the data centre, evacuated or withdrawn; 0 if it has none.
    microseconds stateAge(const std::string &dataCentre) const;

    /// Returns the evacuated data centres with the age of that state in microseconds, as `NAME (AGE us)` with commas between.
    std::string describeEvacuated() const;

    /// Returns the version of the data centre's row, or 0 if there is none.
    std::uint64_t version(const std::string &dataCentre) const;

    /// Returns the rows by data centre, withdrawn ones included.
    std::vector<evacuation_row> rows() const;

    /// Returns the known data centres and those of the rows with whether they are evacuated.
    std::map<std::string, bool> dataCentres() const;

    /// Returns a number that differs between tables with different rows, except for rare collisions; 0 for an empty table.
    std::uint64_t digest() const;

private:
    struct known_row {
        std::uint64_t version = 0;
        bool isEvacuated = false;
        /// When the data centre was last evacuated or withdrawn, on the steady clock.
        steady_time changedAt{};
        bool wasEvacuated = false;
    };

    /// Returns why a row of this data centre cannot be kept, or an empty text.
    std::string refusalReason(const std::string &dataCentre) const;
    void noteChange(const evacuation_row &row, const known_row &previous, const std::string &source);
    void updateDigest();

    const time_source &m_time;
    std::set<std::string> m_knownDataCentres;
    decision_journal &m_journal;
    std::map<std::string, known_row> m_rows;
    /// Version of the latest record without effect that is in the journal, by data centre.
    std::map<std::string, std::uint64_t> m_notedUnreadable;
    std::uint64_t m_digest = 0;
};

}

#endif
