#ifndef AZUREMOOR_CTL_JOB_COMMANDS_H
#define AZUREMOOR_CTL_JOB_COMMANDS_H

#include <string>

#include "ctl/ctl_client.h"

namespace azuremoor
{

/// Commands that submit, follow and cancel jobs.
class job_commands
{
public:
    /// Takes the client, and whether results are printed as JSON instead of in words.
    job_commands(ctl_client &client, bool json);

    /// Submits the job in the file (`-` for standard input) and follows it until it ends.
    exit_status submit(const std::string &file, bool wait);

    /// Prints how the job stands.
    exit_status status(const std::string &jobId);

    /// Cancels the job and prints how it ended.
    exit_status cancel(const std::string &jobId);

    /// Prints why the tasks of the job are where they are.
    exit_status explain(const std::string &jobId);

private:
    exit_status printJob(const incoming_response &response) const;
    exit_status follow(const std::string &jobId);

    ctl_client &m_client;
    bool m_json;
};

}

#endif
