#include "ctl/explain_command.h"

#include <fstream>
#include <iostream>

#include "explain/job_timeline.h"

namespace azuremoor
{

exit_status explainFromLogs(const std::string &job, const std::vector<std::string> &files)
{
    job_timeline timeline(job);
    for (const std::string &file : files) {
        std::ifstream lines(file);
        if (!lines) {
            std::cerr << "azuremoorctl: " << file << " cannot be read" << std::endl;
            return exit_status::usage;
        }
        for (std::string line; std::getline(lines, line);) {
            timeline.addLine(line);
        }
    }
    if (timeline.unreadLines() > 0) {
        std::cerr << "azuremoorctl: " << timeline.unreadLines() << " lines are not log lines of azuremoor" << std::endl;
    }
    if (!timeline.isKnown()) {
        std::cerr << "azuremoorctl: no line tells of job " << job << std::endl;
        return exit_status::failed;
    }
    std::cout << timeline.text();
    return exit_status::success;
}

}
