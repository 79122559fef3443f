#ifndef AZUREMOOR_RUNS_TESTS_FAKE_WORKER_H
#define AZUREMOOR_RUNS_TESTS_FAKE_WORKER_H

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "runs/worker_port.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/**
 * A worker in virtual time that keeps to its interface: leases on its own clock, fences, run numbers, ends that are listed until they are
 * acknowledged. Orders can be lost before or after they are carried out, and carried out late.
 */
class fake_worker : public worker_port
{
public:
    /// What happens to the orders that come next.
    enum class fate {
        answered,
        /// Carried out after a delay, and never answered.
        late,
        /// Neither carried out nor answered.
        lost,
    };

    explicit fake_worker(virtual_time &time)
        : m_time(time)
    {
    }

    worker_report report(bool draining = false)
    {
        worker_report result;
        result.worker = name;
        result.service = "desk";
        result.address = "127.0.0.1:1";
        result.labels = {"a", "r1"};
        result.capacity = capacity;
        result.draining = draining;
        result.clock = clock();
        result.sequence = ++m_sequence;
        return result;
    }

    /// Ends a run as the worker does.
    void finish(run_key key, run_outcome outcome)
    {
        if (m_active.erase(key) > 0) {
            m_ended.push_back({++m_lastEnd, key, outcome});
            m_over[key.task] = std::max(m_over[key.task], key.number);
        }
    }

    /// Another life begins: nothing runs, no token is known.
    void restart(const std::string &newName)
    {
        name = newName;
        m_active.clear();
        m_ended.clear();
        m_over.clear();
        m_lastEnd = 0;
        m_token = 0;
        m_sequence = 0;
        m_deadline = 0;
        m_clockOrigin = m_time.steadyNow();
    }

    worker_milliseconds clock() const
    {
        const auto age = std::chrono::duration_cast<milliseconds>(m_time.steadyNow() - m_clockOrigin).count();
        return 1000 + static_cast<worker_milliseconds>(static_cast<double>(age) * clockRate);
    }

    /// Ends what outlives the lease. Called before anything is looked at.
    void expire()
    {
        if (clock() <= m_deadline) {
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

    void startRun(const order_context &context,
                  const run_order &order,
                  worker_milliseconds deadline,
                  std::function<void(order_reply, worker_milliseconds)> done) override
    {
        perform(
            startFate,
            [this, context, order, deadline] { return start(context, order, deadline); },
            [this, done](order_reply reply) { done(reply, reply == order_reply::unknown ? 0 : clock()); });
    }

    void stopRun(const order_context &context, const run_key &run, std::function<void(order_reply)> done) override
    {
        perform(
            stopFate, [this, context, run] { return stop(context, run); }, done);
    }

    void renewLease(const order_context &context, const lease_request &request, std::function<void(const lease_reply &)> done) override
    {
        const milliseconds wait = std::min(request.wait, milliseconds(10));
        m_time.after(wait, [this, context, request, done] {
            const fate chosen = renewalFate;
            lease_reply reply;
            reply.reply = chosen == fate::lost ? order_reply::unknown : renew(context, request);
            if (chosen != fate::answered) {
                m_time.after(UNANSWERED, [done] { done(lease_reply{}); });
                return;
            }
            reply.clock = clock();
            for (const run_key &key : m_active) {
                reply.active.push_back({key, 0});
            }
            reply.ended = m_ended;
            done(reply);
        });
    }

    std::string name = "worker-1";
    task_shape capacity{4000, 4096, 0};
    double clockRate = 1;
    fate startFate = fate::answered;
    fate stopFate = fate::answered;
    fate renewalFate = fate::answered;
    microseconds lateBy = seconds(2);
    /// Guards that histories switch off, to show that they would notice.
    bool checksToken = true;
    bool checksLife = true;
    bool checksRunNumber = true;
    bool checksOrderDeadline = true;
    /// Every start that was carried out.
    std::vector<run_key> started;
    /// Is told of each start, if set.
    std::function<void(const run_key &run, const task_shape &shape)> onStart;

private:
    static constexpr milliseconds UNANSWERED{150};

    void perform(fate chosen, const std::function<order_reply()> &order, const std::function<void(order_reply)> &done)
    {
        if (chosen == fate::answered) {
            m_time.after(microseconds(300), [order, done] { done(order()); });
            return;
        }
        if (chosen == fate::late) {
            m_time.after(lateBy, [order] { order(); });
        }
        m_time.after(UNANSWERED, [done] { done(order_reply::unknown); });
    }

    order_reply check(const order_context &context)
    {
        expire();
        if (checksLife && context.worker != name) {
            return order_reply::wrong_worker;
        }
        if (checksToken && context.fencingToken < m_token) {
            return order_reply::fenced;
        }
        m_token = context.fencingToken;
        return order_reply::accepted;
    }

    order_reply start(const order_context &context, const run_order &order, worker_milliseconds deadline)
    {
        const order_reply checked = check(context);
        if (checked != order_reply::accepted) {
            return checked;
        }
        if (checksOrderDeadline && deadline <= clock()) {
            return order_reply::late;
        }
        m_deadline = std::max(m_deadline, deadline);
        const run_key key{order.task, order.number};
        if (m_active.contains(key)) {
            return order_reply::accepted;
        }
        const auto over = m_over.find(order.task);
        if (checksRunNumber && over != m_over.end() && order.number <= over->second) {
            return order_reply::stale_number;
        }
        m_active.insert(key);
        started.push_back(key);
        if (onStart) {
            onStart(key, order.shape);
        }
        return order_reply::accepted;
    }

    order_reply stop(const order_context &context, const run_key &run)
    {
        const order_reply checked = check(context);
        if (checked == order_reply::accepted) {
            finish(run, run_outcome::stopped);
            m_over[run.task] = std::max(m_over[run.task], run.number);
        }
        return checked;
    }

    order_reply renew(const order_context &context, const lease_request &request)
    {
        const order_reply checked = check(context);
        if (checked == order_reply::accepted) {
            m_deadline = std::max(m_deadline, request.deadline);
            std::erase_if(m_ended, [&request](const listed_end &ended) { return ended.number <= request.acknowledged; });
        }
        return checked;
    }

    virtual_time &m_time;
    steady_time m_clockOrigin{};
    std::set<run_key> m_active;
    std::vector<listed_end> m_ended;
    std::map<std::string, std::uint32_t> m_over;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_token = 0;
    std::uint64_t m_sequence = 0;
    worker_milliseconds m_deadline = 0;
};

}

#endif
