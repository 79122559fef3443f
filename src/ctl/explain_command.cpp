#include "ctl/explain_command.h"

#include <fstream>
#include <iostream>

#include "explain/job_story.h"

namespace azuremoor
{

exit_status explainFromLogs(const std::string &job, const std::vector<std::string> &files)
{
    job_story story(job);
    for (const std::string &file : files) {
        std::ifstream lines(file);
        if (!lines) {
            std::cerr << "azuremoorctl: " << file << " cannot be read" << std::endl;
            return exit_status::usage;
        }
        for (std::string line; std::getline(lines, line);) {
            story.addLine(line);
        }
    }
    if (story.unreadLines() > 0) {
        std::cerr << "azuremoorctl: " << story.unreadLines() << " lines are not log lines of azuremoor" << std::endl;
    }
    if (!story.isKnown()) {
        std::cerr << "azuremoorctl: no line tells of job " << job << std::endl;
        return exit_status::failed;
    }
    std::cout << story.text();
    return exit_status::success;
}

}
