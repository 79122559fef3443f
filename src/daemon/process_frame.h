#ifndef AZUREMOOR_DAEMON_PROCESS_FRAME_H
#define AZUREMOOR_DAEMON_PROCESS_FRAME_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/decision_journal.h"
#include "daemon/process_settings.h"
#include "telemetry/metrics_page.h"
#include "transport/event_loop.h"
#include "transport/http_server.h"
#include "transport/loop_monitor.h"
#include "transport/system_time.h"

namespace azuremoor
{

/// What a process does within its frame.
class process_body
{
public:
    virtual ~process_body() = default;

    /// Returns the state of the process for operators, of bounded size.
    virtual nlohmann::json describeState() = 0;

    /// Returns the metrics that are counted outside the metrics page.
    virtual std::vector<metric_sample> samples() = 0;

    /// Returns why the process cannot do its work now, or an empty text.
    virtual std::string unhealthyReason() = 0;

    /// Handles a request that is not common to all processes. Returns whether the path is known; without an own interface none is.
    virtual bool handleOwnRequest(const http_request &request);

    /// Notes that the client of a request that was taken hung up.
    virtual void abandonOwnRequest(std::uint64_t id);

    /// Begins a planned stop.
    virtual void beginStop() = 0;

    /// Returns whether the planned stop is done.
    virtual bool hasStopped() = 0;

    /// Returns what would be cut if the process ended now.
    virtual nlohmann::json describeUnfinished() = 0;
};

/**
 * What all daemons have in common: the loop, HTTP with health, metrics and state, logs, and stopping on a signal.
 */
class process_frame : private http_handler, public journal_listener
{
public:
    process_frame(const process_settings &settings, http_limits limits);

    /// Runs the process until it has stopped. Returns its exit status.
    int run(process_body &body);

    /// Logs a decision as an event of its own.
    void handleDecision(const journal_entry &line) override;

    event_loop &loop();
    const system_time &time() const;
    event_log &log();
    http_server &http();
    metrics_page &metrics();

    /// Returns how long events wait for the processor.
    const loop_monitor &loopMonitor() const;

private:
    void handleRequest(const http_request &request) override;
    void abandonRequest(std::uint64_t id, connection_end end) override;
    void answerHealth(const http_request &request);
    void answerCommon(const http_request &request, const std::function<http_response()> &respond);
    void beginStop();
    void checkStopped();
    /// Ends the process after what has arrived was read and what needs no work was answered, if its planned stop is still over then.
    void queueEnd();
    void endIfStopped();
    void reportLoop();
    std::vector<metric_sample> samples();
    void noteReload();
    void dumpState();

    process_settings m_settings;
    system_time m_time;
    process_clock m_processor;
    event_loop m_loop;
    event_log m_log;
    metrics_page m_metrics;
    http_server m_http;
    prometheus::Histogram &m_loopDelays;
    loop_monitor m_monitor;
    process_body *m_body = nullptr;
    bool m_stopping = false;
    bool m_cut = false;
    steady_time m_stopDeadline;
    /// Time until which the process waits for the last requests, while its end is queued.
    std::optional<steady_time> m_endLimit;
};

}

#endif
