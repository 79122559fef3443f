#include "telemetry/event_log.h"

#include <algorithm>
#include <array>
#include <ctime>

#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace azuremoor
{

namespace
{

/// Lines of one kind of event that a process writes in a second at most.
constexpr std::uint64_t LINES_PER_SECOND = 200;

/// What a pipe takes without blocking once it is writable, in bytes.
constexpr std::size_t MAX_WRITE_BYTES = 4096;

std::string formatTime()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    tm parts{};
    gmtime_r(&now.tv_sec, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> fraction{};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(now.tv_nsec / 1'000'000) % 1000);
    return std::string(text.data(), length) + fraction.data();
}

constexpr std::string_view severityName(int severity)
{
    if (severity <= google::GLOG_INFO) {
        return "info";
    }
    return severity == google::GLOG_WARNING ? "warning" : "error";
}

std::string toLine(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

}

/// Turns what glog hands over into lines. The lock that glog holds meanwhile keeps lines whole.
class event_log::json_sink : public google::LogSink
{
public:
    json_sink(std::string process, int descriptor)
        : m_process(std::move(process))
        , m_descriptor(descriptor)
    {
    }

    void send(google::LogSeverity severity,
              const char *,
              const char *,
              int,
              const google::LogMessageTime &,
              const char *message,
              std::size_t length) override
    {
        const std::string_view text(message, length);
        std::string line;
        if (!text.empty() && text.front() == '{') {
            line = std::string(text) + '\n';
        } else {
            line = toLine({{"time", formatTime()},
                           {"severity", severityName(severity)},
                           {"process", m_process},
                           {"event", "message"},
                           {"text", text}});
        }
        m_isLost = !writeWhole(line);
        m_lostLines += m_isLost ? 1 : 0;
    }

    /// Returns whether the latest line was dropped.
    bool isLost() const
    {
        return m_isLost;
    }

    std::uint64_t lostLines() const
    {
        return m_lostLines;
    }

    const std::string &process() const
    {
        return m_process;
    }

private:
    /// Writes the line in parts that do not block. Returns whether all of it was written.
    bool writeWhole(std::string_view line) const
    {
        while (!line.empty()) {
            if (!hasRoom()) {
                return false;
            }
            const ssize_t written = ::write(m_descriptor, line.data(), std::min(line.size(), MAX_WRITE_BYTES));
            if (written <= 0) {
                return false;
            }
            line.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    bool hasRoom() const
    {
        pollfd waiting{m_descriptor, POLLOUT, 0};
        return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
    }

    std::string m_process;
    int m_descriptor;
    bool m_isLost = false;
    std::uint64_t m_lostLines = 0;
};

event_log::event_log(const std::string &process, log_level lowest, const time_source &time, int descriptor)
    : m_time(time)
    , m_budget(LINES_PER_SECOND)
    , m_sink(std::make_unique<json_sink>(process, descriptor))
    , m_lowest(lowest)
{
    FLAGS_logtostderr = false;
    FLAGS_alsologtostderr = false;
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity) {
        google::SetLogDestination(severity, "");
    }
    if (!google::IsGoogleLoggingInitialized()) {
        google::InitGoogleLogging("azuremoor");
    }
    google::AddLogSink(m_sink.get());
}

event_log::~event_log()
{
    google::RemoveLogSink(m_sink.get());
}

void event_log::write(log_level level, std::string_view event, const nlohmann::json &fields)
{
    if (level < m_lowest) {
        return;
    }
    const std::optional<std::uint64_t> omitted = m_budget.spend(event, m_time.steadyNow());
    if (!omitted) {
        return;
    }
    nlohmann::json line
        = {{"time", formatTime()}, {"severity", severityName(static_cast<int>(level))}, {"process", m_sink->process()}, {"event", event}};
    line.update(fields);
    if (*omitted > 0) {
        line["omitted"] = *omitted;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    LOG_TO_SINK_BUT_NOT_TO_LOGFILE(m_sink.get(), INFO) << text;
    if (m_sink->isLost()) {
        m_budget.noteLost(event);
    }
}

std::uint64_t event_log::lostLines() const
{
    return m_sink->lostLines();
}

}
