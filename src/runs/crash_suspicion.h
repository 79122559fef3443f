#ifndef AZUREMOOR_RUNS_CRASH_SUSPICION_H
#define AZUREMOOR_RUNS_CRASH_SUSPICION_H

#include <optional>
#include <string_view>

#include "runs/worker_crash_listener.h"

namespace azuremoor
{

/**
 * Remembers what a worker was running when its host began to refuse connections, until it is known whether the worker had crashed.
 *
 * A worker behind a cut that refuses connections runs on. Only the next answer tells the two apart: if the same boot of the worker gives
 * it, nothing had crashed; if another instance or boot does, the worker had.
 */
class crash_suspicion
{
public:
    /// Takes the receiver of what becomes known.
    explicit crash_suspicion(worker_crash_listener &listener);

    /// Suspects a crash, and reports that. Replaces an earlier suspicion of which nothing more has been heard.
    void begin(worker_crash crash);

    /// Removes the run of a task from the suspected crash, because its start has turned out to have reached no worker.
    void removeRun(std::string_view task);

    /// Ends a suspicion, if there is one, because the given worker has answered: a crash of this one is withdrawn, that of another proved.
    void resolve(const worker_identity &answering);

    /// Ends a suspicion against the given worker, in whose place another one answers: the crash is proved, or withdrawn if its runs are not
    /// all over. Returns when it was noticed, or nothing if there was no suspicion.
    std::optional<steady_time> end(const worker_identity &ended, crash_state state);

private:
    void report(crash_state state);

    worker_crash_listener &m_listener;
    std::optional<worker_crash> m_crash;
};

}

#endif
