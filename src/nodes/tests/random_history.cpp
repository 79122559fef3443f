#include "random_history.h"

#include <algorithm>

namespace azuremoor::testing
{

namespace
{

/// Share of messages that are lost, duplicated or delayed.
constexpr double MESSAGE_FAULT_SHARE = 0.004;

fake_fleet_settings fleetSettings(const history_settings &settings)
{
    fake_fleet_settings result;
    result.entries = 3;
    result.agents = 10;
    result.dataCentres = settings.dataCentres;
    result.farDelay = settings.farDelay;
    result.slots = 8;
    result.skew = milliseconds(200);
    result.rules = settings.rules;
    result.seed = settings.seed;
    result.snapshotInterval = seconds(2);
    result.agentLoss = seconds(5);
    return result;
}

}

random_history::random_history(const history_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed * 7919 + 17)
    , m_fleet(fleetSettings(settings))
{
}

history_result random_history::run()
{
    history_result result;
    m_fleet.trace(m_settings.tracedJob);
    if (!m_fleet.runUntilReady(seconds(10))) {
        result.violations.push_back("the fleet did not become ready");
        return result;
    }
    m_fleet.log().retention = seconds(12);
    m_end = m_fleet.time().steadyNow() + m_settings.duration;
    if (m_settings.messageFaults) {
        m_fleet.setFaults([this](const std::string &, const std::string &, const message &) {
            if (!m_messageFaultsEnabled || !randomBool(MESSAGE_FAULT_SHARE)) {
                return delivery_fault::none;
            }
            // One of lost, doubled and delayed.
            return static_cast<delivery_fault>(randomBetween(1, 3));
        });
    }
    scheduleJob();
    scheduleFault();
    m_fleet.run(m_settings.duration);
    endFaults();
    m_fleet.run(seconds(12));
    m_fleet.checkAnswered();
    if (!m_fleet.runUntilReady(seconds(10))) {
        m_fleet.checker().fail("the fleet did not recover after the faults ended: " + m_fleet.describe());
    }
    const job_request last = m_fleet.makeJob(4, milliseconds(50), seconds(5));
    const std::size_t request = m_fleet.submit(randomEntry(), last);
    m_fleet.run(seconds(6));
    if (m_fleet.requests()[request].reply.kind != reply_kind::complete) {
        m_fleet.checker().fail("the job " + last.id + " after the faults did not complete");
    }
    m_fleet.checkAnswered();
    for (const caller_request &asked : m_fleet.requests()) {
        result.complete += asked.answered && asked.reply.kind == reply_kind::complete ? 1 : 0;
        result.failed += asked.answered && asked.reply.kind == reply_kind::failed ? 1 : 0;
        result.refused += asked.answered && asked.reply.kind == reply_kind::refused ? 1 : 0;
        for (const task_outcome &outcome : asked.reply.tasks) {
            result.uncertainTasks += outcome.outcome == verdict::may_have_run ? 1 : 0;
        }
    }
    result.submissions = m_fleet.requests().size();
    result.starts = m_fleet.checker().startCount();
    result.faults = m_faultCount;
    result.violations = m_fleet.checker().violations();
    return result;
}

void random_history::scheduleJob()
{
    m_fleet.time().after(milliseconds(randomBetween(5, 200)), [this] {
        if (m_fleet.time().steadyNow() < m_end) {
            submitJob();
            scheduleJob();
        }
    });
}

void random_history::submitJob()
{
    const microseconds runTime
        = randomBool(0.05) ? microseconds(milliseconds(randomBetween(1000, 4000))) : microseconds(milliseconds(randomBetween(50, 800)));
    job_request job = m_fleet.makeJob(static_cast<std::size_t>(randomBetween(1, 12)), runTime, milliseconds(randomBetween(800, 8000)));
    if (randomBool(0.1)) {
        job.id = "opaque-" + std::to_string(m_settings.seed) + "-" + std::to_string(m_jobs.size());
    }
    if (randomBool(0.1)) {
        job.team = "unknown-team";
    }
    if (randomBool(0.1)) {
        job.selector = "kind=none";
    }
    m_jobs.push_back(job);
    const std::size_t request = m_fleet.submit(randomEntry(), job);
    retryIfNotRun(request, job);
    while (randomBool(0.4)) {
        resubmitLater(job);
    }
    if (randomBool(0.1)) {
        m_fleet.time().after(milliseconds(randomBetween(0, 1000)), [this, job] { m_fleet.cancel(randomEntry(), job.id); });
    }
}

void random_history::resubmitLater(const job_request &job)
{
    m_fleet.time().after(milliseconds(randomBool(0.3) ? 0 : randomBetween(0, 6000)), [this, job] { m_fleet.submit(randomEntry(), job); });
}

void random_history::retryIfNotRun(std::size_t request, job_request job)
{
    m_fleet.time().after(milliseconds(randomBetween(500, 3000)), [this, request, job]() mutable {
        const caller_request &asked = m_fleet.requests()[request];
        const bool refused = asked.reply.kind == reply_kind::refused && asked.reply.refusal == verdict::not_run;
        const bool failed = asked.reply.kind == reply_kind::failed
            && std::all_of(asked.reply.tasks.begin(), asked.reply.tasks.end(), [](const task_outcome &outcome) {
                                return outcome.outcome == verdict::not_run;
                            });
        if (!asked.answered || (!refused && !failed) || job.attempt > 2) {
            return;
        }
        ++job.attempt;
        job.team = "default";
        job.selector = "";
        job.deadlineMilliseconds = unixMilliseconds(m_fleet.time().unixNow() + seconds(3));
        const std::size_t again = m_fleet.submit(randomEntry(), job);
        retryIfNotRun(again, job);
    });
}

void random_history::scheduleFault()
{
    m_fleet.time().after(milliseconds(randomBetween(200, 2500)), [this] {
        if (m_fleet.time().steadyNow() < m_end) {
            injectFault();
            scheduleFault();
        }
    });
}

void random_history::injectFault()
{
    ++m_faultCount;
    const microseconds duration = milliseconds(randomBetween(100, 4500));
    switch (randomBetween(0, 9)) {
    case 0:
        stopAndRestart(randomEntry(), false);
        break;
    case 1:
        stopAndRestart(randomNode(), false);
        break;
    case 2:
        stopAndRestart(randomNode(), true);
        break;
    case 3:
        pauseFor(randomEntry(), duration);
        break;
    case 4:
        pauseFor(randomNode(), duration);
        break;
    case 5:
        partition(duration);
        break;
    case 6:
        disconnectLog(randomEntry(), duration);
        break;
    case 7:
        disturbLog(duration);
        break;
    case 8:
        m_fleet.log().loseAcknowledgements += static_cast<std::uint64_t>(randomBetween(1, 4));
        break;
    default:
        stopAndRestart(randomEntry(), false);
        stopAndRestart(randomNode(), false);
        break;
    }
}

void random_history::stopAndRestart(const std::string &name, bool planned)
{
    if (planned) {
        m_fleet.stop(name);
    } else {
        m_fleet.kill(name);
    }
    m_fleet.time().after(milliseconds(randomBetween(50, 5000)), [this, name] {
        m_fleet.kill(name);
        m_fleet.start(name);
    });
}

void random_history::pauseFor(const std::string &name, microseconds duration)
{
    m_fleet.pause(name);
    m_fleet.time().after(duration, [this, name] { m_fleet.resume(name); });
}

void random_history::partition(microseconds duration)
{
    std::vector<std::string> nodes = m_fleet.entryNames();
    const std::vector<std::string> agents = m_fleet.agentNames();
    nodes.insert(nodes.end(), agents.begin(), agents.end());
    std::vector<std::string> left;
    for (const std::string &name : nodes) {
        if (randomBool(0.4)) {
            left.push_back(name);
        }
    }
    const bool withoutLog = randomBool(0.5);
    for (const std::string &one : left) {
        for (const std::string &two : nodes) {
            if (std::find(left.begin(), left.end(), two) == left.end()) {
                m_fleet.cut(one, two);
                m_fleet.time().after(duration, [this, one, two] { m_fleet.mend(one, two); });
            }
        }
        if (withoutLog) {
            disconnectLog(one, duration);
        }
    }
}

void random_history::disconnectLog(const std::string &name, microseconds duration)
{
    m_fleet.cutLog(name);
    m_fleet.time().after(duration, [this, name] { m_fleet.mendLog(name); });
}

void random_history::disturbLog(microseconds duration)
{
    if (randomBool(0.3)) {
        m_fleet.log().latency = milliseconds(randomBetween(50, 600));
    } else {
        m_fleet.log().down = true;
    }
    m_fleet.time().after(duration, [this] {
        m_fleet.log().down = false;
        m_fleet.log().latency = milliseconds(2);
    });
}

void random_history::endFaults()
{
    m_messageFaultsEnabled = false;
    m_fleet.log().down = false;
    m_fleet.log().latency = milliseconds(2);
    std::vector<std::string> nodes = m_fleet.entryNames();
    const std::vector<std::string> agents = m_fleet.agentNames();
    nodes.insert(nodes.end(), agents.begin(), agents.end());
    for (const std::string &one : nodes) {
        m_fleet.mendLog(one);
        m_fleet.resume(one);
        for (const std::string &two : nodes) {
            m_fleet.mend(one, two);
        }
    }
}

std::string random_history::randomEntry()
{
    return "entry-" + std::to_string(randomBetween(1, 3));
}

std::string random_history::randomNode()
{
    return randomBool(0.4) ? randomEntry() : "agent-" + std::to_string(randomBetween(1, 10));
}

std::int64_t random_history::randomBetween(std::int64_t lowest, std::int64_t highest)
{
    return std::uniform_int_distribution<std::int64_t>(lowest, highest)(m_random);
}

bool random_history::randomBool(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

}
