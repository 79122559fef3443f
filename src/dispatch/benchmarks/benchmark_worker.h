#ifndef AZUREMOOR_DISPATCH_BENCHMARKS_BENCHMARK_WORKER_H
#define AZUREMOOR_DISPATCH_BENCHMARKS_BENCHMARK_WORKER_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "runs/worker_client.h"
#include "testing/virtual_time.h"

namespace azuremoor::benchmarks
{

/// What the benchmark records of runs.
class run_observer
{
public:
    virtual ~run_observer() = default;

    /// Returns the run time of the task on a worker of speed 1.
    virtual microseconds runTimeOf(const std::string &task) const = 0;

    /// Called when a run begins.
    virtual void handleStart(const std::string &task) = 0;

    /// Called when a run ends, with the work that it used, in thousandths of a core times microseconds.
    virtual void handleEnd(const std::string &task, run_outcome outcome, double work) = 0;
};

/**
 * A worker without faults in virtual time, whose runs take their real run time divided by its speed.
 *
 * It holds back the answer to a renewal until a run ends, like the workers of the platform.
 */
class benchmark_worker : public worker_client
{
public:
    benchmark_worker(testing::virtual_time &time, std::string name, task_shape capacity, double speed, run_observer &observer);

    /// Sets the function that is called after each answer.
    void setAnswerHandler(std::function<void()> handler);

    worker_report report();

    /// Reports from now on that the worker takes no new runs.
    void drain();

    /// Returns the capacity that no run uses.
    task_shape freeCapacity() const;

    void startRun(const request_context &context,
                  const run_order &order,
                  worker_milliseconds deadline,
                  std::function<void(worker_reply, worker_milliseconds)> done) override;
    void stopRun(const request_context &context, const run_key &run, std::function<void(worker_reply)> done) override;
    void
    renewLease(const request_context &context, const lease_request &request, std::function<void(const lease_response &)> done) override;

private:
    struct benchmark_run {
        task_shape shape;
        steady_time begin;
        steady_time end;
        /// Tells the run from one that had the same key before.
        std::uint64_t serial = 0;
    };
    using renewal_answer = std::function<void(const lease_response &)>;

    worker_milliseconds clock() const;
    void begin(const run_order &order);
    void end(const run_key &run, run_outcome outcome);
    void answerRenewal(std::uint64_t number);
    lease_response listRuns() const;

    testing::virtual_time &m_time;
    std::string m_name;
    task_shape m_capacity;
    bool m_isDraining = false;
    double m_speed;
    run_observer &m_observer;
    std::function<void()> m_answerHandler;
    std::map<run_key, benchmark_run> m_runs;
    std::vector<ended_run> m_ended;
    std::map<std::uint64_t, renewal_answer> m_heldRenewals;
    std::uint64_t m_lastRenewal = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_lastReport = 0;
};

}

#endif
