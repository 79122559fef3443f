#ifndef AZUREMOOR_RUNS_WORKER_CRASH_LISTENER_H
#define AZUREMOOR_RUNS_WORKER_CRASH_LISTENER_H

#include <cstdint>
#include <vector>

#include "messages/crash_messages.h"
#include "runs/worker_client.h"

namespace azuremoor
{

/// Crash of a worker, with the runs that were ordered and may have been under way, also those that were being stopped.
struct worker_crash {
    /// Identifies the crash among those of this agent process.
    std::uint64_t number = 0;
    crash_state state = crash_state::suspected;
    worker_identity worker;
    /// When the worker was first seen to be gone. Its crash may have been proved later.
    steady_time noticedAt;
    /// Their ages are as of `noticedAt`.
    std::vector<crashed_run> runs;
};

/// Receives the crashes of workers.
class worker_crash_listener
{
public:
    virtual ~worker_crash_listener() = default;

    /// Handles a crash with runs: one that is suspected, or one that is proved or withdrawn, suspected before or not. A proof comes before
    /// the results of the runs, unless these had to be reported with the end of the worker's lease.
    virtual void handleWorkerCrash(const worker_crash &crash) = 0;
};

}

#endif
