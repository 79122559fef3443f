#ifndef AZUREMOOR_RUNS_FOREIGN_RUNS_H
#define AZUREMOOR_RUNS_FOREIGN_RUNS_H

#include <map>
#include <vector>

#include "runs/run_table.h"
#include "runs/worker_client.h"

namespace azuremoor
{

/// The runs of a worker that this process did not order, such as those of an earlier agent process. They have to be stopped.
class foreign_runs
{
public:
    /// Returns whether the worker's last list had any.
    bool hasAny() const;

    /// Reads a list of the worker's runs, of which the table has those that this process ordered. Returns the others whose stop is due: at
    /// once, and again at intervals while they are listed.
    std::vector<run_key> update(const std::vector<active_run> &active, const run_table &ordered, steady_time now);

private:
    bool m_hasAny = false;
    /// Time of the next stop attempt for each run.
    std::map<run_key, steady_time> m_nextStops;
};

}

#endif
