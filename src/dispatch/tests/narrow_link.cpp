#include "dispatch/tests/narrow_link.h"

#include "messages/codec.h"

namespace azuremoor::testing
{

namespace
{

constexpr task_shape CAPACITY{1'000'000, 1'000'000, 0};
constexpr milliseconds RUN_TIME{60};
constexpr milliseconds HEARTBEAT_INTERVAL{100};
constexpr milliseconds TICK_INTERVAL{15};
constexpr milliseconds CALLER_WAIT{1500};

/// Longest time from the sending of a request to its refusal that counts as at once: the request and the refusal wait behind other messages
/// on the link for up to LINK_BURST each.
constexpr milliseconds PROMPT_REFUSAL_TIME{40};

/// Bytes of a request without its payload, and of an answer: HTTP headers and a short body.
constexpr std::size_t REQUEST_BYTES = 250;
constexpr std::size_t ANSWER_BODY_BYTES = 60;

/// Length before each message.
constexpr std::size_t FRAME_BYTES = 4;

constexpr double BITS_PER_BYTE = 8;
constexpr double MICROSECONDS_PER_SECOND = 1'000'000;

std::size_t bytesOnLink(const message &value)
{
    return encodeMessage(value).size() + FRAME_BYTES + PACKET_BYTES;
}

}

narrow_link::narrow_link(const narrow_link_load &load)
    : m_load(load)
    , m_journal(m_time)
    , m_link(m_time, load.isRateKnown ? load.bitsPerSecond : 0)
    , m_outbox(*this, m_link)
    , m_pool(m_time, {}, m_outbox, m_journal)
    , m_placement(m_time, "dc", 1, 1)
    , m_dispatcher(m_time, m_pool, m_placement, m_admission, m_stragglers, m_localLoad, *this, m_journal, nullptr, nullptr, &m_link)
{
    m_pool.setListener(m_dispatcher);
    m_route.name = "queue";
    m_route.service = "desk";
    m_route.maxAttempts = 2;
    m_route.slackFactor = 1.6;
    m_route.targetLatency = milliseconds(60);
    for (std::size_t index = 0; index < load.agents; ++index) {
        addAgent("agent-" + std::to_string(index));
    }
}

narrow_link_result narrow_link::run(microseconds duration)
{
    sendHeartbeats();
    tick();
    sendJobs(m_time.steadyNow() + duration);
    m_time.run(duration + seconds(4));
    m_result.orders = m_dispatcher.counters().orders;
    m_result.payloadSharingOrders = m_dispatcher.counters().payloadSharingOrders;
    m_result.countedOrderBytes = m_link.orderedBytes();
    m_result.refusals = m_dispatcher.refusals();
    m_result.unanswered = m_result.jobs - m_result.servedInTime - m_result.servedLate - m_result.refused - m_result.failed;
    return m_result;
}

void narrow_link::send(const std::string &peer, message value)
{
    const std::size_t bytes = bytesOnLink(value);
    if (const auto *orders = std::get_if<start_runs>(&value)) {
        m_result.orderBytes += bytes;
        passOut(bytes, [this, peer, received = *orders] { startRuns(peer, received); });
    } else if (const auto *answer = std::get_if<pong>(&value)) {
        passOut(bytes, [this, sent = steady_time(microseconds(answer->echoedMicroseconds))] {
            m_result.slowestHeartbeat = std::max(m_result.slowestHeartbeat, m_time.steadyNow() - sent);
        });
    } else {
        passOut(bytes, [] {});
    }
}

void narrow_link::answerRequest(std::uint64_t request, const job_answer &answer)
{
    m_link.recordOther(approximateAnswerBytes(ANSWER_BODY_BYTES));
    passOut(approximateAnswerBytes(ANSWER_BODY_BYTES), [this, request, answer] { recordAnswer(request, answer); });
}

void narrow_link::addAgent(const std::string &name)
{
    m_pool.connectAgent({name, member_role::agent, 1, "dc", ""});
    worker_status status;
    status.ready = true;
    status.worker = name + "-worker";
    status.service = "desk";
    status.capacity = CAPACITY;
    status.free = CAPACITY;
    m_pool.updateStatus(name, status);
}

void narrow_link::sendJobs(steady_time end)
{
    if (m_time.steadyNow() >= end) {
        return;
    }
    const std::uint64_t request = ++m_result.jobs;
    m_sentAt[request] = m_time.steadyNow();
    passIn(REQUEST_BYTES + m_load.payloadBytes + PACKET_BYTES, [this, request] { submit(request); });
    m_time.after(microseconds(static_cast<std::int64_t>(MICROSECONDS_PER_SECOND / m_load.jobsPerSecond)), [this, end] { sendJobs(end); });
}

void narrow_link::submit(std::uint64_t request)
{
    job_spec spec;
    spec.id = "00112233445566" + std::to_string(request);
    spec.payload = std::to_string(request);
    spec.payload.resize(m_load.payloadBytes, 'x');
    step_spec step;
    step.count = m_load.firstTasks;
    step.shape = {100, 64, 0};
    step.estimate = RUN_TIME;
    spec.steps = {step};
    if (m_load.secondTasks > 0) {
        step.count = m_load.secondTasks;
        step.dependsOn = {0};
        spec.steps.push_back(step);
    }
    const steady_time now = m_time.steadyNow();
    m_dispatcher.submit(request, std::move(spec), m_route, now, now + CALLER_WAIT);
    m_dispatcher.placeWaitingTasks();
}

void narrow_link::sendHeartbeats()
{
    ++m_heartbeatRound;
    for (const auto &[agent, worker] : m_pool.workers()) {
        if (!worker.runs.empty() || m_heartbeatRound % IDLE_HEARTBEAT_INTERVALS == 0) {
            receiveHeartbeat(agent);
        }
    }
    m_time.after(HEARTBEAT_INTERVAL, [this] { sendHeartbeats(); });
}

void narrow_link::tick()
{
    m_pool.tick();
    m_dispatcher.tick();
    m_dispatcher.placeWaitingTasks();
    m_time.after(TICK_INTERVAL, [this] { tick(); });
}

void narrow_link::startRuns(const std::string &agent, const start_runs &orders)
{
    for (const run_order &order : orders.orders) {
        m_time.after(RUN_TIME, [this, agent, sequence = order.sequence] { endRun(agent, sequence); });
    }
}

void narrow_link::endRun(const std::string &agent, std::uint64_t sequence)
{
    // An agent writes both at once.
    const run_results results{++m_resultNumbers[agent], {{sequence, run_outcome::done}}};
    const room_update update{CAPACITY, sequence, {}};
    passIn(bytesOnLink(results) + bytesOnLink(update) - PACKET_BYTES, [this, agent, results, update] {
        m_pool.receiveResults(agent, results);
        m_pool.updateFreeCapacity(agent, update);
        m_dispatcher.placeWaitingTasks();
    });
}

void narrow_link::recordAnswer(std::uint64_t request, const job_answer &answer)
{
    const microseconds elapsed = m_time.steadyNow() - m_sentAt.at(request);
    if (elapsed > CALLER_WAIT) {
        return;
    }
    if (answer.kind == answer_kind::completed) {
        ++(elapsed <= objective() ? m_result.servedInTime : m_result.servedLate);
    } else if (answer.kind == answer_kind::refused_full) {
        ++m_result.refused;
        m_result.lateRefusals += elapsed > PROMPT_REFUSAL_TIME ? 1 : 0;
        m_result.refusedWithTime += answer.retryAt > m_time.steadyNow() ? 1 : 0;
    } else {
        ++m_result.failed;
    }
}

microseconds narrow_link::objective() const
{
    const int steps = m_load.secondTasks > 0 ? 2 : 1;
    return microseconds(static_cast<std::int64_t>(steps * microseconds(RUN_TIME).count() * m_route.slackFactor)) + m_route.targetLatency;
}

void narrow_link::passOut(std::size_t bytes, std::function<void()> arrive)
{
    m_result.sentBytes += bytes;
    const steady_time now = m_time.steadyNow();
    m_result.longestQueue = std::max(m_result.longestQueue, std::max(m_outBusyUntil, now) - now);
    m_outBusyUntil = std::max(m_outBusyUntil, now) + timeFor(bytes);
    m_time.after(m_outBusyUntil - now, std::move(arrive));
}

void narrow_link::passIn(std::size_t bytes, std::function<void()> arrive)
{
    m_result.receivedBytes += bytes;
    const steady_time now = m_time.steadyNow();
    m_inBusyUntil = std::max(m_inBusyUntil, now) + timeFor(bytes);
    m_time.after(m_inBusyUntil - now, std::move(arrive));
}

void narrow_link::receiveHeartbeat(const std::string &agent)
{
    const ping heartbeat{m_time.steadyNow().time_since_epoch().count(), 0};
    passIn(bytesOnLink(heartbeat), [this, agent, heartbeat] {
        m_pool.recordHeartbeat(agent, heartbeat);
        m_outbox.send(agent, pong{heartbeat.sentMicroseconds, 0, -1, {}, false});
        m_dispatcher.placeWaitingTasks();
    });
}

microseconds narrow_link::timeFor(std::size_t bytes) const
{
    return microseconds(
        static_cast<std::int64_t>(static_cast<double>(bytes) * BITS_PER_BYTE / m_load.bitsPerSecond * MICROSECONDS_PER_SECOND));
}

}
