#ifndef AZUREMOOR_DISPATCH_TESTS_CRASH_FLEET_H
#define AZUREMOOR_DISPATCH_TESTS_CRASH_FLEET_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/job_dispatcher.h"
#include "messages/crash_messages.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// What the tasks of a job do.
struct task_behaviour {
    /// Run time of a task that ends well.
    milliseconds duration{100};
    /// Time from the start of a task until it crashes its worker; 0 if it does not.
    milliseconds crashesAfter{0};
    /// The worker confirms the start, unless the task crashes it before it can.
    bool isConfirmed = true;
};

/// Entries that share workers, and tasks that crash them. Messages take a fixed time; a crashed worker is back after some seconds. An agent
/// tells all entries that it suspects a crash when it notices that its worker refuses connections. It reports the results of the lost runs
/// with the end of the worker's lease, and the crash as proved when another instance of the worker is back. A worker can also be cut off,
/// and come back with its instance: then the suspicion is withdrawn.
class crash_fleet
{
public:
    crash_fleet(std::size_t entryCount, std::size_t workerCount);
    ~crash_fleet();

    /// Submits a job at the entry.
    void
    submit(std::size_t entry, const std::string &id, task_behaviour behaviour, std::uint32_t tasks = 1, const std::string &queue = "queue");

    /// Crashes the worker without a task that is to blame.
    void crashWorker(std::size_t worker);

    /// Crashes the first workers at one moment. Their agents notice one after the other, the first of them after the given interval. An
    /// order that arrives before that is passed on to nobody, or held if it asks the worker first.
    void crashWorkers(std::size_t count, milliseconds noticeInterval);

    /// Cuts the worker off with its connections refused, for a time. Its runs go on, and end with its lease if they are longer than that.
    void cutOff(std::size_t worker, milliseconds duration);

    /// Cuts off each worker that starts the task soon after the start, for a time. Does so for the next starts, as many as given.
    void cutOffUnder(const std::string &task, milliseconds duration, int times);

    /// Lets the entry vanish, with what it knows. Its runs go on, and their results reach nobody.
    void killEntry(std::size_t entry);

    /// Starts the entry that was killed again. Agents tell it of the crashes of their workers.
    void restartEntry(std::size_t entry);

    void run(microseconds duration);

    /// Returns the answer to the latest request for the job, or nothing.
    std::optional<job_answer> answerOf(const std::string &id) const;

    /// Returns the number of crashes of workers on which a task of the job was at work.
    std::size_t crashesUnder(const std::string &id) const;

    /// Returns the number of workers that are up.
    std::size_t workersUp() const;

    /// Returns the tasks that were started after three workers had crashed under them.
    const std::set<std::string> &startsOverBudget() const;

    /// Returns the tasks of which two runs were at work at the same time.
    const std::set<std::string> &startsBesideRuns() const;

    /// Returns how often entries have contained a queue.
    std::uint64_t containments() const;

    /// Returns whether an entry contains the queue now.
    bool isContained(const std::string &queue) const;

    virtual_time time;
    decision_journal journal;
    /// Time until a crashed worker is back.
    milliseconds returnTime{3200};
    /// Time from the crash or the cut of a worker until its lease has certainly ended.
    milliseconds leaseTime{640};
    /// Agents of all starts, by queue.
    std::map<std::string, std::set<std::string>> agentsByQueue;

private:
    class entry_process;
    struct noticed_crash {
        std::string agent;
        crash_report report;
        steady_time at;
        std::uint64_t instance = 0;
    };
    /// Cuts of the workers that start a task.
    struct cut_plan {
        milliseconds duration{0};
        int times = 0;
    };
    struct active_run {
        std::size_t entry = 0;
        std::uint64_t sequence = 0;
        std::string task;
        std::string queue;
        steady_time startedAt;
        /// The agent waits for an answer of the worker before it sends the start.
        bool isHeld = false;
        start_evidence evidence = start_evidence::confirmed;
    };
    struct agent_state {
        std::string name;
        bool isUp = true;
        /// The agent knows that the worker refuses connections.
        bool isKnownDown = false;
        /// The worker refuses connections and runs on.
        bool isCutOff = false;
        std::uint64_t instance = 1;
        std::vector<active_run> runs;
        /// Latest order and number of results, by entry.
        std::map<std::size_t, std::uint64_t> appliedOrder;
        std::map<std::size_t, std::uint64_t> results;
    };

    void receive(std::size_t from, agent_state &agent, const message &value);
    void start(std::size_t from, agent_state &agent, const std::string &worker, const run_order &order);
    /// Ends a run that has come to its end, by itself or with a crash.
    void completeRun(agent_state &agent, std::size_t from, std::uint64_t sequence, std::uint64_t instance, bool isDeadly);
    void endRun(agent_state &agent, std::size_t from, std::uint64_t sequence, run_outcome outcome);
    /// Crashes the worker, and lets its agent notice after the delay.
    void crash(agent_state &agent, milliseconds noticeDelay = milliseconds(0));
    void noticeRefusal(agent_state &agent);
    /// Tells the entries what has become known of the crash that the agent suspects, if it does.
    void settleSuspicion(agent_state &agent, crash_state state);
    void sendReport(const noticed_crash &crash);
    /// Reports the runs that the worker had when its agent noticed the refusal, and has not ended since.
    void endLease(agent_state &agent, std::uint64_t instance);
    bool isAtWorkElsewhere(const std::string &task, const agent_state &agent) const;
    void sendResult(agent_state &agent, std::size_t to, std::uint64_t sequence, run_outcome outcome);
    void sendStatus(agent_state &agent);
    void tick();

    std::vector<std::unique_ptr<entry_process>> m_entries;
    std::vector<std::unique_ptr<entry_process>> m_endedEntries;
    std::vector<noticed_crash> m_crashes;
    std::vector<agent_state> m_agents;
    std::map<std::string, task_behaviour> m_behaviours;
    std::map<std::string, std::uint64_t> m_requests;
    std::map<std::uint64_t, job_answer> m_answers;
    std::map<std::string, std::set<std::string>> m_crashesByJob;
    std::map<std::string, std::size_t> m_crashesByTask;
    std::set<std::string> m_startsOverBudget;
    std::set<std::string> m_startsBesideRuns;
    std::map<std::string, cut_plan> m_cutsByTask;
    std::uint64_t m_nextRequest = 1;
};

}

#endif
