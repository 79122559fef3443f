#ifndef AZUREMOOR_RUNS_CRASH_LOG_H
#define AZUREMOOR_RUNS_CRASH_LOG_H

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/time_source.h"
#include "messages/messages.h"
#include "runs/worker_crash_listener.h"

namespace azuremoor
{

/// Remembers the latest crashes of an agent's worker, so that entries which connect later learn of them.
class crash_log
{
public:
    /// Maximum number of crashes that are remembered.
    static constexpr std::size_t MAX_CRASHES = 16;

    /// Time after which a crash is forgotten.
    static constexpr seconds RETENTION{30};

    /// The process of the agent distinguishes its crashes from those of others.
    crash_log(const time_source &time, const hello &agent);

    /// Records a crash, or what has become known of it since, and returns its report as of now, with the runs that began last first.
    /// Earlier runs beyond MAX_CRASHED_RUNS are left out.
    crash_report record(const worker_crash &crash);

    /// Returns the reports of the remembered crashes, oldest first, with their ages as of now.
    std::vector<crash_report> reports() const;

    /// Returns the number of crashes that were proved.
    std::uint64_t count() const;

private:
    struct remembered_crash {
        crash_report report;
        steady_time noticedAt;
    };

    /// Returns the report with its age as of now.
    crash_report currentReport(const remembered_crash &crash) const;

    const time_source &m_time;
    /// First part of the identifiers of crashes.
    std::string m_process;
    std::uint64_t m_count = 0;
    std::deque<remembered_crash> m_crashes;
};

}

#endif
