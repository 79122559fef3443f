// Drives the decision object of an agent with a clock and messages of its own: no socket is opened and no time passes.

#include <iostream>

#include "fleet/control_stream_replica.h"
#include "messages/codec.h"
#include "workers/worker_agent.h"

namespace
{

using namespace azuremoor;

class manual_time : public time_source
{
public:
    steady_time steadyNow() const override
    {
        return steady_time(m_passed);
    }

    unix_time unixNow() const override
    {
        return unix_time(seconds(1'800'000'000) + m_passed);
    }

    void advance(microseconds duration)
    {
        m_passed += duration;
    }

private:
    microseconds m_passed{1};
};

class printing_outbox : public worker_outbox
{
public:
    void send(const std::string &peer, message value) override
    {
        std::cout << "to " << peer << ": " << messageName(value) << std::endl;
    }

    void callUpstream(const upstream_call &call) override
    {
        std::cout << "upstream runs " << call.taskName << " of " << call.jobId << std::endl;
        lastCall = call.callId;
    }

    std::uint64_t lastCall = 0;
};

}

int main()
{
    manual_time time;
    printing_outbox outbox;
    freshness_tracker guard(time, seconds(1));
    control_stream_replica stream(guard, "");
    const fleet_member self{"agent-1", member_role::agent, 7, "127.0.0.1:1", "cave-a", "rack-1"};
    const fleet_record joined{"record-1", member_joined{self, time.unixNow()}};
    const std::vector<log_record> records = {{1, encodeRecord(joined)}};
    stream.apply(0, records);
    guard.handleLogRead(time.steadyNow());

    worker_agent agent(time, {"agent-1", 7, "cave-a", "rack-1", seconds(3), milliseconds(300), {}, {}}, stream.state(), guard, outbox);
    agent.connectEntry("entry-1");
    agent.handleAnnouncement({"affineur-desk-1", "http://127.0.0.1:80/run", {{"cellar", "cave-a"}}, 8, 60, {}});

    agent.handle("entry-1", demand{{{task_shape{}, 1}}, 0});
    start_tasks start;
    start.key = {"job-1", 1, 1};
    start.agentIncarnation = 7;
    start.deadlineMilliseconds = unixMilliseconds(time.unixNow() + seconds(5));
    start.tasks = {{0, 1, {"turn wheel", "{}", false, {}}}};
    agent.handle("entry-1", start);
    agent.handle("entry-1", start);
    time.advance(milliseconds(80));
    agent.finishCall(outbox.lastCall, {verdict::ran, "turned", ""});
    std::cout << "started " << agent.counters().started << ", duplicates " << agent.counters().duplicateStarts << std::endl;
    return agent.counters().started == 1 ? 0 : 1;
}
