#ifndef AZUREMOOR_CTL_EXPLAIN_COMMAND_H
#define AZUREMOOR_CTL_EXPLAIN_COMMAND_H

#include <string>
#include <vector>

#include "ctl/ctl_client.h"

namespace azuremoor
{

/// Prints what became of a job, from the log files of several processes.
exit_status explainFromLogs(const std::string &job, const std::vector<std::string> &files);

}

#endif
