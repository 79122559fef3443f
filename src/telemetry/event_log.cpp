#include "telemetry/event_log.h"

#include <algorithm>
#include <array>
#include <ctime>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace azuremoor
{

namespace
{

/// Lines of one kind of event that a process writes in a second at most.
constexpr std::uint64_t LINES_PER_SECOND = 200;

/// Usual length of a line, in bytes.
constexpr std::size_t TYPICAL_LINE_BYTES = 512;

/// Returns the last decimal digit of a number that is not negative.
char digitOf(int number)
{
    return static_cast<char>('0' + number % 10);
}

std::string formatSecond(std::time_t second)
{
    tm parts{};
    gmtime_r(&second, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    return std::string(text.data(), length);
}

std::string formatTime()
{
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    // Many lines are written in one second, and its text takes longer to make than the rest of a line.
    thread_local std::time_t second = -1;
    thread_local std::string text;
    if (text.empty() || now.tv_sec != second) {
        second = now.tv_sec;
        text = formatSecond(second);
    }
    const auto fraction = static_cast<int>(now.tv_nsec / 1'000'000);
    std::string result = text;
    for (const char character : {'.', digitOf(fraction / 100), digitOf(fraction / 10), digitOf(fraction), 'Z'}) {
        result += character;
    }
    return result;
}

constexpr std::string_view levelName(log_level level)
{
    constexpr std::array<std::string_view, 3> NAMES = {"info", "warning", "error"};
    return NAMES[static_cast<std::size_t>(level)];
}

log_level levelOf(google::LogSeverity severity)
{
    if (severity <= google::GLOG_INFO) {
        return log_level::info;
    }
    return severity == google::GLOG_WARNING ? log_level::warning : log_level::error;
}

std::string dump(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

constexpr bool needsNoEscape(char character)
{
    return character >= ' ' && character <= '~' && character != '"' && character != '\\';
}

constexpr std::size_t CHARACTER_COUNT = 256;

/// Whether each character needs no escape, by its value as an unsigned number.
constexpr std::array<bool, CHARACTER_COUNT> NEEDS_NO_ESCAPE = [] {
    std::array<bool, CHARACTER_COUNT> result{};
    for (std::size_t value = 0; value < CHARACTER_COUNT; ++value) {
        result[value] = needsNoEscape(static_cast<char>(value));
    }
    return result;
}();

bool isPlain(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char character) { return NEEDS_NO_ESCAPE[static_cast<unsigned char>(character)]; });
}

/// Appends the text as a JSON string. Most texts are plain ASCII and need no escaping.
void appendString(std::string &line, std::string_view text)
{
    if (!isPlain(text)) {
        line += dump(text);
        return;
    }
    line += '"';
    line += text;
    line += '"';
}

void appendMember(std::string &line, std::string_view name, std::string_view value)
{
    line += ',';
    appendString(line, name);
    line += ':';
    appendString(line, value);
}

}

/// Passes on what other code logs through glog.
class event_log::glog_sink : public google::LogSink
{
public:
    explicit glog_sink(event_log &log)
        : m_log(log)
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
        m_log.write(levelOf(severity), "message", {{"text", std::string_view(message, length)}});
    }

private:
    event_log &m_log;
};

event_log::event_log(const std::string &process, log_level lowest, const time_source &time, int descriptor)
    : m_time(time)
    , m_budget(LINES_PER_SECOND)
    , m_process(process)
    , m_lowest(lowest)
    , m_writer(descriptor)
    , m_sink(std::make_unique<glog_sink>(*this))
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
    std::string line = beginLine(level, event, *omitted);
    for (const auto &[name, value] : fields.items()) {
        line += ',';
        appendString(line, name);
        line += ':';
        line += dump(value);
    }
    line += "}\n";
    addLine(level, event, line);
}

void event_log::writeDecision(std::string_view event, const journal_fields &fields)
{
    if (log_level::info < m_lowest) {
        return;
    }
    const std::optional<std::uint64_t> omitted = m_budget.spend(event, m_time.steadyNow());
    if (!omitted) {
        return;
    }
    std::string line = beginLine(log_level::info, event, *omitted);
    for (const auto &[name, value] : fields) {
        appendMember(line, name, value);
    }
    line += "}\n";
    addLine(log_level::info, event, line);
}

void event_log::flush()
{
    m_writer.flush();
}

std::uint64_t event_log::lostLines() const
{
    return m_lostLines;
}

std::string event_log::beginLine(log_level level, std::string_view event, std::uint64_t omitted) const
{
    std::string line;
    line.reserve(TYPICAL_LINE_BYTES);
    line += "{\"time\":";
    appendString(line, formatTime());
    appendMember(line, "severity", levelName(level));
    appendMember(line, "process", m_process);
    appendMember(line, "event", event);
    if (omitted > 0) {
        line += ",\"omitted\":" + std::to_string(omitted);
    }
    return line;
}

void event_log::addLine(log_level level, std::string_view event, std::string_view line)
{
    if (!m_writer.add(line)) {
        ++m_lostLines;
        m_budget.noteLost(event);
    } else if (level > log_level::info) {
        m_writer.flush();
    }
}

}
