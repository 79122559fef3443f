#ifndef AZUREMOOR_EXPLAIN_JOB_TIMELINE_H
#define AZUREMOOR_EXPLAIN_JOB_TIMELINE_H

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace azuremoor
{

/**
 * What happened to one job, from the logs of several processes.
 *
 * Lines about the job itself are put in order and described in words. So is what happened, while the job was under way, to the agents that
 * ran its tasks and to the entries that owned it, since that is mostly the cause of a failure.
 */
class job_timeline
{
public:
    explicit job_timeline(std::string job);

    /// Adds a line of a log. Lines that are not JSON, or not of this form, are counted and skipped.
    void addLine(std::string_view line);

    /// Returns the timeline, one line for each event, and a conclusion at the end.
    std::string text() const;

    /// Returns whether any line is about the job.
    bool isKnown() const;

    /// Returns the number of lines that could not be read.
    std::size_t unreadLines() const;

private:
    struct logged_event {
        std::string time;
        std::string process;
        std::string event;
        nlohmann::json fields;
    };

    bool isAboutJob(const nlohmann::json &fields) const;
    std::vector<const logged_event *> relevantEvents() const;
    bool concernsParticipant(const logged_event &event, const std::set<std::string> &participants) const;
    std::string conclusion() const;

    std::string m_job;
    std::vector<logged_event> m_own;
    /// Events about processes, which may or may not matter to the job.
    std::vector<logged_event> m_others;
    std::size_t m_unread = 0;
};

}

#endif
