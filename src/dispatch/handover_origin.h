#ifndef AZUREMOOR_DISPATCH_HANDOVER_ORIGIN_H
#define AZUREMOOR_DISPATCH_HANDOVER_ORIGIN_H

#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "dispatch/entry_load_table.h"
#include "dispatch/handover_policy.h"
#include "dispatch/job_dispatcher.h"
#include "dispatch/job_forwarder.h"
#include "dispatch/peer_clock.h"
#include "dispatch/route_table.h"
#include "fleet/peer_outbox.h"

namespace azuremoor
{

/// Silence of an entry after which handovers to it, or from it, end.
constexpr microseconds HANDOVER_SILENCE = milliseconds(350);

/// Counters of the jobs that an entry has handed over since the start of the process.
struct handover_origin_counters {
    /// Jobs that were handed over, by what this entry was short of.
    std::array<std::uint64_t, RESOURCE_SHORTAGE_COUNT> handedOver{};
    /// Jobs that the receiver refused.
    std::uint64_t refused = 0;
    /// Jobs that were given up because the receiver was silent.
    std::uint64_t givenUpSilent = 0;
    /// Jobs that were given up because the connection to the receiver was lost.
    std::uint64_t givenUpDisconnected = 0;
};

/**
 * Hands jobs over to other entries and keeps the callers' requests until their outcome is known.
 *
 * The entry that gets a job runs it as long as this one gives signs of life. A sign of life is a time on the receiver's clock that is not
 * later than when the sign was made, so that a delayed one grants nothing. While a cancel is not confirmed, no sign is given: the jobs of
 * callers that have left must end as if this entry had failed when they left.
 *
 * A job that has ended here is held as long as its runs may go on at the entry that took it, so that a copy of it does not begin beside
 * them: until that entry releases it, or until the runs have certainly ended for want of signs of life.
 *
 * The objects that the constructor takes must outlive this one.
 */
class handover_origin : public job_forwarder
{
public:
    handover_origin(const time_source &time,
                    const entry_load_table &loads,
                    const worker_pool &pool,
                    const route_table &routes,
                    const handover_policy &policy,
                    job_dispatcher &dispatcher,
                    peer_outbox &outbox,
                    decision_journal &journal,
                    std::uint64_t seed);

    /// Sets whether jobs are handed over. They are by default.
    void setEnabled(bool isEnabled);

    /// Adds a connected entry. Gives up the jobs that an earlier connection to it took.
    void connectEntry(const std::string &entry);

    /// Gives up the jobs that the entry took.
    void disconnectEntry(const std::string &entry);

    /// Records what the heartbeat of another entry says of its clock and configuration.
    void recordHeartbeat(const std::string &entry, const entry_heartbeat &heartbeat);

    /// Records that the entry has handed over a job, so that it is short of a resource.
    void recordShortage(const std::string &entry);

    bool offer(const active_job &job, resource_shortage shortage, steady_time startBy) override;
    std::string withdraw(std::uint64_t job) override;

    /// Handles the outcome of a job. Answers of entries that do not have the job are ignored.
    void handleAnswer(const std::string &entry, const handover_answer &answer);

    /// Handles the end of all runs of jobs that were held for the entry.
    void handleReleased(const std::string &entry, const handover_released &released);

    /// Handles the answer to a sign of life.
    void handleLeaseAnswer(const std::string &entry, const handover_lease &lease);

    /// Sends signs of life and repeats cancels that were not confirmed. Must be called once per heartbeat interval.
    void sendLeases();

    /// Gives up the jobs of receivers that are silent, and releases held jobs whose time is over. Must be called about every 20 ms.
    void tick();

    /// Returns the number of jobs whose outcome is awaited.
    std::size_t awaitedJobs() const;

    /// Returns the number of ended jobs whose runs may go on at another entry.
    std::size_t heldJobs() const;

    const handover_origin_counters &counters() const;

private:
    struct peer_state {
        std::optional<peer_clock> clock;
        std::uint64_t routingVersion = 0;
        steady_time reportedAt{};
        /// Times between the latest reports.
        microseconds reportInterval{0};
        microseconds previousInterval{0};
        /// See `handover_peer`.
        double handedWork = 0;
        double maxHandedWork = 0;
        std::uint64_t epoch = 0;
        /// Numbers of the jobs that the entry has.
        std::set<std::uint64_t> jobs;
        /// Numbers of the jobs whose cancel is not confirmed.
        std::set<std::uint64_t> cancelled;
        /// Numbers of the ended jobs whose runs may go on at the entry.
        std::set<std::uint64_t> held;
        steady_time lastHeardAt{};
        /// The entry counts as short of a resource until then.
        steady_time shortUntil{};
        /// Signs of life since the entry was last heard of.
        int unansweredLeases = 0;
        /// When the entry was given up as silent, until it has answered a sign of life of a later epoch. It gets no jobs meanwhile.
        std::optional<steady_time> givenUpAt;

        bool isBusy() const
        {
            return !jobs.empty() || !cancelled.empty();
        }
    };

    /// Updates the share of an entry with average demand.
    void updateShares();
    double shareOf(const entry_load &load) const;
    handover_peer describe(const peer_state &state, const reported_load &report) const;
    /// Returns the entry to hand the job over to: the better one of two that are drawn at random from those that can take it.
    peer_state *choosePeer(const handover_job &job, std::string &name);
    std::int64_t signOfLife(const peer_state &state) const;
    /// Records what a message says of the entry's clock, unless an earlier message still says more because this one was delayed.
    void recordClock(peer_state &state, std::int64_t peerMicroseconds) const;
    void recordContact(peer_state &state);
    void markShort(peer_state &state);
    /// Records that the job's cancel is confirmed. Gives a sign of life at once if none is missing any more: callers that leave at each
    /// heartbeat would otherwise keep the other jobs without one.
    void confirmCancel(const std::string &entry, peer_state &state, std::uint64_t job);
    /// An ended job that no sign of life keeps at the entry that had it.
    struct unsigned_job {
        std::string entry;
        /// When its runs have certainly ended.
        steady_time endedBy;
    };

    /// Records whether runs of an ended job may go on at the entry that had it.
    void updateHeld(const std::string &entry, peer_state &state, std::uint64_t job, bool mayRun);
    /// Holds the ended jobs for the time that their runs may go on at the entry without signs of life.
    void holdWithoutSigns(const std::string &entry, const std::set<std::uint64_t> &jobs);
    void releaseDueJobs(steady_time now);
    void giveUpSilentPeers(steady_time now);
    void sendLease(const std::string &entry, const peer_state &state);
    void sendCancels(const std::string &entry, const peer_state &state);
    void giveUp(const std::string &entry, peer_state &state, const std::string &reason);
    void noteEnd(const std::string &entry, std::uint64_t job, const job_answer &answer);

    const time_source &m_time;
    const entry_load_table &m_loads;
    const worker_pool &m_pool;
    const route_table &m_routes;
    const handover_policy &m_policy;
    job_dispatcher &m_dispatcher;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    std::mt19937_64 m_random;
    bool m_isEnabled = true;
    std::map<std::string, peer_state> m_peers;
    /// Names of the connected entries, to draw from.
    std::vector<std::string> m_names;
    /// Held jobs that no sign of life keeps, by their numbers.
    std::map<std::uint64_t, unsigned_job> m_unsignedJobs;
    /// Entries by the numbers of the jobs that they have.
    std::map<std::uint64_t, std::string> m_peersByJob;
    std::uint64_t m_lastEpoch = 0;
    /// Capacity of the workers divided by the entries that share them, in thousandths of a core.
    double m_equalShare = 0;
    /// Average of what callers ask of the entries that report it, in thousandths of a core.
    double m_meanAsked = 0;
    handover_origin_counters m_counters;
};

}

#endif
