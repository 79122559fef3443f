#ifndef AZUREMOOR_FLEET_HEARTBEAT_MONITOR_H
#define AZUREMOOR_FLEET_HEARTBEAT_MONITOR_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/control_stream_replica.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Intervals of the heartbeats.
struct heartbeat_settings {
    /// Interval between entries, and from an agent to the entries closest to it by rank.
    microseconds interval = milliseconds(200);
    /// Interval from an agent to all other entries, while the closest ones vouch for the log.
    microseconds slowInterval = milliseconds(1000);
    /// Time without an answer after which an entry is suspected.
    microseconds suspicionTimeout = milliseconds(1000);
};

/// What a member last said of itself.
struct member_report {
    /// Offset up to which it has applied the control stream.
    std::uint64_t offset = 0;
    /// When it said so, by the local clock.
    steady_time receivedAt;
};

/**
 * Exchanges heartbeats with the entries, and keeps the control stream up to date through them.
 *
 * Entries ping every entry. An agent pings the two that rank first for it, which is enough while they read the log, and the others
 * now and then; without a recent proof of the log it pings all, to reach a hearing quorum. An answer proves what the guard needs to
 * know, and tells whether the answering entry knows newer records, which are then fetched from it. An entry counts as dead only when
 * this process and every other live entry suspect it, so that a single bad link deposes nobody.
 */
class heartbeat_monitor
{
public:
    /// Takes the clock, this process's name and role, the intervals, the stream and guard to keep informed, and the outbox.
    heartbeat_monitor(const time_source &time,
                      std::string self,
                      member_role role,
                      heartbeat_settings settings,
                      control_stream_replica &stream,
                      freshness_tracker &freshness,
                      peer_outbox &outbox);

    /// Notes a connection to an entry, which is pinged from then on even if the state does not yet name it.
    void connectEntry(const std::string &entry);

    /// Notes that the connection is gone.
    void disconnectEntry(const std::string &entry);

    /// Handles heartbeats, their answers and updates of the control stream. Other messages are ignored.
    void handle(const std::string &peer, const message &value);

    /// Notes a complete read of the log that began at the given moment. Only entries read it.
    void handleLogRead(steady_time readStart);

    /// Notes that this process began a planned stop.
    void beginLeaving();

    /// Sends what is due.
    void tick();

    /// Returns the entries that are alive and not leaving, this process included if it is one, in order.
    std::vector<std::string> liveEntries() const;

    /// Returns what the members that ping this process last said of themselves.
    const std::map<std::string, member_report> &memberReports() const;

    /// Returns whether the entry has been heard within the suspicion time.
    bool isReachable(const std::string &entry) const;

    /// Returns whether the entry is dead as far as this process and all live entries can tell.
    bool isConfirmedDead(const std::string &entry) const;

    /// Returns whether this process has read the log to its end within the suspicion time.
    bool hasRecentLogRead() const;

    /// Returns how many entries are known to have applied the offset, this process included if it is one.
    std::size_t countEntriesAtOffset(std::uint64_t offset) const;

private:
    struct entry_status {
        steady_time firstSeen;
        steady_time lastHeard = steady_time::min();
        std::uint64_t offset = 0;
        std::vector<std::string> suspects;
        bool leaving = false;
    };

    void handleMessage(const std::string &peer, const ping &value);
    void handleMessage(const std::string &peer, const pong &value);
    void handleMessage(const std::string &peer, const control_fetch &value);
    void handleMessage(const std::string &peer, const control_records &value);
    void handleMessage(const std::string &peer, const control_state &value);
    template<typename Other>
    void handleMessage(const std::string &, const Other &)
    {
    }

    void fetchIfBehind(const std::string &peer, std::uint64_t offset);
    void refreshEntries();
    std::set<std::string> pingTargets();
    std::vector<std::string> preferredEntries() const;
    bool isEntry() const;

    const time_source &m_time;
    std::string m_self;
    member_role m_role;
    heartbeat_settings m_settings;
    control_stream_replica &m_stream;
    freshness_tracker &m_freshness;
    peer_outbox &m_outbox;

    std::map<std::string, entry_status> m_entries;
    std::set<std::string> m_connectedEntries;
    std::map<std::string, member_report> m_memberReports;
    steady_time m_nextPing;
    steady_time m_nextSlowPing;
    steady_time m_nextFetch;
    steady_time m_lastLogRead = steady_time::min();
    bool m_leaving = false;
};

}

#endif
