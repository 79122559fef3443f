#include "runs/contender_tracker.h"

#include <utility>

namespace azuremoor
{

namespace
{

/// Limit on the remembered workers whose reports are refused. When it is reached, all of them are forgotten.
constexpr std::size_t MAX_REFUSED_WORKERS = 64;

}

contender_tracker::contender_tracker(decision_journal &journal)
    : m_journal(journal)
{
}

contender_verdict contender_tracker::consider(const worker_report &report, const worker_report &current, std::uint64_t nextRenewal)
{
    if (m_refused.contains(report.identity())) {
        return contender_verdict::refused;
    }
    if (m_contender && m_contender->report.identity() == report.identity()) {
        if (report.sequence >= m_contender->report.sequence) {
            m_contender->report = report;
        }
        return contender_verdict::pending;
    }
    m_journal.note("another_worker_reported",
                   {{"worker", current.workerInstance}, {"other", report.workerInstance}, {"address", report.address}});
    m_contender = contender{report, nextRenewal};
    return contender_verdict::ask;
}

void contender_tracker::recordAcceptedRenewal(std::uint64_t renewalNumber, const worker_report &current)
{
    if (!m_contender || renewalNumber < m_contender->questionNumber) {
        return;
    }
    m_journal.note("other_worker_refused", {{"worker", current.workerInstance}, {"other", m_contender->report.workerInstance}});
    if (m_refused.size() >= MAX_REFUSED_WORKERS) {
        m_refused.clear();
    }
    m_refused.insert(m_contender->report.identity());
    m_contender.reset();
}

void contender_tracker::removeDeparted(const std::string &workerInstance)
{
    if (m_contender && m_contender->report.workerInstance == workerInstance) {
        m_contender.reset();
    }
}

void contender_tracker::forgetRefused()
{
    m_refused.clear();
}

void contender_tracker::forgetRefused(const worker_identity &worker)
{
    m_refused.erase(worker);
}

bool contender_tracker::hasContender() const
{
    return m_contender.has_value();
}

std::optional<worker_report> contender_tracker::takeSuccessor(const worker_identity &former)
{
    m_refused = {former};
    const std::optional<contender> successor = std::exchange(m_contender, std::nullopt);
    return successor ? std::optional(successor->report) : std::nullopt;
}

}
