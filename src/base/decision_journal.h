#ifndef AZUREMOOR_BASE_DECISION_JOURNAL_H
#define AZUREMOOR_BASE_DECISION_JOURNAL_H

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "base/time_source.h"

namespace azuremoor
{

/// Fields of a journal entry as pairs of name and value. Usual names are `job`, `task`, `shard`, `epoch`, `verdict`, `agent`, `reason`
/// and `count`.
using journal_fields = std::vector<std::pair<std::string, std::string>>;

/// A decision of a process.
struct journal_entry {
    unix_time at;
    /// Name of the kind of decision. It is stable, so that tools can match it.
    std::string event;
    journal_fields fields;
};

/// Receives every decision when it is added to a journal, for example to log it.
class journal_listener
{
public:
    virtual ~journal_listener() = default;

    /// Called for every decision, in the thread that adds it. The reference is valid only during the call.
    virtual void handleDecision(const journal_entry &entry) = 0;
};

/// Keeps the latest decisions of a process for its state dump. Older ones are dropped.
class decision_journal
{
public:
    /// Number of entries that are kept.
    static constexpr std::size_t CAPACITY = 100;

    explicit decision_journal(const time_source &time)
        : m_time(time)
    {
    }

    /// Sets the listener, which is not owned and must stay valid while it is set; null for none.
    void setListener(journal_listener *listener)
    {
        m_listener = listener;
    }

    /// Adds an entry with the current wall clock time and passes it to the listener.
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

    /// Returns the kept entries, oldest first.
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
