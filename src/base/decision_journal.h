#ifndef AZUREMOOR_BASE_DECISION_JOURNAL_H
#define AZUREMOOR_BASE_DECISION_JOURNAL_H

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// The fields of an event, by name: `job`, `task`, `shard`, `epoch`, `verdict`, `agent`, `reason`, `count`.
using journal_fields = std::vector<std::pair<std::string, std::string>>;

/// One thing that a process decided.
struct journal_entry {
    unix_time at;
    /// Stable name of the kind of decision.
    std::string event;
    journal_fields fields;
};

/// Is told of each decision as it is noted, for logs.
class journal_listener
{
public:
    virtual ~journal_listener() = default;

    /// A decision was noted.
    virtual void handleDecision(const journal_entry &entry) = 0;
};

/// Remembers the latest decisions of a process for its state dump. Older ones are dropped.
class decision_journal
{
public:
    /// Number of lines that are kept.
    static constexpr std::size_t CAPACITY = 100;

    explicit decision_journal(const time_source &time)
        : m_time(time)
    {
    }

    /// Sets who is told of decisions; null for nobody.
    void setListener(journal_listener *listener)
    {
        m_listener = listener;
    }

    /// Adds a line with the present time.
    void note(std::string event, journal_fields fields)
    {
        m_entries.push_back({m_time.unixNow(), std::move(event), std::move(fields)});
        if (m_listener != nullptr) {
            m_listener->handleDecision(m_entries.back());
        }
        if (m_entries.size() > CAPACITY) {
            m_entries.pop_front();
        }
    }

    /// Returns the lines, the oldest first.
    const std::deque<journal_entry> &entries() const
    {
        return m_entries;
    }

private:
    const time_source &m_time;
    journal_listener *m_listener = nullptr;
    std::deque<journal_entry> m_entries;
};

}

#endif
