#include "dispatch/link_admission.h"

#include <algorithm>
#include <numeric>

namespace azuremoor
{

namespace
{

/// Time for which orders share copies of their payload after the link was short. Without it, copies would take the time that sharing has
/// freed.
constexpr microseconds SHORTAGE_MEMORY = seconds(1);

}

link_admission::link_admission(const time_source &time, link_budget *budget, const urgency_queue &waitingJobs)
    : m_time(time)
    , m_budget(budget)
    , m_waitingJobs(waitingJobs)
{
}

bool link_admission::isLimited() const
{
    return m_budget != nullptr && m_budget->isLimited();
}

bool link_admission::canBegin(const active_job &job) const
{
    return !isLimited() || m_budget->canBegin(waitingBytesOf(job));
}

bool link_admission::isShortOfCopies(const active_job &job)
{
    if (!isLimited()) {
        return false;
    }
    const steady_time now = m_time.steadyNow();
    if (!m_budget->holdsCopies(job.spec.payload.size(), job.waitingTaskCount())) {
        m_shortUntil = now + SHORTAGE_MEMORY;
        return true;
    }
    return now < m_shortUntil;
}

bool link_admission::takeOrder(const start_runs *batch, const run_order &order, bool isFirst)
{
    if (m_budget == nullptr) {
        return true;
    }
    const order_bytes bytes = bytesOfOrder(batch, order);
    if (!isFirst && !m_budget->canFollow(bytes.bytes)) {
        return false;
    }
    m_budget->recordOrder(bytes);
    return true;
}

void link_admission::recordQueued(const active_job &job)
{
    if (!isLimited()) {
        return;
    }
    const later_orders later = laterOrdersOf(job);
    if (later.bytes > 0) {
        m_laterOrders[job.number] = later;
    } else {
        m_laterOrders.erase(job.number);
    }
}

void link_admission::forget(std::uint64_t jobNumber)
{
    m_laterOrders.erase(jobNumber);
}

microseconds link_admission::expectedDelay(const active_job &job) const
{
    if (!isLimited()) {
        return microseconds(0);
    }
    double bytes = laterBytesBefore(job.lastUsefulStart()) + waitingBytesOf(job);
    m_waitingJobs.visitByUrgency(
        [this, &job, &bytes](const active_job &waiting) { bytes += urgency_queue::isBefore(waiting, job) ? waitingBytesOf(waiting) : 0; });
    return m_budget->delayOf(bytes);
}

bool link_admission::isShortFor(const active_job &job) const
{
    const microseconds delay = expectedDelay(job);
    if (delay <= microseconds(0)) {
        return false;
    }
    const bool isIdle = waitingBytes() + laterBytesBefore(job.lastUsefulStart()) <= 0 && canBegin(job);
    if (isIdle) {
        return false;
    }
    // The critical path holds run times only. The request has used the link before it arrived, and the orders of later steps need it.
    const double otherBytes = static_cast<double>(job.spec.payload.size()) + bytesOf(job, task_state::blocked);
    const microseconds otherTransfers = m_budget->transferTime(otherBytes);
    return delay > maxExpectedWait(job.lastUsefulStart() - m_time.steadyNow() - LINK_BURST - otherTransfers);
}

bool link_admission::delaysWaitingJobs(const active_job &job) const
{
    if (!isLimited()) {
        return false;
    }
    const double ownBytes = waitingBytesOf(job);
    const later_orders ownLater = laterOrdersOf(job);
    const double allBytes = laterBytesBefore(steady_time::max()) + waitingBytes() + ownBytes + ownLater.bytes;
    if (m_budget->delayOf(allBytes) <= microseconds(0)) {
        return false;
    }
    const steady_time now = m_time.steadyNow();
    double bytes = 0;
    bool isAnyDelayed = false;
    m_waitingJobs.visitByUrgency([&](const active_job &waiting) {
        bytes += waitingBytesOf(waiting);
        if (isAnyDelayed || urgency_queue::isBefore(waiting, job)) {
            return;
        }
        const microseconds slack = waiting.lastUsefulStart() - now - LINK_BURST;
        const double bytesAhead = bytes + laterBytesBefore(waiting.lastUsefulStart());
        const double addedBytes = ownBytes + (ownLater.expectedRelease <= waiting.lastUsefulStart() ? ownLater.bytes : 0);
        isAnyDelayed = m_budget->delayOf(bytesAhead) <= slack && m_budget->delayOf(bytesAhead + addedBytes) > maxExpectedWait(slack);
    });
    return isAnyDelayed;
}

microseconds link_admission::waitingDelay() const
{
    return isLimited() ? m_budget->delayOf(waitingBytes()) : microseconds(0);
}

double link_admission::waitingBytes() const
{
    double bytes = 0;
    m_waitingJobs.visitByUrgency([this, &bytes](const active_job &waiting) { bytes += waitingBytesOf(waiting); });
    return bytes;
}

double link_admission::bytesOf(const active_job &job, task_state state) const
{
    const auto orders = std::count_if(job.tasks.begin(), job.tasks.end(), [state](const active_task &task) { return task.state == state; });
    return m_budget->expectedBytes(job.spec.payload.size(), static_cast<std::size_t>(orders));
}

link_admission::later_orders link_admission::laterOrdersOf(const active_job &job) const
{
    microseconds untilRelease{0};
    for (const active_task &task : job.tasks) {
        const bool isUnderWay = task.state == task_state::waiting || task.state == task_state::running;
        untilRelease = isUnderWay ? std::max(untilRelease, job.spec.steps[task.step].estimate) : untilRelease;
    }
    return {m_time.steadyNow() + untilRelease, bytesOf(job, task_state::blocked)};
}

double link_admission::laterBytesBefore(steady_time time) const
{
    return std::accumulate(m_laterOrders.begin(), m_laterOrders.end(), 0.0, [time](double sum, const auto &each) {
        return sum + (each.second.expectedRelease <= time ? each.second.bytes : 0);
    });
}

double link_admission::waitingBytesOf(const active_job &job) const
{
    return bytesOf(job, task_state::waiting);
}

}
