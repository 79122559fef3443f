#include "dispatch/benchmarks/benchmark_worker.h"

#include <algorithm>

namespace azuremoor::benchmarks
{

namespace
{

/// Time from a request to its answer.
constexpr microseconds ANSWER_TIME{300};

}

benchmark_worker::benchmark_worker(testing::virtual_time &time, std::string name, task_shape capacity, double speed, run_observer &observer)
    : m_time(time)
    , m_name(std::move(name))
    , m_capacity(capacity)
    , m_speed(speed)
    , m_observer(observer)
{
}

void benchmark_worker::setAnswerHandler(std::function<void()> handler)
{
    m_answerHandler = std::move(handler);
}

worker_report benchmark_worker::report()
{
    worker_report result;
    result.workerInstance = m_name;
    result.service = "desk";
    result.address = "127.0.0.1:1";
    result.capacity = m_capacity;
    result.draining = m_isDraining;
    result.clock = clock();
    result.sequence = ++m_lastReport;
    return result;
}

void benchmark_worker::drain()
{
    m_isDraining = true;
}

task_shape benchmark_worker::freeCapacity() const
{
    task_shape used{0, 0, 0};
    for (const auto &[key, run] : m_runs) {
        used += run.shape;
    }
    return m_capacity.saturatingMinus(used);
}

void benchmark_worker::startRun(const request_context & /*context*/,
                                const run_order &order,
                                worker_milliseconds /*deadline*/,
                                std::function<void(worker_reply, worker_milliseconds)> done)
{
    m_time.after(ANSWER_TIME, [this, order, done = std::move(done)] {
        begin(order);
        done(worker_reply::accepted, clock());
        m_answerHandler();
    });
}

void benchmark_worker::stopRun(const request_context & /*context*/, const run_key &run, std::function<void(worker_reply)> done)
{
    m_time.after(ANSWER_TIME, [this, run, done = std::move(done)] {
        end(run, run_outcome::stopped);
        done(worker_reply::accepted);
        m_answerHandler();
    });
}

void benchmark_worker::renewLease(const request_context & /*context*/, const lease_request &request, renewal_answer done)
{
    std::erase_if(m_ended, [&request](const ended_run &ended) { return ended.endNumber <= request.acknowledgedEnd; });
    const std::uint64_t number = ++m_lastRenewal;
    m_heldRenewals[number] = std::move(done);
    const microseconds wait = m_ended.empty() ? std::max<microseconds>(request.wait, ANSWER_TIME) : ANSWER_TIME;
    m_time.after(wait, [this, number] { answerRenewal(number); });
}

worker_milliseconds benchmark_worker::clock() const
{
    return std::chrono::duration_cast<milliseconds>(m_time.steadyNow().time_since_epoch()).count();
}

void benchmark_worker::begin(const run_order &order)
{
    const run_key key{order.task, order.number};
    const microseconds runTime(static_cast<std::int64_t>(static_cast<double>(m_observer.runTimeOf(order.task).count()) / m_speed));
    const std::uint64_t serial = ++m_lastSerial;
    m_runs[key] = {order.shape, m_time.steadyNow(), m_time.steadyNow() + runTime, serial};
    m_observer.handleStart(order.task);
    m_time.after(runTime, [this, key, serial] {
        const auto found = m_runs.find(key);
        if (found != m_runs.end() && found->second.serial == serial) {
            end(key, run_outcome::done);
        }
    });
}

void benchmark_worker::end(const run_key &run, run_outcome outcome)
{
    const auto found = m_runs.find(run);
    if (found == m_runs.end()) {
        return;
    }
    const double elapsed = static_cast<double>((m_time.steadyNow() - found->second.begin).count());
    m_observer.handleEnd(run.task, outcome, elapsed * found->second.shape.milliCores);
    m_runs.erase(found);
    m_ended.push_back({++m_lastEnd, run, outcome});
    for (const auto &[number, answer] : m_heldRenewals) {
        m_time.after(ANSWER_TIME, [this, held = number] { answerRenewal(held); });
    }
}

void benchmark_worker::answerRenewal(std::uint64_t number)
{
    const auto found = m_heldRenewals.find(number);
    if (found == m_heldRenewals.end()) {
        return;
    }
    const renewal_answer answer = std::move(found->second);
    m_heldRenewals.erase(found);
    answer(listRuns());
    m_answerHandler();
}

lease_response benchmark_worker::listRuns() const
{
    lease_response response;
    response.reply = worker_reply::accepted;
    response.clock = clock();
    response.ended = m_ended;
    for (const auto &[key, run] : m_runs) {
        const auto elapsed = (m_time.steadyNow() - run.begin).count();
        const auto duration = std::max<std::int64_t>((run.end - run.begin).count(), 1);
        response.active.push_back({key, static_cast<std::uint8_t>(std::min<std::int64_t>(100 * elapsed / duration, 99))});
    }
    return response;
}

}
