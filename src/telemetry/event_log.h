#ifndef AZUREMOOR_TELEMETRY_EVENT_LOG_H
#define AZUREMOOR_TELEMETRY_EVENT_LOG_H

#include <memory>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>
#include <unistd.h>

#include "base/decision_journal.h"
#include "base/time_source.h"
#include "telemetry/line_budget.h"
#include "telemetry/line_writer.h"

namespace azuremoor
{

/// How much an event matters to an operator.
enum class log_level {
    info = 0,
    warning = 1,
    error = 2,
};

/**
 * Writes the events of a process to standard output as one JSON object a line.
 *
 * Nothing is written to files. What other code logs through glog comes out in the same form, as the event `message`. Each kind of event
 * has a budget of lines, and a line that the reader has no room for is dropped: the next one of its kind says how many are missing, in
 * the field `omitted`. Lines are buffered until `flush()`, but for warnings and errors.
 */
class event_log
{
public:
    /// Takes the name of the process, which every line carries, the lowest level that is written, and where to write.
    event_log(const std::string &process, log_level lowest, const time_source &time, int descriptor = STDOUT_FILENO);
    ~event_log();
    event_log(const event_log &) = delete;
    event_log &operator=(const event_log &) = delete;

    /// Writes an event with a stable name and its fields.
    void write(log_level level, std::string_view event, const nlohmann::json &fields);

    /// Writes a decision as an event of level `info`. The fields are texts.
    void writeDecision(std::string_view event, const journal_fields &fields);

    /// Writes the buffered lines, as far as the reader has room for them.
    void flush();

    /// Returns the number of lines that were dropped because the reader had no room.
    std::uint64_t lostLines() const;

private:
    class glog_sink;

    /// Returns the beginning of a line: an open object with the members that every line has, and `omitted` if that is not 0.
    std::string beginLine(log_level level, std::string_view event, std::uint64_t omitted) const;
    void addLine(log_level level, std::string_view event, std::string_view line);

    const time_source &m_time;
    line_budget m_budget;
    std::string m_process;
    log_level m_lowest;
    line_writer m_writer;
    std::uint64_t m_lostLines = 0;
    std::unique_ptr<glog_sink> m_sink;
};

}

#endif
