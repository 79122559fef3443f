#include "daemon/process_frame.h"

#include <algorithm>
#include <csignal>

#include "daemon/state_json.h"
#include "transport/http_status.h"

namespace azuremoor
{

namespace
{

/// Interval at which the end of a stop is checked, buffered log lines are written, and the delay of events is probed.
constexpr milliseconds HOUSEKEEPING_INTERVAL{20};
constexpr milliseconds LOOP_REPORT_INTERVAL{1000};

/// Delay of events from which the second is logged: nearly as long as a request may wait to be read in an overload.
constexpr milliseconds MIN_LOGGED_DELAY{15};

/// Time that a process whose planned stop is over takes at most to read and answer the requests that have arrived.
constexpr milliseconds LAST_READS_TIME{200};

/// Exit status of a process whose planned stop had to cut something.
constexpr int CUT_STATUS = 3;

/// Spaces by which each level of a state is indented.
constexpr int STATE_INDENT = 2;

/// Returns the value as text. Bytes that are no UTF-8, which others may have left in a name, are replaced.
std::string jsonText(const nlohmann::json &value, int indent = -1)
{
    return value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

bool process_body::handleOwnRequest(const http_request &)
{
    return false;
}

void process_body::abandonOwnRequest(std::uint64_t)
{
}

process_frame::process_frame(const process_settings &settings, http_limits limits)
    : m_settings(settings)
    , m_log(settings.name, settings.lowestLevel(), m_time)
    , m_http(m_loop, socket_address::parse(settings.http).value(), limits, *this)
    , m_loopDelays(
          m_metrics.addDurations("azuremoor_loop_delay_seconds", "Time that events wait for the processor before they are handled"))
    , m_monitor(m_loop, m_time, m_processor, HOUSEKEEPING_INTERVAL, [this](microseconds delay) {
        m_loopDelays.Observe(std::chrono::duration<double>(delay).count());
    })
{
    std::signal(SIGPIPE, SIG_IGN);
}

int process_frame::run(process_body &body)
{
    m_body = &body;
    m_loop.onSignal(SIGTERM, [this] { beginStop(); });
    m_loop.onSignal(SIGINT, [this] { beginStop(); });
    m_loop.onSignal(SIGHUP, [this] { noteReload(); });
    m_loop.onSignal(SIGUSR1, [this] { dumpState(); });
    m_loop.every(HOUSEKEEPING_INTERVAL, [this] {
        checkStopped();
        m_log.flush();
        m_monitor.probe();
    });
    m_loop.every(LOOP_REPORT_INTERVAL, [this] { reportLoop(); });
    m_log.write(log_level::info, "started", {{"http", m_http.address().text()}});
    m_log.flush();
    m_loop.run();
    m_log.write(log_level::info, "stopped", {{"cut", m_cut}});
    m_log.flush();
    return m_cut ? CUT_STATUS : 0;
}

void process_frame::handleDecision(const journal_entry &line)
{
    m_log.writeDecision(line.event, line.fields);
}

event_loop &process_frame::loop()
{
    return m_loop;
}

const system_time &process_frame::time() const
{
    return m_time;
}

event_log &process_frame::log()
{
    return m_log;
}

http_server &process_frame::http()
{
    return m_http;
}

metrics_page &process_frame::metrics()
{
    return m_metrics;
}

const loop_monitor &process_frame::loopMonitor() const
{
    return m_monitor;
}

void process_frame::handleRequest(const http_request &request)
{
    if (request.path == "/healthz") {
        answerHealth(request);
    } else if (request.path == "/metrics") {
        answerCommon(request, [this] { return http_response{200, "text/plain; version=0.0.4", m_metrics.render(samples()), {}}; });
    } else if (request.path == "/v1/state") {
        answerCommon(request, [this] {
            return http_response{200, "application/json", jsonText(m_body->describeState(), STATE_INDENT), {}};
        });
    } else if (!m_body->handleOwnRequest(request)) {
        m_http.answer(request.id, problemResponse(STATUS_NOT_FOUND, "Not Found", "there is nothing at " + request.path));
    }
}

void process_frame::abandonRequest(std::uint64_t id, connection_end)
{
    m_body->abandonOwnRequest(id);
}

void process_frame::answerHealth(const http_request &request)
{
    answerCommon(request, [this] {
        const std::string reason = m_stopping ? "the process is stopping" : m_body->unhealthyReason();
        const nlohmann::json body = {{"healthy", reason.empty()}, {"reason", reason}};
        return http_response{reason.empty() ? 200 : STATUS_UNAVAILABLE, "application/json", jsonText(body), {}};
    });
}

void process_frame::answerCommon(const http_request &request, const std::function<http_response()> &respond)
{
    if (request.method != "GET" && request.method != "HEAD") {
        http_response problem = problemResponse(STATUS_METHOD_NOT_ALLOWED, "Method Not Allowed", request.path + " answers GET only");
        problem.headers["Allow"] = "GET";
        m_http.answer(request.id, problem);
        return;
    }
    m_http.answer(request.id, respond());
}

void process_frame::beginStop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    m_stopDeadline = m_time.steadyNow() + seconds(m_settings.stopDeadlineS);
    m_log.write(log_level::info, "stopping", {{"deadline_s", m_settings.stopDeadlineS}});
    m_body->beginStop();
}

void process_frame::checkStopped()
{
    if (!m_stopping) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    if (m_endLimit) {
        if (now >= *m_endLimit) {
            m_cut = m_cut || !m_body->hasStopped();
            m_loop.stop();
        }
        return;
    }
    const bool hasStopped = m_body->hasStopped();
    const bool isOverdue = now >= m_stopDeadline;
    if (isOverdue && !hasStopped) {
        m_cut = true;
        m_log.write(log_level::error, "stop_deadline_passed", {{"unfinished", m_body->describeUnfinished()}});
    }
    if (isOverdue || hasStopped) {
        m_endLimit = std::max(m_stopDeadline, now + LAST_READS_TIME);
        queueEnd();
    }
}

void process_frame::queueEnd()
{
    // Timers are handled before requests, so that a process that was suspended, or has little processor time, may have requests to read.
    // The second call comes after the answers to them.
    m_loop.afterReadyEvents([this] { m_loop.afterReadyEvents([this] { endIfStopped(); }); });
}

void process_frame::endIfStopped()
{
    if (m_cut || m_body->hasStopped()) {
        m_loop.stop();
    } else {
        m_endLimit.reset();
    }
}

void process_frame::reportLoop()
{
    const loop_report report = m_monitor.takeReport();
    if (report.maxDelay < MIN_LOGGED_DELAY) {
        return;
    }
    m_log.write(log_level::info,
                "loop_delayed",
                {{"max_delay_us", report.maxDelay.count()},
                 {"processor_us", report.processorTime.count()},
                 {"elapsed_us", report.elapsed.count()},
                 {"processor_share", m_settings.processorShare}});
}

std::vector<metric_sample> process_frame::samples()
{
    std::vector<metric_sample> result = m_body->samples();
    result.push_back(counterSample("azuremoor_processor_seconds_total",
                                   "Processor time that the process used",
                                   std::chrono::duration<double>(m_processor.usedTime()).count()));
    result.push_back(
        gaugeSample("azuremoor_processor_share", "Cores that the VM grants the process; 0 if not known", m_settings.processorShare));
    return result;
}

void process_frame::noteReload()
{
    // All settings are flags and variables of the process: changed ones come into force with its next start.
    m_log.write(log_level::info, "reload", {{"applied", "at the next start"}});
}

void process_frame::dumpState()
{
    m_log.write(log_level::info, "state", {{"state", m_body->describeState()}});
}

}
