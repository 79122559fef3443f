#include "dispatch/job_journal.h"

namespace azuremoor
{

namespace
{

/// Returns the time from the job's arrival to one of its orders, in microseconds, or -1 if there was none.
std::int64_t orderAge(const active_job &job, steady_time orderedAt)
{
    return job.statistics.orders > 0 ? (orderedAt - job.arrival).count() : -1;
}

}

job_journal::job_journal(const time_source &time, decision_journal &journal)
    : m_time(time)
    , m_journal(journal)
{
}

void job_journal::noteJoined(const active_job &job, std::uint64_t request, const route &jobRoute)
{
    m_journal.note("job_joined",
                   {{"job", job.spec.id},
                    {"request", std::to_string(request)},
                    {"routing_version", std::to_string(jobRoute.version)},
                    {"admitted_with_version", std::to_string(job.matchedRoute.version)}});
}

void job_journal::noteOrder(const active_job &job, std::uint32_t task, const pooled_worker &worker, bool isLinkShort)
{
    m_journal.note("run_ordered",
                   {{"task", job.taskName(task)},
                    {"run", std::to_string(job.tasks[task].runNumber)},
                    {"agent", worker.agent},
                    {"free_millicores", std::to_string(worker.availableCapacity().milliCores)},
                    {"link_short", isLinkShort ? "yes" : "no"},
                    {"status_age_us", std::to_string((m_time.steadyNow() - worker.statusReceivedAt).count())}});
}

void job_journal::noteRunEnd(const active_job &job, std::uint32_t task, run_outcome outcome, const std::string &agent)
{
    if (outcome == run_outcome::done || outcome == run_outcome::no_room) {
        return;
    }
    m_journal.note("run_ended",
                   {{"job", job.spec.id},
                    {"task", job.taskName(task)},
                    {"run", std::to_string(job.tasks[task].runNumber)},
                    {"outcome", std::string(runOutcomeName(outcome))},
                    {"agent", agent}});
}

void job_journal::noteAnswer(const active_job &job, std::uint64_t request, const job_answer &answer)
{
    m_journal.note("job_answered",
                   {{"job", job.spec.id},
                    {"request", std::to_string(request)},
                    {"queue", job.matchedRoute.name},
                    {"answer", std::string(answerKindName(answer.kind))},
                    {"reason", answer.reason},
                    {"orders", std::to_string(job.statistics.orders)},
                    {"refused_orders", std::to_string(job.statistics.refusedOrders)},
                    {"lost_runs", std::to_string(job.statistics.unsuccessfulRuns)},
                    {"routing_version", std::to_string(job.matchedRoute.version)},
                    {"first_order_us", std::to_string(orderAge(job, job.statistics.firstOrderAt))},
                    {"last_order_us", std::to_string(orderAge(job, job.statistics.lastOrderAt))},
                    {"last_agent", job.statistics.lastAgent},
                    {"after_us", std::to_string((m_time.steadyNow() - job.arrival).count())},
                    {"late_us", std::to_string((m_time.steadyNow() - job.latencyObjective()).count())}});
}

void job_journal::noteDropped(const active_job &job, const job_answer &answer)
{
    m_journal.note("job_dropped",
                   {{"job", job.spec.id},
                    {"reason", answer.reason},
                    {"routing_version", std::to_string(job.matchedRoute.version)},
                    {"orders", std::to_string(job.statistics.orders)},
                    {"first_order_us", std::to_string(orderAge(job, job.statistics.firstOrderAt))}});
}

}
