#ifndef AZUREMOOR_JOBS_JOB_OWNER_SETTINGS_H
#define AZUREMOOR_JOBS_JOB_OWNER_SETTINGS_H

#include <cstddef>
#include <string>

#include "base/protocol_rules.h"
#include "jobs/admission_rules.h"

namespace azuremoor
{

/// Settings of a job owner.
struct job_owner_settings {
    std::string name;
    std::string dataCentre;
    admission_bounds bounds;
    /// Time within which a disconnected agent may reconnect. Afterwards the outcome of its tasks is reported as may_have_run.
    microseconds agentGrace = seconds(3);
    /// Number of stored jobs, including closed ones, from which new jobs are refused.
    std::size_t maxJobs = 200'000;
    /// A new job is refused if its unfinished tasks and the waiting tasks together exceed this number.
    std::size_t maxWaitingTasks = 100'000;
    /// All enabled except in tests, which disable single rules.
    protocol_rules rules;
};

}

#endif
