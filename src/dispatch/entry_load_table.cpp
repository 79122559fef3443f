#include "dispatch/entry_load_table.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Smallest share of an entry, as a part of the equal share.
constexpr double MIN_SHARE_OF_EQUAL = 0.25;

}

entry_load_table::entry_load_table(const time_source &time)
    : m_time(time)
{
}

void entry_load_table::connectEntry(const std::string &entry)
{
    m_reports.insert_or_assign(entry, reported_load{});
}

void entry_load_table::disconnectEntry(const std::string &entry)
{
    m_reports.erase(entry);
}

void entry_load_table::record(const std::string &entry, const entry_load &load)
{
    const auto found = m_reports.find(entry);
    if (found != m_reports.end()) {
        found->second = {load, m_time.steadyNow()};
    }
}

const reported_load *entry_load_table::find(const std::string &entry) const
{
    const auto found = m_reports.find(entry);
    return found != m_reports.end() && isUsable(found->second) ? &found->second : nullptr;
}

const std::map<std::string, reported_load> &entry_load_table::reports() const
{
    return m_reports;
}

double entry_load_table::demandShare(double ownMilliCores, std::size_t sharingEntries) const
{
    const double equalShare = 1.0 / static_cast<double>(std::max<std::size_t>(sharingEntries, 1));
    double reported = 0;
    std::size_t usableReports = 0;
    for (const auto &[entry, report] : m_reports) {
        if (isUsable(report)) {
            reported += static_cast<double>(report.load.askedMilliCores);
            ++usableReports;
        }
    }
    const double mean = (reported + ownMilliCores) / static_cast<double>(usableReports + 1);
    if (usableReports == 0 || mean <= 0) {
        return equalShare;
    }
    return std::clamp(ownMilliCores / mean * equalShare, MIN_SHARE_OF_EQUAL * equalShare, 1.0);
}

bool entry_load_table::isUsable(const reported_load &report) const
{
    return report.receivedAt != steady_time{} && m_time.steadyNow() - report.receivedAt < ENTRY_LOAD_LIFETIME;
}

}
