#include "runs/crash_suspicion.h"

#include <utility>

namespace azuremoor
{

void crash_suspicion::begin(worker_crash crash)
{
    m_crash = std::move(crash);
}

void crash_suspicion::removeRun(std::string_view task)
{
    if (m_crash) {
        std::erase_if(m_crash->runs, [task](const crashed_run &run) { return run.task == task; });
    }
}

bool crash_suspicion::isAgainst(const worker_identity &worker) const
{
    return m_crash && m_crash->worker == worker;
}

std::optional<worker_crash> crash_suspicion::resolve(const worker_identity &answering)
{
    const bool isSame = isAgainst(answering);
    std::optional<worker_crash> crash = take();
    return isSame ? std::nullopt : std::move(crash);
}

std::optional<worker_crash> crash_suspicion::confirm(const worker_identity &ended)
{
    return isAgainst(ended) ? take() : std::nullopt;
}

std::optional<worker_crash> crash_suspicion::take()
{
    std::optional<worker_crash> crash = std::exchange(m_crash, std::nullopt);
    return crash && !crash->runs.empty() ? std::move(crash) : std::nullopt;
}

}
