#include "fleet/evacuation_table.h"

#include <algorithm>

#include <xxhash.h>

namespace azuremoor
{

evacuation_table::evacuation_table(const time_source &time, std::set<std::string> knownDataCentres, decision_journal &journal)
    : m_time(time)
    , m_knownDataCentres(std::move(knownDataCentres))
    , m_journal(journal)
{
}

bool evacuation_table::apply(const evacuation_row &row, const std::string &source)
{
    const std::string reason = refusalReason(row.dataCentre);
    if (!reason.empty()) {
        noteUnreadable(row.dataCentre, row.version, reason, source);
        return false;
    }
    const auto [position, isNew] = m_rows.try_emplace(row.dataCentre);
    known_row &known = position->second;
    if (!isNew && row.version <= known.version) {
        return false;
    }
    const known_row previous = known;
    known.version = row.version;
    known.isEvacuated = row.isEvacuated;
    if (row.isEvacuated != previous.isEvacuated) {
        known.changedAt = m_time.steadyNow();
        known.wasEvacuated = previous.isEvacuated;
        noteChange(row, previous, source);
    }
    updateDigest();
    return true;
}

void evacuation_table::noteUnreadable(const std::string &dataCentre,
                                      std::uint64_t version,
                                      const std::string &reason,
                                      const std::string &source)
{
    const std::string name = dataCentre.substr(0, MAX_NAME_BYTES);
    const auto noted = m_notedUnreadable.find(name);
    if (noted != m_notedUnreadable.end() && noted->second == version) {
        return;
    }
    if (noted == m_notedUnreadable.end() && m_notedUnreadable.size() >= MAX_EVACUATION_ROWS) {
        m_notedUnreadable.clear();
    }
    m_notedUnreadable[name] = version;
    m_journal.note("evacuation_unreadable",
                   {{"data_centre", name}, {"version", std::to_string(version)}, {"reason", reason}, {"source", source}});
}

bool evacuation_table::isEvacuated(const std::string &dataCentre) const
{
    const auto found = m_rows.find(dataCentre);
    return found != m_rows.end() && found->second.isEvacuated;
}

bool evacuation_table::isAnyEvacuated() const
{
    return std::any_of(m_rows.begin(), m_rows.end(), [](const auto &each) { return each.second.isEvacuated; });
}

std::optional<steady_time> evacuation_table::returningSince(const std::string &dataCentre) const
{
    const auto found = m_rows.find(dataCentre);
    if (found == m_rows.end() || found->second.isEvacuated || !found->second.wasEvacuated) {
        return std::nullopt;
    }
    return found->second.changedAt;
}

microseconds evacuation_table::stateAge(const std::string &dataCentre) const
{
    const auto found = m_rows.find(dataCentre);
    return found == m_rows.end() || found->second.changedAt == steady_time{} ? microseconds(0)
                                                                             : m_time.steadyNow() - found->second.changedAt;
}

std::string evacuation_table::describeEvacuated() const
{
    std::string result;
    for (const auto &[dataCentre, row] : m_rows) {
        if (row.isEvacuated) {
            result += (result.empty() ? "" : ", ") + dataCentre + " (" + std::to_string(stateAge(dataCentre).count()) + " us)";
        }
    }
    return result;
}

std::uint64_t evacuation_table::version(const std::string &dataCentre) const
{
    const auto found = m_rows.find(dataCentre);
    return found == m_rows.end() ? 0 : found->second.version;
}

std::vector<evacuation_row> evacuation_table::rows() const
{
    std::vector<evacuation_row> result;
    for (const auto &[dataCentre, row] : m_rows) {
        result.push_back({dataCentre, row.version, row.isEvacuated});
    }
    return result;
}

std::map<std::string, bool> evacuation_table::dataCentres() const
{
    std::map<std::string, bool> result;
    for (const std::string &dataCentre : m_knownDataCentres) {
        result[dataCentre] = false;
    }
    for (const auto &[dataCentre, row] : m_rows) {
        result[dataCentre] = row.isEvacuated;
    }
    return result;
}

std::uint64_t evacuation_table::digest() const
{
    return m_digest;
}

std::string evacuation_table::refusalReason(const std::string &dataCentre) const
{
    if (dataCentre.empty() || dataCentre.size() > MAX_NAME_BYTES) {
        return "the name of the data centre is empty or too long";
    }
    if (!m_knownDataCentres.empty() && !m_knownDataCentres.contains(dataCentre)) {
        return "there is no such data centre";
    }
    if (m_rows.size() >= MAX_EVACUATION_ROWS && !m_rows.contains(dataCentre)) {
        return "there are too many data centres";
    }
    return {};
}

void evacuation_table::noteChange(const evacuation_row &row, const known_row &previous, const std::string &source)
{
    const steady_time now = m_time.steadyNow();
    m_journal.note(row.isEvacuated ? "evacuation_begun" : "evacuation_withdrawn",
                   {{"data_centre", row.dataCentre},
                    {"version", std::to_string(row.version)},
                    {"before", std::to_string(previous.version)},
                    {"before_age_us", std::to_string(previous.changedAt == steady_time{} ? -1 : (now - previous.changedAt).count())},
                    {"source", source}});
}

void evacuation_table::updateDigest()
{
    std::string text;
    for (const auto &[dataCentre, row] : m_rows) {
        text += dataCentre + '\n' + std::to_string(row.version) + (row.isEvacuated ? "+\n" : "-\n");
    }
    m_digest = XXH3_64bits(text.data(), text.size());
}

}
