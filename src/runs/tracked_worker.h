#ifndef AZUREMOOR_RUNS_TRACKED_WORKER_H
#define AZUREMOOR_RUNS_TRACKED_WORKER_H

#include <cstdint>
#include <optional>

#include "runs/foreign_runs.h"
#include "runs/worker_client.h"
#include "runs/worker_clock.h"

namespace azuremoor
{

/// What the agent knows of the current worker: its last report, its clock and lease, and the renewals that were sent.
struct tracked_worker {
    /// Begins with the worker's first report. The fencing token is not lower than the given one.
    tracked_worker(const time_source &time, const worker_report &firstReport, std::uint64_t minFencingToken);

    /// Raises the token of a worker that has accepted none, since a late call of an earlier process, to a former boot of the worker, may
    /// have brought it a higher one.
    void raiseFencingToken();

    /// Reads a further report of the worker.
    void update(const worker_report &newReport, steady_time now);

    /// Returns what the worker's reports say, without the members that do not follow from them.
    worker_status status(const task_shape &used, steady_time now) const;

    /// Returns what a request to the worker states.
    request_context context() const;

    worker_report report;
    std::uint64_t registration = 0;
    std::uint64_t fencingToken = 0;
    bool draining = false;
    /// This boot has reported, so that its service, labels and capacity are known.
    bool hasReported = true;
    /// The worker's departure was announced, and it has not reported since.
    bool hasDeparted = false;
    /// When the crash of the former boot was noticed, if the worker is another boot of one that crashed, and has taken its place under the
    /// same identifier.
    std::optional<steady_time> formerBootCrashedAt;
    /// A connection was refused since the last answer. The worker may be down, or cut off and running on.
    bool refusesConnections = false;
    /// Until when the worker is slow after its start.
    steady_time coldUntil{};
    /// A renewal was answered since the instance was registered or the lease last expired.
    bool hasLease = false;
    foreign_runs foreignRuns;
    worker_clock clock;
    /// Highest number of the ended runs that were processed.
    std::uint64_t acknowledgedEnd = 0;
    /// Number of the last renewal that was sent; renewals are numbered from 1.
    std::uint64_t lastRenewalNumber = 0;
    /// Highest number of the renewals that were answered. Answers may arrive out of order.
    std::uint64_t newestAnsweredRenewal = 0;
    std::size_t pendingRenewals = 0;
    steady_time lastRenewal;
    steady_time lastAnswer;
    /// Several renewals are kept pending until then, because an answer was lost recently.
    steady_time lossRecoveryEnd;
};

/// Returns what is known of another boot of a worker that has answered in place of the one with the given report, and has not reported.
worker_report nextBootOf(const worker_report &former, const lease_response &answer);

}

#endif
