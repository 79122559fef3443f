#include "runs/crash_suspicion.h"

#include <utility>

namespace azuremoor
{

crash_suspicion::crash_suspicion(worker_crash_listener &listener)
    : m_listener(listener)
{
}

void crash_suspicion::begin(worker_crash crash)
{
    crash.state = crash_state::suspected;
    m_crash = std::move(crash);
    m_listener.handleWorkerCrash(*m_crash);
}

void crash_suspicion::removeRun(std::string_view task)
{
    if (m_crash) {
        std::erase_if(m_crash->runs, [task](const crashed_run &run) { return run.task == task; });
    }
}

void crash_suspicion::resolve(const worker_identity &answering)
{
    if (m_crash) {
        report(m_crash->worker == answering ? crash_state::withdrawn : crash_state::proved);
    }
}

std::optional<steady_time> crash_suspicion::end(const worker_identity &ended, crash_state state)
{
    if (!m_crash || m_crash->worker != ended) {
        return std::nullopt;
    }
    const steady_time noticedAt = m_crash->noticedAt;
    report(state);
    return noticedAt;
}

void crash_suspicion::report(crash_state state)
{
    worker_crash crash = *std::exchange(m_crash, std::nullopt);
    // A crash that has turned out to have hit no runs concerns nobody.
    crash.state = crash.runs.empty() ? crash_state::withdrawn : state;
    m_listener.handleWorkerCrash(crash);
}

}
