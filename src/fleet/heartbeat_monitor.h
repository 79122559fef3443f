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

/// Intervals and time-outs of heartbeats.
struct heartbeat_settings {
    /// Interval between pings from an entry to other entries, and from an agent to its preferred entries.
    microseconds interval = milliseconds(200);
    /// Interval between pings from an agent to all other entries, while there is a recent log confirmation.
    microseconds slowInterval = milliseconds(1000);
    /// Time without an answer after which an entry is suspected to be dead. It is also the maximum age of the start of a recent
    /// log read, and half of it the maximum age of a recent log confirmation.
    microseconds suspicionTimeout = milliseconds(1000);
};

/// State that a member reported in its latest ping.
struct member_report {
    /// Offset up to which the member had applied the control stream.
    std::uint64_t offset = 0;
    /// When the ping was received, on the local steady clock.
    steady_time receivedAt;
};

/**
 * Exchanges heartbeats with the entries, and keeps the control stream replica up to date through them.
 *
 * Entries ping every other entry. An agent pings its two preferred entries at the full rate, which is enough while they read
 * the log, and the other entries at a slower rate. Without a recent confirmation that the log was read, it pings all entries,
 * to reach a heartbeat quorum. Each answer feeds the freshness tracker and tells whether the answering entry has applied newer
 * records, which are then fetched from it.
 *
 * An entry is confirmed dead only when this process and every other reachable entry suspect it, so that the failure of a single
 * connection does not cost an entry its shards.
 */
class heartbeat_monitor
{
public:
    /// `self` and `role` are the name and role of this process. The references must outlive this object.
    heartbeat_monitor(const time_source &time,
                      std::string self,
                      member_role role,
                      heartbeat_settings settings,
                      control_stream_replica &stream,
                      freshness_tracker &freshness,
                      peer_outbox &outbox);

    /// Adds a connected entry. It is pinged from then on, even if the state does not name it yet.
    void connectEntry(const std::string &entry);

    /// Marks the entry as not connected. It is still pinged while the state names it.
    void disconnectEntry(const std::string &entry);

    /// Handles pings, pongs, and the messages that fetch or carry updates of the control stream. Ignores all other messages.
    void handle(const std::string &peer, const message &value);

    /// Handles a complete read of the log that started at `readStart` on the local steady clock. Only entries read the log
    /// regularly.
    void handleLogRead(steady_time readStart);

    /// Starts a planned stop. From then on, this entry tells its peers that it is leaving and no longer counts itself as live.
    void beginLeaving();

    /// Sends the pings that are due. Called periodically.
    void tick();

    /// Returns the sorted names of the entries that are reachable and not leaving, including this process if it is such an
    /// entry.
    std::vector<std::string> liveEntries() const;

    /// Returns, by name, what the members that ping this process last reported.
    const std::map<std::string, member_report> &memberReports() const;

    /// Returns whether the entry has answered a ping that was sent within the suspicion time-out.
    bool isReachable(const std::string &entry) const;

    /// Returns whether this process and all other reachable entries suspect the entry. An entry that became known less than the
    /// suspicion time-out ago is never confirmed dead. An entry that is confirmed dead has not necessarily been declared lost.
    bool isConfirmedDead(const std::string &entry) const;

    /// Returns whether the latest complete log read by this process started within the suspicion time-out.
    bool hasRecentLogRead() const;

    /// Returns how many entries are known to have applied the control stream up to `offset`, including this process if it is an
    /// entry.
    std::size_t countEntriesAtOffset(std::uint64_t offset) const;

private:
    struct entry_status {
        steady_time firstSeen;
        /// When the latest answered ping was sent, on the local steady clock.
        steady_time lastAnsweredPing = steady_time::min();
        /// Highest offset that the entry has reported.
        std::uint64_t offset = 0;
        /// Entries that this entry suspected in its latest answer.
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
    /// Updates m_entries from the state, and removes the reports of processes that are no longer members.
    void refreshMembers();
    /// Returns the entries to ping now. If these are all entries, also schedules the next slow ping.
    std::set<std::string> selectPingTargets();
    /// Returns the connected entries that rank first for this process by a stable hash, which spreads the agents over the entries.
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
    /// Earliest time of the next control_fetch request.
    steady_time m_nextFetch;
    /// When the latest complete read of the log started.
    steady_time m_latestLogReadStart = steady_time::min();
    bool m_leaving = false;
};

}

#endif
