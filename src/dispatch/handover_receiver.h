#ifndef AZUREMOOR_DISPATCH_HANDOVER_RECEIVER_H
#define AZUREMOOR_DISPATCH_HANDOVER_RECEIVER_H

#include <map>
#include <string>
#include <vector>

#include "base/decision_journal.h"
#include "dispatch/answer_router.h"
#include "dispatch/handover_origin.h"
#include "dispatch/origin_lease_source.h"

namespace azuremoor
{

/// Counters of the jobs that other entries have handed over since the start of the process.
struct handover_receiver_counters {
    /// Jobs that were admitted.
    std::uint64_t taken = 0;
    /// Jobs that were refused on arrival.
    std::uint64_t refused = 0;
    /// Jobs that were ended because their origin was silent, was disconnected or gave them up.
    std::uint64_t ended = 0;
};

/**
 * Takes the jobs that other entries hand over, and sends them the answers.
 *
 * A job is submitted to the own dispatcher under a request number for handovers. It is ended when the entry that handed it over, its
 * origin, gives no sign of life, is disconnected, or hands over jobs of a later epoch. A sign of life is a time on the own clock that the
 * origin says is not later than when it made the sign; see `handover_lease`.
 *
 * The objects that the constructor takes must outlive this one.
 */
class handover_receiver : public answer_sink, public origin_lease_source, public job_removal_listener
{
public:
    handover_receiver(
        const time_source &time, const route_table &routes, job_dispatcher &dispatcher, peer_outbox &outbox, decision_journal &journal);

    /// Adds a connected entry. Ends the jobs that an earlier connection handed over.
    void connectEntry(const hello &entry);

    /// Ends the jobs of the entry.
    void disconnectEntry(const std::string &entry);

    /// Takes the job or refuses it at once.
    void handleJob(const std::string &entry, const job_handover &handover);

    /// Ends the jobs, and confirms each whether it is known or not.
    void handleCancel(const std::string &entry, const handover_cancel &cancel);

    /// Records and answers a sign of life.
    void handleLease(const std::string &entry, const handover_lease &lease);

    /// Ends the jobs of silent origins. Must be called about every 20 ms.
    void tick();

    void answerRequest(std::uint64_t request, const job_answer &answer) override;

    void handleJobRemoved(const std::string &id) override;
    void handleJobHeld(const std::string &id, const std::string &entry) override;

    std::optional<steady_time> aliveAt(const std::string &origin) const override;

    /// Returns the number of jobs that were taken and not answered.
    std::size_t activeJobs() const;

    const handover_receiver_counters &counters() const;

private:
    struct origin_state {
        std::uint64_t incarnation = 0;
        /// The latest epoch that was heard of; 0 before the first one.
        std::uint64_t epoch = 0;
        /// The epoch's jobs have been ended; it counts no more.
        bool hasEnded = true;
        /// Time on the own clock that is not later than the latest sign of life in the epoch.
        steady_time aliveAt{};
        /// Requests by the origin's job numbers.
        std::map<std::uint64_t, std::uint64_t> jobs;
    };
    struct taken_request {
        std::string entry;
        std::uint64_t number = 0;
        std::string job;
    };
    /// A job at an origin that waits for the end of the runs here.
    struct awaited_release {
        std::string entry;
        std::uint64_t number = 0;

        bool operator==(const awaited_release &) const = default;
    };

    static std::string originName(const std::string &entry, const origin_state &state);
    /// Follows the origin to a later epoch, and records its sign of life.
    void recordSign(const std::string &entry, origin_state &state, std::uint64_t epoch, std::int64_t ownMicroseconds);
    /// Returns why the job cannot be taken; empty if it can.
    std::string obstacle(const std::string &entry, const origin_state &state, const job_handover &handover) const;
    void take(const std::string &entry, origin_state &state, const job_handover &handover);
    void refuse(const std::string &entry, const job_handover &handover, const std::string &reason);
    /// Ends the jobs of the origin's epoch, and tells it if it is connected.
    void endEpoch(const std::string &entry, origin_state &state, const std::string &reason, bool isTold);
    void noteEnd(const taken_request &request, const job_answer &answer);
    /// Answers the origin, and says whether runs of the job may go on here. If so, their end is told later.
    void sendAnswer(const taken_request &request, const job_answer &answer);
    bool isReleaseAwaited(const awaited_release &release) const;
    std::size_t originsWithJobs() const;

    const time_source &m_time;
    const route_table &m_routes;
    job_dispatcher &m_dispatcher;
    peer_outbox &m_outbox;
    decision_journal &m_journal;
    std::map<std::string, origin_state> m_origins;
    std::map<std::uint64_t, taken_request> m_requests;
    /// Who waits for the end of the runs of a job, by its identifier.
    std::map<std::string, std::vector<awaited_release>> m_releases;
    /// Connected entries by their names as origins, for those with jobs.
    std::map<std::string, std::string> m_entriesByOrigin;
    std::uint64_t m_nextRequest = FIRST_HANDOVER_REQUEST;
    handover_receiver_counters m_counters;
};

}

#endif
