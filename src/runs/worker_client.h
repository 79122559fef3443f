#ifndef AZUREMOOR_RUNS_WORKER_CLIENT_H
#define AZUREMOOR_RUNS_WORKER_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "base/verdict.h"
#include "messages/run_messages.h"

namespace azuremoor
{

/// Time on a worker's own steady clock, in milliseconds since an unknown epoch.
using worker_milliseconds = std::int64_t;

/// Identifies one boot of a worker at its address. Another worker at the same address, the same one at another address, and another boot
/// under the same identifier are different ones.
struct worker_identity {
    std::string instance;
    std::string address;
    /// See `worker_report::boot`.
    std::int64_t boot = 0;

    auto operator<=>(const worker_identity &) const = default;
};

/// Periodic report of a worker about itself.
struct worker_report {
    /// Identifier of the worker instance; usually differs after each restart.
    std::string workerInstance;
    /// Time of the worker's start on its own clock, in milliseconds since 1970, which tells boots under the same identifier apart; 0 if the
    /// worker does not state it. Clocks are set back at times, so a later boot may have an earlier time.
    std::int64_t boot = 0;
    std::string service;
    /// Address at which the worker accepts requests.
    std::string address;
    std::vector<std::string> labels;
    task_shape capacity;
    bool draining = false;
    worker_milliseconds clock = 0;
    /// Increases with each report of an instance, so that late reports can be recognized.
    std::uint64_t sequence = 0;
    /// How much longer the worker is slow after its start, as of the report.
    milliseconds coldRemaining{0};

    worker_identity identity() const
    {
        return {workerInstance, address, boot};
    }
};

/// Identifies a run on a worker.
struct run_key {
    std::string task;
    std::uint32_t runNumber = 0;

    auto operator<=>(const run_key &) const = default;
};

/// Result of a request to a worker.
enum class worker_reply : std::uint8_t {
    /// The request was carried out; for a start, the run is in progress.
    accepted,
    /// The worker has seen a higher fencing token, that of a later agent process.
    fenced,
    /// The run number is not higher than that of a run of the task that was stopped or has ended.
    stale_number,
    /// The deadline of the request had passed when it arrived.
    late,
    /// The worker lacks free capacity.
    no_room,
    /// The worker cannot parse the request.
    malformed,
    /// The worker is unhealthy and did not carry out the request.
    unhealthy,
    /// Another instance of the worker answered.
    wrong_worker,
    /// The connection was refused, so this request is not carried out. Says nothing about earlier requests: the worker may be down, or cut
    /// off and running on.
    connection_refused,
    /// Nothing of the request was sent, so it is not carried out. Says nothing about the worker, nor about earlier requests.
    not_sent,
    /// No usable answer arrived. The request may have been carried out, or may still be.
    unknown,
};

/// Returns the name of the reply, for logs.
std::string_view workerReplyName(worker_reply reply);

/// Returns whether a request with this reply may have reached a worker, now or later.
constexpr bool mayHaveArrived(worker_reply reply)
{
    return reply != worker_reply::connection_refused && reply != worker_reply::not_sent;
}

/// Identifies the worker instance that a request is meant for, and the agent process that sends it.
struct request_context {
    std::string workerInstance;
    std::string address;
    /// Higher for each later agent process, so that the worker refuses late requests of earlier ones.
    std::uint64_t fencingToken = 0;
};

/// A run that a worker lists as in progress.
struct active_run {
    run_key run;
    /// Share of the work that is done, in percent.
    std::uint8_t percent = 0;
};

/// A run that a worker lists as ended.
struct ended_run {
    /// Number of this ended run, counted from 1 within a worker instance.
    std::uint64_t endNumber = 0;
    run_key run;
    run_outcome outcome = run_outcome::failed;
};

/// Answer of a worker to the renewal of its lease.
struct lease_response {
    worker_reply reply = worker_reply::unknown;
    /// See `worker_report::boot`.
    std::int64_t boot = 0;
    worker_milliseconds clock = 0;
    std::vector<active_run> active;
    /// Ended runs that have not been acknowledged.
    std::vector<ended_run> ended;
};

/// Parameters of a lease renewal.
struct lease_request {
    /// Time on the worker's clock at which all runs end unless the lease is renewed again. A deadline that is not later than the current
    /// one has no effect.
    worker_milliseconds deadline = 0;
    /// Number up to which ended runs are acknowledged; the worker need not list them again.
    std::uint64_t acknowledgedEnd = 0;
    /// Longest time for which the worker may wait for a run to end before it answers.
    milliseconds wait{0};
};

/// Sends requests to the worker on this machine. Each call invokes its callback exactly once, and never before the call returns.
class worker_client
{
public:
    virtual ~worker_client() = default;

    /// Starts a run. The worker refuses a request that arrives after the deadline on its clock.
    virtual void startRun(const request_context &context,
                          const run_order &order,
                          worker_milliseconds deadline,
                          std::function<void(worker_reply, worker_milliseconds)> done)
        = 0;

    /// Stops a run. If the run has not begun, the worker refuses to start it later.
    virtual void stopRun(const request_context &context, const run_key &run, std::function<void(worker_reply)> done) = 0;

    /// Renews the lease of all runs, and requests the lists of active and ended runs.
    virtual void renewLease(const request_context &context, const lease_request &request, std::function<void(const lease_response &)> done)
        = 0;
};

}

#endif
