#ifndef AZUREMOOR_RUNS_CONTENDER_TRACKER_H
#define AZUREMOOR_RUNS_CONTENDER_TRACKER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>

#include "base/decision_journal.h"
#include "runs/worker_client.h"

namespace azuremoor
{

/// What becomes of the report of a worker that is not the current one.
enum class contender_verdict : std::uint8_t {
    /// The current worker has answered since the contender first reported.
    refused,
    /// An earlier question to the current worker is still open.
    pending,
    /// The current worker has to be asked.
    ask,
};

/**
 * Keeps track of workers that have reported while another one is the current one of this machine.
 *
 * A report may arrive after its sender has crashed, and may come from another writer, so it does not show that the current worker is gone.
 * The current worker is asked with a renewal of its lease. If it accepts that renewal or a later one, the contender is refused.
 */
class contender_tracker
{
public:
    explicit contender_tracker(decision_journal &journal);

    /// Considers the report of a contender. If the verdict is `ask`, the current worker must be sent the renewal with the given number.
    contender_verdict consider(const worker_report &report, const worker_report &current, std::uint64_t nextRenewal);

    /// Refuses the contender if the current worker has accepted a renewal that was sent after the contender's first report.
    void recordAcceptedRenewal(std::uint64_t renewalNumber, const worker_report &current);

    /// Forgets the contender, because its instance has announced its departure. Ignores other instances.
    void removeDeparted(const std::string &workerInstance);

    /// Considers all workers again that were refused, because the current one does not answer.
    void forgetRefused();

    /// Considers the worker again, because it is the current one now.
    void forgetRefused(const worker_identity &worker);

    /// Returns whether there is a contender.
    bool hasContender() const;

    /// Refuses the former worker from now on, which was given up, and returns the report of the contender, if there is one.
    std::optional<worker_report> takeSuccessor(const worker_identity &former);

private:
    struct contender {
        worker_report report;
        /// Number of the first renewal that is sent after the report.
        std::uint64_t questionNumber = 0;
    };

    decision_journal &m_journal;
    std::optional<contender> m_contender;
    std::set<worker_identity> m_refused;
};

}

#endif
