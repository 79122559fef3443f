#ifndef AZUREMOOR_DISPATCH_ENTRY_LOAD_TABLE_H
#define AZUREMOOR_DISPATCH_ENTRY_LOAD_TABLE_H

#include <cstdint>
#include <map>
#include <string>

#include "base/time_source.h"
#include "messages/entry_messages.h"

namespace azuremoor
{

/// Age from which on a report of load is not used.
constexpr microseconds ENTRY_LOAD_LIFETIME = seconds(2);

/// A report of another entry's load.
struct reported_load {
    entry_load load;
    /// When the report arrived, on the steady clock.
    steady_time receivedAt;
};

/// The latest reports of load of the connected entries.
class entry_load_table
{
public:
    explicit entry_load_table(const time_source &time);

    /// Adds a connected entry, whose load is not known yet.
    void connectEntry(const std::string &entry);

    /// Removes an entry that is not connected any more.
    void disconnectEntry(const std::string &entry);

    /// Records a report. Reports of entries that are not connected are ignored.
    void record(const std::string &entry, const entry_load &load);

    /// Returns the latest report of the entry, or null when there is none that is younger than ENTRY_LOAD_LIFETIME.
    const reported_load *find(const std::string &entry) const;

    /// Returns the latest reports by entry, old ones included.
    const std::map<std::string, reported_load> &reports() const;

    /**
     * Returns this entry's part of what callers ask of the entries that share its workers, from 0 to 1.
     *
     * The own rate is in thousandths of a core, and the number of sharing entries includes this one. Entries without a usable report count
     * as the mean of the others. Without any usable report, or without demand, the share is equal. The share is never below a quarter of
     * the equal one, so that a burst at an idle entry finds room before the others have heard of it.
     */
    double demandShare(double ownMilliCores, std::size_t sharingEntries) const;

private:
    bool isUsable(const reported_load &report) const;

    const time_source &m_time;
    std::map<std::string, reported_load> m_reports;
};

}

#endif
