#ifndef AZUREMOOR_RUNS_CAPACITY_NOTIFIER_H
#define AZUREMOOR_RUNS_CAPACITY_NOTIFIER_H

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/**
 * Decides which entry is notified of a worker's free capacity, and when.
 *
 * Entries without waiting tasks learn of changes with the heartbeats or with results. Entries with waiting tasks are notified immediately,
 * but one at a time: if all were notified at once, they would all order runs for the same capacity, and all but one would be refused. Turns
 * are weighted by the amount of work that waits at each entry. The highest priority that waits anywhere is served first, and each lower one
 * that waits gets a tenth of the turns. While several priorities wait, a session that orders nothing after it was notified comes after the
 * others for a while, since its demand is probably out of date. Entries are identified by their session names, so each process of an entry
 * counts separately.
 */
class capacity_notifier
{
public:
    explicit capacity_notifier(const time_source &time);

    /// Adds a session, which counts as notified of the current capacity. Replaces its state if it was added before.
    void add(const std::string &session);

    void remove(const std::string &session);

    /// Records that the worker's free capacity changed, which makes all sessions out of date.
    void recordCapacityChange();

    /// Records that the session was sent the current free capacity. Ignores unknown sessions.
    void recordNotified(const std::string &session);

    /// Sets the CPU demand of the session's waiting tasks; 0 thousandths of a core when none waits. Ignores unknown sessions.
    void setDemand(const std::string &session, const room_wish &cpuDemand);

    /// Records that the session ordered a run. Ignores unknown sessions.
    void recordOrder(const std::string &session);

    /// Returns whether any session has waiting tasks.
    bool hasDemand() const;

    /// Returns whether the free capacity changed since the session was last notified.
    bool needsUpdate(const std::string &session) const;

    /**
     * Returns the session to notify now, if any, and counts this as its turn.
     *
     * The free capacity is in thousandths of a core. Only sessions that have a waiting task small enough for it and that were not notified
     * of the latest change are considered. After a session was returned, no other one is returned for a few milliseconds unless the free
     * capacity changes.
     */
    std::optional<std::string> selectEntryToNotify(std::uint32_t freeMilliCores);

private:
    struct session_state {
        std::string name;
        /// Capacity revision that the session was last notified of.
        std::uint64_t notifiedRevision = 0;
        room_wish cpuDemand;
        /// The demand of each priority, in thousandths of a core, without those of 0.
        std::map<std::uint32_t, std::uint64_t> demandByPriority;
        /// For each priority the sum of the session's past turns, each divided by its demand of that priority at that time. The session
        /// with the lowest value is next.
        std::map<std::uint32_t, double> weightedTurns;
        /// When the session was notified first since its latest order or demand; not set if it was not.
        std::optional<steady_time> unusedSince;
        /// End of the time in which the session comes after the others, because it did not use what it was notified of.
        steady_time demotedUntil{};
    };

    /// Returns whether the session is to be notified of the free capacity when its turn comes.
    bool isEligible(const session_state &session, std::uint32_t freeMilliCores) const;

    /// Puts sessions last whose demand has turned out to be out of date, while several priorities wait.
    void demoteUnresponsiveSessions(steady_time now);

    /// Returns the sessions that may be notified now: the eligible ones, without those that come last if there are others.
    std::vector<session_state *> candidates(std::uint32_t freeMilliCores, steady_time now);

    /// Returns the priority that is served next, of those that wait at the sessions; nothing if none waits. Counts the turn.
    std::optional<std::uint32_t> selectPriority(const std::vector<session_state *> &sessions);

    /// Returns the demand of each priority. Rows of the same priority are added, since a faulty peer may send several.
    static std::map<std::uint32_t, std::uint64_t> demandByPriority(const room_wish &cpuDemand);

    /// Returns the priorities of which any session has demand.
    std::set<std::uint32_t> demandedPriorities() const;

    /// Returns the lowest value among the sessions with demand of the priority, or 0 if there is none.
    double minimumWeightedTurns(std::uint32_t priority) const;

    const time_source &m_time;
    std::map<std::string, session_state> m_sessions;
    /// Turns that are due to each lower priority; at most one.
    std::map<std::uint32_t, double> m_dueTurns;
    /// Incremented with each change of the free capacity.
    std::uint64_t m_revision = 0;
    /// End of the period in which no other session is notified of the capacity revision below.
    steady_time m_exclusiveUntil{};
    std::uint64_t m_exclusiveRevision = 0;
};

}

#endif
