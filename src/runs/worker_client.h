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

/// A point on a worker's own steady clock, in milliseconds since an unknown moment.
using worker_milliseconds = std::int64_t;

/// What a worker reports about itself from time to time.
struct worker_report {
    /// This life of the worker; another after each restart.
    std::string workerInstance;
    std::string service;
    /// Where the worker takes orders.
    std::string address;
    std::vector<std::string> labels;
    task_shape capacity;
    bool draining = false;
    worker_milliseconds clock = 0;
    /// Rises with each report of one life, so that late ones can be told.
    std::uint64_t sequence = 0;
};

/// Names a run on a worker.
struct run_key {
    std::string task;
    std::uint32_t runNumber = 0;

    auto operator<=>(const run_key &) const = default;
};

/// A worker's answer to an order.
enum class worker_reply : std::uint8_t {
    /// The run is under way.
    accepted,
    /// Another holder with a higher fencing token has taken over.
    fenced,
    /// The number is not higher than that of a run that was stopped or has ended.
    stale_number,
    /// The order's deadline had passed.
    late,
    no_room,
    /// The worker cannot read the order.
    malformed,
    /// The worker is unhealthy and has done nothing.
    unhealthy,
    /// Another life of the worker answered.
    wrong_worker,
    /// Nothing listens: the worker is down.
    refused,
    /// No answer: the order may have been carried out, or may still be.
    unknown,
};

/// Returns the name of the reply, for logs.
std::string_view workerReplyName(worker_reply reply);

/// Names the worker's life and the holder that gives the order.
struct request_context {
    std::string workerInstance;
    std::string address;
    std::uint64_t fencingToken = 0;
};

/// A run that a worker lists as under way.
struct active_run {
    run_key run;
    /// Share of the work that is done, in percent.
    std::uint8_t percent = 0;
};

/// The end of a run that a worker lists.
struct ended_run {
    /// Numbers the ends of one life of the worker, from 1 on.
    std::uint64_t endNumber = 0;
    run_key run;
    run_outcome outcome = run_outcome::failed;
};

/// A worker's answer to a renewal of its lease.
struct lease_response {
    worker_reply reply = worker_reply::unknown;
    worker_milliseconds clock = 0;
    std::vector<active_run> active;
    std::vector<ended_run> ended;
};

/// What a renewal of the lease asks for.
struct lease_request {
    /// On the worker's clock: when everything ends unless the lease is renewed again. A time that has passed changes nothing.
    worker_milliseconds deadline = 0;
    /// Ends up to this number have been taken note of.
    std::uint64_t acknowledgedEnd = 0;
    /// How long the worker may wait for an end before it answers.
    milliseconds wait{0};
};

/// Gives orders to the worker on this machine. Each call is answered exactly once, never from within the call.
class worker_client
{
public:
    virtual ~worker_client() = default;

    /// Starts a run. A worker refuses an order that it gets after the deadline on its clock.
    virtual void startRun(const request_context &context,
                          const run_order &order,
                          worker_milliseconds deadline,
                          std::function<void(worker_reply, worker_milliseconds)> done)
        = 0;

    /// Stops a run, or refuses it in advance if it is not there yet.
    virtual void stopRun(const request_context &context, const run_key &run, std::function<void(worker_reply)> done) = 0;

    /// Renews the lease of everything that runs, and asks for what runs and what has ended.
    virtual void renewLease(const request_context &context, const lease_request &request, std::function<void(const lease_response &)> done)
        = 0;
};

}

#endif
