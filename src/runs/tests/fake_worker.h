#ifndef AZUREMOOR_RUNS_TESTS_FAKE_WORKER_H
#define AZUREMOOR_RUNS_TESTS_FAKE_WORKER_H

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "runs/worker_client.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/**
 * A worker in virtual time that follows the worker interface: a lease on its own clock, fencing tokens, run numbers, and ended runs that
 * are listed until they are acknowledged. Requests can be lost, and can be carried out late without an answer.
 */
class fake_worker : public worker_client
{
public:
    /// What happens to the requests that follow.
    enum class order_delivery {
        answered,
        /// Carried out after a delay, and never answered. Renewals are carried out without a delay.
        delayed,
        /// Neither carried out nor answered.
        lost,
        /// No connection could be opened in time, so that nothing was sent.
        unsent,
        /// Connections are refused: the worker is down, or cut off.
        refused,
    };

    explicit fake_worker(virtual_time &time)
        : m_time(time)
    {
    }

    worker_report report(bool draining = false)
    {
        worker_report result;
        result.workerInstance = name;
        result.boot = boot;
        result.service = "desk";
        result.address = address;
        result.labels = labels;
        result.capacity = capacity;
        result.draining = draining;
        result.clock = clock();
        result.sequence = ++m_reportSequence;
        return result;
    }

    /// Ends an active run and lists its end.
    void finish(run_key key, run_outcome outcome)
    {
        if (m_active.erase(key) > 0) {
            m_ended.push_back({++m_lastEndNumber, key, outcome});
            m_highestEndedNumber[key.task] = std::max(m_highestEndedNumber[key.task], key.runNumber);
        }
    }

    /// What becomes of the requests that are delayed at a restart.
    enum class delayed_requests {
        /// They reach the new instance.
        kept,
        lost,
    };

    /// Starts a new instance, which runs nothing and knows no fencing token.
    void restart(const std::string &newName, delayed_requests delayed = delayed_requests::kept)
    {
        name = newName;
        m_lossesOfDelayed += delayed == delayed_requests::lost ? 1 : 0;
        m_active.clear();
        m_ended.clear();
        m_highestEndedNumber.clear();
        m_lastEndNumber = 0;
        m_fencingToken = 0;
        m_reportSequence = 0;
        m_leaseDeadline = 0;
        m_clockStart = m_time.steadyNow();
    }

    worker_milliseconds clock() const
    {
        const auto age = std::chrono::duration_cast<milliseconds>(m_time.steadyNow() - m_clockStart).count();
        return 1000 + static_cast<worker_milliseconds>(static_cast<double>(age) * clockRate);
    }

    /// Ends the process that has called so far: its calls are carried out, but it gets no more answers.
    void dropPendingAnswers()
    {
        ++m_callers;
    }

    /// Ends all runs if the lease has expired. Must be called before the state is read.
    void expire()
    {
        if (clock() <= m_leaseDeadline) {
            return;
        }
        while (!m_active.empty()) {
            finish(*m_active.begin(), run_outcome::lapsed);
        }
    }

    const std::set<run_key> &active()
    {
        expire();
        return m_active;
    }

    void startRun(const request_context &context,
                  const run_order &order,
                  worker_milliseconds deadline,
                  std::function<void(worker_reply, worker_milliseconds)> done) override
    {
        const auto special = startDeliveryByTask.find(order.task);
        perform(
            special == startDeliveryByTask.end() ? startDelivery : special->second,
            [this, context, order, deadline] { return start(context, order, deadline); },
            [this, done](worker_reply reply) { done(reply, reply == worker_reply::unknown ? 0 : clock()); });
    }

    void stopRun(const request_context &context, const run_key &run, std::function<void(worker_reply)> done) override
    {
        perform(
            stopDelivery, [this, context, run] { return stop(context, run); }, done);
    }

    void
    renewLease(const request_context &context, const lease_request &request, std::function<void(const lease_response &)> answer) override
    {
        const auto done = [this, answer = std::move(answer), caller = m_callers](const lease_response &response) {
            if (caller == m_callers) {
                answer(response);
            }
        };
        ++requestCount;
        // Does not wait for a run to end, and answers after at most 10 ms.
        const milliseconds wait = std::min(request.wait, milliseconds(10));
        m_time.after(wait, [this, context, request, done] {
            const order_delivery delivery = isCutOff ? order_delivery::refused : renewalDelivery;
            lease_response response;
            if (delivery == order_delivery::refused) {
                response.reply = refusal();
                done(response);
                return;
            }
            if (delivery == order_delivery::unsent) {
                response.reply = worker_reply::not_sent;
                m_time.after(REPLY_TIMEOUT, [done, response] { done(response); });
                return;
            }
            response.reply = delivery == order_delivery::lost ? worker_reply::unknown : renew(context, request);
            if (delivery != order_delivery::answered) {
                m_time.after(REPLY_TIMEOUT, [done] { done(lease_response{}); });
                return;
            }
            response.boot = boot;
            response.clock = clock();
            for (const run_key &key : m_active) {
                response.active.push_back({key, 0});
            }
            response.ended = m_ended;
            done(response);
        });
    }

    std::string name = "worker-1";
    /// The address at which it answers. Connections to others are refused.
    std::string address = "127.0.0.1:1";
    /// Distinguishes boots under the same name; 0 if it is not stated.
    std::int64_t boot = 0;
    std::vector<std::string> labels = {"a", "r1"};
    task_shape capacity{4000, 4096, 0};
    double clockRate = 1;
    order_delivery startDelivery = order_delivery::answered;
    /// Deliveries of starts that differ from `startDelivery`, by task.
    std::map<std::string, order_delivery> startDeliveryByTask;
    order_delivery stopDelivery = order_delivery::answered;
    order_delivery renewalDelivery = order_delivery::answered;
    microseconds orderDelay = seconds(2);
    /// All connections are refused, whatever the deliveries are, and the worker runs on.
    bool isCutOff = false;
    /// Tests disable this to show that they would detect a refused connection that is taken for the end of the worker.
    bool tellsRefusalFromEnd = true;
    /// Checks of the worker. Tests disable them one at a time, to show that they would detect the missing check.
    bool checksFencingToken = true;
    bool checksInstance = true;
    bool checksRunNumber = true;
    bool checksStartDeadline = true;
    /// Number of requests that were sent to it, whatever became of them.
    std::size_t requestCount = 0;
    /// All runs that were started.
    std::vector<run_key> started;
    /// Called for each run that is started, if set.
    std::function<void(const run_key &run, const task_shape &shape)> onStart;

private:
    static constexpr milliseconds REPLY_TIMEOUT{150};
    /// Longer leases are shortened to this.
    static constexpr milliseconds LONGEST_LEASE{1000};

    void extendLease(worker_milliseconds deadline)
    {
        m_leaseDeadline = std::max(m_leaseDeadline, std::min(deadline, clock() + LONGEST_LEASE.count()));
    }

    worker_reply refusal() const
    {
        return tellsRefusalFromEnd ? worker_reply::connection_refused : worker_reply::wrong_worker;
    }

    void perform(order_delivery requested, const std::function<worker_reply()> &request, const std::function<void(worker_reply)> &answer)
    {
        ++requestCount;
        const order_delivery delivery = isCutOff ? order_delivery::refused : requested;
        const auto done = [this, answer, caller = m_callers](worker_reply reply) {
            if (caller == m_callers) {
                answer(reply);
            }
        };
        if (delivery == order_delivery::answered) {
            m_time.after(microseconds(300), [request, done] { done(request()); });
            return;
        }
        if (delivery == order_delivery::delayed) {
            m_time.after(orderDelay, [this, request, losses = m_lossesOfDelayed] {
                if (losses == m_lossesOfDelayed) {
                    request();
                }
            });
        }
        if (delivery == order_delivery::refused) {
            m_time.after(microseconds(300), [done, reply = refusal()] { done(reply); });
            return;
        }
        const worker_reply reply = delivery == order_delivery::unsent ? worker_reply::not_sent : worker_reply::unknown;
        m_time.after(REPLY_TIMEOUT, [done, reply] { done(reply); });
    }

    worker_reply check(const request_context &context)
    {
        expire();
        if (context.address != address) {
            return worker_reply::connection_refused;
        }
        if (checksInstance && context.workerInstance != name) {
            return worker_reply::wrong_worker;
        }
        if (checksFencingToken && context.fencingToken < m_fencingToken) {
            return worker_reply::fenced;
        }
        m_fencingToken = context.fencingToken;
        return worker_reply::accepted;
    }

    worker_reply start(const request_context &context, const run_order &order, worker_milliseconds deadline)
    {
        const worker_reply checked = check(context);
        if (checked != worker_reply::accepted) {
            return checked;
        }
        if (checksStartDeadline && deadline <= clock()) {
            return worker_reply::late;
        }
        extendLease(deadline);
        const run_key key{order.task, order.number};
        if (m_active.contains(key)) {
            return worker_reply::accepted;
        }
        const auto ended = m_highestEndedNumber.find(order.task);
        if (checksRunNumber && ended != m_highestEndedNumber.end() && order.number <= ended->second) {
            return worker_reply::stale_number;
        }
        m_active.insert(key);
        started.push_back(key);
        if (onStart) {
            onStart(key, order.shape);
        }
        return worker_reply::accepted;
    }

    worker_reply stop(const request_context &context, const run_key &run)
    {
        const worker_reply checked = check(context);
        if (checked == worker_reply::accepted) {
            finish(run, run_outcome::stopped);
            m_highestEndedNumber[run.task] = std::max(m_highestEndedNumber[run.task], run.runNumber);
        }
        return checked;
    }

    worker_reply renew(const request_context &context, const lease_request &request)
    {
        const worker_reply checked = check(context);
        if (checked == worker_reply::accepted) {
            extendLease(request.deadline);
            std::erase_if(m_ended, [&request](const ended_run &ended) { return ended.endNumber <= request.acknowledgedEnd; });
        }
        return checked;
    }

    virtual_time &m_time;
    steady_time m_clockStart{};
    /// How often the delayed requests were lost.
    std::uint64_t m_lossesOfDelayed = 0;
    /// Increases with each process that calls.
    std::uint64_t m_callers = 0;
    std::set<run_key> m_active;
    std::vector<ended_run> m_ended;
    std::map<std::string, std::uint32_t> m_highestEndedNumber;
    std::uint64_t m_lastEndNumber = 0;
    std::uint64_t m_fencingToken = 0;
    std::uint64_t m_reportSequence = 0;
    worker_milliseconds m_leaseDeadline = 0;
};

}

#endif
