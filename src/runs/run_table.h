#ifndef AZUREMOOR_RUNS_RUN_TABLE_H
#define AZUREMOOR_RUNS_RUN_TABLE_H

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "messages/crash_messages.h"
#include "runs/capacity_forecast.h"
#include "runs/worker_client.h"

namespace azuremoor
{

/// Interval at which a stop is repeated while the run has not ended.
constexpr milliseconds STOP_RETRY_INTERVAL{60};

/// What a run was last asked to do, and whether the worker has accepted it.
enum class run_state : std::uint8_t {
    /// The start waits until the worker has answered another request.
    held,
    ordered,
    running,
    stopping,
};

/// A run that uses capacity of the worker: it may be in progress, or may still begin.
struct supervised_run {
    std::string session;
    /// See `run_order::origin`.
    std::string origin;
    /// See `run_order::queue`.
    std::string queue;
    std::uint64_t sequence = 0;
    task_shape resources;
    run_state state = run_state::ordered;
    /// Time on the worker's clock after which the worker refuses to start the run.
    worker_milliseconds startDeadline = 0;
    /// The worker confirmed a stop, so the run cannot begin any more.
    bool isStopConfirmed = false;
    bool isStartSent = false;
    /// Until when a start that is held may be sent.
    steady_time holdDeadline;
    /// The worker confirmed the start, or listed the run.
    bool isStartConfirmed = false;
    /// The start was held until the worker had answered, and nothing shows that the worker was down when it was sent.
    bool wasWorkerAsked = false;
    /// Number of the first renewal whose answer is certain to list the run if it is in progress; 0 while unknown.
    std::uint64_t firstConclusiveRenewal = 0;
    steady_time nextStopAttempt;
    /// Time from which the lease is not renewed unless the run has ended. Set only for runs that an entry or the agent stopped.
    std::optional<steady_time> stopDeadline;
    /// Share of the work that is done, in percent.
    std::uint8_t percent = 0;
    microseconds estimate{0};
    steady_time startedAt;
    /// The run was ordered from an earlier boot of the worker, and the present boot has not listed it.
    bool isOfFormerBoot = false;
};

/// Returns the run as the report of a crash names it that has just been noticed.
crashed_run toCrashedRun(const run_key &key, const supervised_run &run, steady_time now);

/// The runs of a worker that use its capacity.
class run_table
{
public:
    using run_map = std::map<run_key, supervised_run>;

    /// Returns the runs, in the order of their tasks.
    run_map &runs();
    const run_map &runs() const;

    /// Adds a run of a session that is ordered now. There must be none with its task and number.
    supervised_run &add(const std::string &session, const run_order &order, steady_time now);

    /// Records the runs that the worker lists as in progress.
    void recordListed(const std::vector<active_run> &active);

    /// Returns the runs that a renewal's answer proves to be over, or unable to begin.
    std::vector<run_key> endedRuns(std::uint64_t renewalNumber, const lease_response &response) const;

    /// Turns to another boot of the worker, which lists the runs that have reached it with the answer to the renewal of the given number.
    void moveToNextBoot(std::uint64_t firstConclusiveRenewal);

    /// Returns the capacity that the runs use.
    task_shape usedCapacity() const;

    /// Returns the number of the session's runs.
    std::size_t count(std::string_view session) const;

    /// Returns the progress of the session's runs that the worker has accepted and that are not being stopped.
    std::vector<run_progress> progress(std::string_view session) const;

    /// Returns the runs as the forecast takes them.
    std::vector<forecast_run> forecastRuns(steady_time now) const;

    /// Records that the worker was down when a start was sent at the given time, so that later ones did not reach it.
    void recordRefusedStart(steady_time sentAt);

    /// Returns the runs as the report of a crash names them that has just been noticed.
    std::vector<crashed_run> crashedRuns(steady_time now) const;

    /// Returns those of the given runs that were ordered from the former boot and have not reached the present one, as the report of a
    /// crash of the former one names them.
    std::vector<crashed_run> lostWithFormerBoot(std::span<const run_key> keys, steady_time crashedAt) const;

    /// Returns whether a run has not ended by its stop deadline.
    bool hasOverdueStop(steady_time now) const;

private:
    run_map m_runs;
};

}

#endif
