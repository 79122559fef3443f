#ifndef AZUREMOOR_RUNS_TESTS_SUPERVISOR_FIXTURE_H
#define AZUREMOOR_RUNS_TESTS_SUPERVISOR_FIXTURE_H

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "runs/run_supervisor.h"
#include "runs/tests/fake_worker.h"

namespace azuremoor::testing
{

/// A supervisor with its worker in virtual time, and the results that it reported.
class supervisor_fixture : public run_result_listener, public worker_crash_listener
{
public:
    explicit supervisor_fixture(double clockRate = 1)
        : worker(time)
        , journal(time)
        , supervisor(std::make_unique<run_supervisor>(time, leases, worker, *this, *this, journal))
    {
        worker.clockRate = clockRate;
        supervisor->handleReport(worker.report());
        run(milliseconds(100));
    }

    void handleRunResult(const std::string &session, std::uint64_t sequence, run_outcome outcome) override
    {
        results[{session, sequence}] = outcome;
        if (!worker.active().empty()) {
            activeRunAtResult = *worker.active().begin();
        }
    }

    void handleWorkerCrash(const worker_crash &crash) override
    {
        (crash.state == crash_state::proved ? crashes : openCrashes).push_back(crash);
    }

    void run(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += TICK) {
            time.run(TICK);
            supervisor->tick();
        }
    }

    /// Replaces the supervisor by that of a new agent process. The former one still receives answers but is not used any more.
    void restartSupervisor()
    {
        former.push_back(std::move(supervisor));
        supervisor = std::make_unique<run_supervisor>(time, leases, worker, *this, *this, journal);
        supervisor->handleReport(worker.report());
    }

    void order(std::uint64_t sequence, const std::string &task, std::uint32_t number = 1, std::uint32_t milliCores = 1000)
    {
        supervisor->start("entry#1", worker.name, {sequence, task, number, "payload", {milliCores, 64, 0}});
    }

    run_outcome resultOf(std::uint64_t sequence) const
    {
        return results.at({"entry#1", sequence});
    }

    bool hasResult(std::uint64_t sequence) const
    {
        return results.contains({"entry#1", sequence});
    }

    static constexpr milliseconds TICK{25};
    virtual_time time;
    lease_timing leases;
    fake_worker worker;
    decision_journal journal;
    std::vector<std::unique_ptr<run_supervisor>> former;
    std::unique_ptr<run_supervisor> supervisor;
    std::map<std::pair<std::string, std::uint64_t>, run_outcome> results;
    /// The crashes of the worker that were reported as proved, and the reports of suspected and withdrawn ones.
    std::vector<worker_crash> crashes;
    std::vector<worker_crash> openCrashes;
    /// The last run that was still active when a result was reported; empty if there was none.
    run_key activeRunAtResult;
};

}

#endif
