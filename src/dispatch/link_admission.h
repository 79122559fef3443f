#ifndef AZUREMOOR_DISPATCH_LINK_ADMISSION_H
#define AZUREMOOR_DISPATCH_LINK_ADMISSION_H

#include <cstdint>
#include <map>

#include "dispatch/active_job.h"
#include "dispatch/link_budget.h"
#include "dispatch/urgency_queue.h"

namespace azuremoor
{

/**
 * Decides what the entry's link has time for: which orders may be sent now, and which jobs it can carry in time.
 *
 * Jobs wait for the link in the order of the queue. Orders of steps that are not released yet belong to older jobs and go first when they
 * are, so they count as being ahead of a job if their release is expected while the job can still start.
 */
class link_admission
{
public:
    /// The budget may be null, which stands for a link without limit. Otherwise it must outlive this object, like the queue.
    link_admission(const time_source &time, link_budget *budget, const urgency_queue &waitingJobs);

    /// Returns whether the link has a limit.
    bool isLimited() const;

    /// Returns whether orders for the job's waiting tasks may be begun now.
    bool canBegin(const active_job &job) const;

    /// Returns whether the link is short for copies of payloads: the orders of this job, or of one within the last second, would have to
    /// wait for the link if each carried its own copy. To be called before the job's orders are placed.
    bool isShortOfCopies(const active_job &job);

    /// Takes the order's bytes from the budget. Returns false, and takes nothing, when the order must wait; the first order of a job that
    /// may be begun never does. The batch holds the orders that were made for the same agent and not sent yet; it is null if there are
    /// none.
    bool takeOrder(const start_runs *batch, const run_order &order, bool isFirst);

    /// Records which steps of an admitted job are not released yet. To be called when the job is queued.
    void recordQueued(const active_job &job);

    /// Forgets the job, because it is answered or dropped.
    void forget(std::uint64_t jobNumber);

    /// Returns the expected time until all orders for the job's waiting tasks have been sent, after those of the more urgent jobs.
    microseconds expectedDelay(const active_job &job) const;

    /// Returns whether the link cannot carry the job's orders so that it is done while its caller waits.
    bool isShortFor(const active_job &job) const;

    /// Returns whether a waiting job whose orders the link carries while its caller waits would be too late because of this job.
    bool delaysWaitingJobs(const active_job &job) const;

    /// Returns the time that the orders of all waiting jobs need.
    microseconds waitingDelay() const;

private:
    /// Orders that follow when a step is released.
    struct later_orders {
        steady_time expectedRelease;
        double bytes = 0;
    };

    /// Returns the expected bytes of the job's tasks in the state.
    double bytesOf(const active_job &job, task_state state) const;
    /// Returns the orders of the job's steps that are not released yet, as if its first orders were sent now.
    later_orders laterOrdersOf(const active_job &job) const;
    double laterBytesBefore(steady_time time) const;
    double waitingBytes() const;
    double waitingBytesOf(const active_job &job) const;

    const time_source &m_time;
    link_budget *m_budget;
    const urgency_queue &m_waitingJobs;
    /// By job number.
    std::map<std::uint64_t, later_orders> m_laterOrders;
    /// Orders share copies of their payload until then.
    steady_time m_shortUntil{};
};

}

#endif
