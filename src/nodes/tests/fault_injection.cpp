#include "fault_injection.h"

#include <algorithm>

#include "base/submission_id.h"

namespace azuremoor::testing
{

namespace
{

constexpr microseconds RESTART_TIME = milliseconds(1200);
constexpr microseconds PAUSE_TIME = milliseconds(3000);
constexpr microseconds OUTAGE_TIME = milliseconds(2500);
constexpr microseconds TASK_TIME = milliseconds(300);

fake_fleet_settings smallFleet(const protocol_rules &rules)
{
    fake_fleet_settings settings;
    settings.entries = 2;
    settings.agents = 2;
    settings.slots = 2;
    settings.dataCentres = 1;
    settings.tickInterval = milliseconds(50);
    settings.rules = rules;
    return settings;
}

std::string faultName(fault_kind kind)
{
    switch (kind) {
    case fault_kind::message_lost:
        return "message lost";
    case fault_kind::message_doubled:
        return "message doubled";
    case fault_kind::message_delayed:
        return "message delayed";
    case fault_kind::node_restarted:
        return "restart of ";
    case fault_kind::node_paused:
        return "pause of ";
    case fault_kind::acknowledgement_lost:
        return "acknowledgement lost";
    case fault_kind::log_down:
        break;
    }
    return "log down";
}

}

std::string injected_fault::describe() const
{
    return faultName(kind) + node + " at step " + std::to_string(step);
}

fault_injection::fault_injection(std::vector<injected_fault> faults, const protocol_rules &rules)
    : m_faults(std::move(faults))
    , m_fleet(smallFleet(rules))
{
}

fault_injection_result fault_injection::run()
{
    if (!m_fleet.runUntilReady(seconds(10))) {
        m_result.violations.push_back("the fleet did not become ready");
        return m_result;
    }
    m_fleet.run(milliseconds(300));
    m_fleet.setFaults([this](const std::string &, const std::string &, const message &value) { return onMessage(value); });
    m_countSteps = true;
    const job_request first = jobOwnedBy("entry-1", 3);
    const job_request second = jobOwnedBy("entry-2", 2);
    m_fleet.submit("entry-2", first);
    m_fleet.submit("entry-2", second);
    for (const microseconds delay : {milliseconds(250), milliseconds(1500), milliseconds(4500)}) {
        m_fleet.time().after(delay, [this, first, second] {
            m_fleet.submit("entry-1", first);
            m_fleet.submit("entry-1", second);
        });
    }
    m_fleet.run(seconds(6));
    m_countSteps = false;
    m_fleet.run(seconds(4));
    m_fleet.checkAnswered();
    m_result.violations = m_fleet.checker().violations();
    return m_result;
}

std::vector<injected_fault> fault_injection::possibleFaultsAt(std::size_t step)
{
    std::vector<injected_fault> faults;
    for (const fault_kind kind : {fault_kind::message_lost,
                                  fault_kind::message_doubled,
                                  fault_kind::message_delayed,
                                  fault_kind::acknowledgement_lost,
                                  fault_kind::log_down}) {
        faults.push_back({step, kind, {}});
    }
    for (const std::string node : {"entry-1", "entry-2", "agent-1", "agent-2"}) {
        faults.push_back({step, fault_kind::node_restarted, node});
        faults.push_back({step, fault_kind::node_paused, node});
    }
    return faults;
}

delivery_fault fault_injection::onMessage(const message &value)
{
    if (!m_countSteps || std::holds_alternative<ping>(value) || std::holds_alternative<pong>(value)) {
        return delivery_fault::none;
    }
    checkStep();
    const std::size_t step = m_result.steps++;
    delivery_fault result = delivery_fault::none;
    for (const injected_fault &fault : m_faults) {
        if (fault.step != step) {
            continue;
        }
        if (fault.kind == fault_kind::message_lost) {
            result = delivery_fault::lost;
        } else if (fault.kind == fault_kind::message_doubled) {
            result = delivery_fault::doubled;
        } else if (fault.kind == fault_kind::message_delayed) {
            result = delivery_fault::delayed;
        } else {
            inject(fault);
        }
    }
    return result;
}

void fault_injection::inject(const injected_fault &fault)
{
    // The process is still sending this message, so the fault is injected immediately afterwards.
    m_fleet.time().after(microseconds(1), [this, fault] {
        switch (fault.kind) {
        case fault_kind::node_restarted:
            m_fleet.kill(fault.node);
            m_fleet.time().after(RESTART_TIME, [this, fault] { m_fleet.start(fault.node); });
            break;
        case fault_kind::node_paused:
            m_fleet.pause(fault.node);
            m_fleet.time().after(PAUSE_TIME, [this, fault] { m_fleet.resume(fault.node); });
            break;
        case fault_kind::acknowledgement_lost:
            ++m_fleet.log().loseAcknowledgements;
            break;
        default:
            m_fleet.log().down = true;
            m_fleet.time().after(OUTAGE_TIME, [this] { m_fleet.log().down = false; });
            break;
        }
    });
}

void fault_injection::checkStep()
{
    m_result.states.insert(std::hash<std::string>()(m_fleet.describe()));
    std::map<std::pair<std::uint32_t, std::uint64_t>, int> ownerCounts;
    for (const std::string &name : m_fleet.entryNames()) {
        if (!m_fleet.isUp(name)) {
            continue;
        }
        for (const shard_epoch &owned : m_fleet.entry(name).shardStates().ownedShards()) {
            if (++ownerCounts[{owned.shard, owned.epoch}] > 1) {
                m_fleet.checker().fail("shard " + std::to_string(owned.shard) + " is owned twice at epoch " + std::to_string(owned.epoch));
            }
        }
    }
}

job_request fault_injection::jobOwnedBy(const std::string &owner, std::size_t tasks)
{
    job_request job = m_fleet.makeJob(tasks, TASK_TIME, seconds(7));
    for (int tries = 0; tries < 1000 && m_fleet.ownerOf(job.id) != owner; ++tries) {
        job.id = makeSubmissionId(m_fleet.time().unixNow(), m_fleet.random());
    }
    return job;
}

}
