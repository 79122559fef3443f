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
    /// Suspects a crash. Replaces an earlier suspicion of which nothing more has been heard.
    void begin(worker_crash crash);

    /// Removes the run of a task from the suspected crash, because its start has turned out to have reached no worker.
    void removeRun(std::string_view task);

    /// Returns whether a crash of this worker is suspected.
    bool isAgainst(const worker_identity &worker) const;

    /// Ends a suspicion, if there is one, because the given worker has answered. Returns the crash if that proves it
    /// and it hit any runs.
    std::optional<worker_crash> resolve(const worker_identity &answering);

    /// Ends a suspicion against the given worker, if there is one, because another one answers in its place. Returns the crash
    /// if it hit any runs.
    std::optional<worker_crash> confirm(const worker_identity &ended);

private:
    /// Ends the suspicion, and returns the crash if it hit any runs.
    std::optional<worker_crash> take();

    std::optional<worker_crash> m_crash;
};

}

#endif
