#ifndef AZUREMOOR_DISPATCH_OUTSTANDING_RUN_H
#define AZUREMOOR_DISPATCH_OUTSTANDING_RUN_H

#include <cstdint>
#include <optional>
#include <string>

#include "base/time_source.h"
#include "messages/messages.h"

namespace azuremoor
{

/// Identifies a task among the jobs of this entry.
struct task_reference {
    /// Number of the job at this entry; see `active_job::number`.
    std::uint64_t job = 0;
    /// Index of the task in its job.
    std::uint32_t task = 0;
};

/// A run that was ordered and whose result has not arrived.
struct outstanding_run {
    task_reference task;
    task_shape shape;
    microseconds estimate{0};
    steady_time orderedAt;
    bool isStopping = false;
    /// Latest progress that the agent reported, in percent; nothing before the first report.
    std::optional<std::uint8_t> percent;
    /// When the progress last increased.
    steady_time lastProgressAt{};
    /// The run's progress has been used as a sample of the worker's speed.
    bool isSampled = false;
    /// See `run_order::origin`.
    std::string origin;
};

}

#endif
