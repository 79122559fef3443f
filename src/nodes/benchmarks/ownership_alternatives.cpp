// Compares three ways to preserve job ownership for the same arrivals in simulated time: the ledgers of this design, a batched log record
// per job, and a synchronous copy on a peer entry. Measures latency, messages per job, appends per second, and the share of jobs that are
// uncertain after a crash of an owner and of an owner together with an agent.

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <set>

#include "testing/fake_fleet.h"

namespace
{

using namespace azuremoor;
using namespace azuremoor::testing;

enum class scheme {
    ledgers,
    log_record,
    peer_copy,
};

constexpr std::uint64_t SEED = 11;
constexpr int JOBS = 400;
constexpr std::size_t TASKS = 4;
constexpr microseconds ARRIVAL_INTERVAL = milliseconds(20);
constexpr microseconds RUN_TIME = milliseconds(250);

/// One-way latency to the log. An append, which is synced and takes several milliseconds, takes two of these.
constexpr microseconds LOG_LATENCY{2500};

/// Time for which an entry collects records before it appends them as a batch.
constexpr microseconds BATCH_TIME = milliseconds(5);

/// Round-trip time between two data centres, the cost of a synchronous copy.
constexpr microseconds COPY_TIME = milliseconds(3);

struct measurements {
    double latencyMs = 0;
    double messagesPerJob = 0;
    double appendsPerSecond = 0;
    double uncertainShare = 0;
};

class comparison
{
public:
    explicit comparison(scheme kind)
        : m_kind(kind)
        , m_fleet(settings())
    {
        m_fleet.log().latency = LOG_LATENCY;
        m_fleet.runUntilReady(seconds(20));
        m_fleet.run(seconds(1));
    }

    measurements run(const std::vector<std::string> &killed)
    {
        const std::uint64_t messagesBefore = m_fleet.messages();
        const std::uint64_t appendsBefore = m_fleet.log().appends;
        const steady_time began = m_fleet.time().steadyNow();
        for (int number = 0; number < JOBS; ++number) {
            if (number == JOBS / 2) {
                for (const std::string &name : killed) {
                    m_fleet.kill(name);
                }
                recordUnfinishedJobs();
            }
            arrive();
            m_fleet.run(ARRIVAL_INTERVAL);
        }
        const double arrivalSeconds = std::chrono::duration<double>(m_fleet.time().steadyNow() - began).count();
        m_fleet.run(seconds(15));
        measurements result;
        result.messagesPerJob = static_cast<double>(m_fleet.messages() - messagesBefore + m_extraMessages) / JOBS;
        result.appendsPerSecond = static_cast<double>(m_fleet.log().appends - appendsBefore) / arrivalSeconds;
        result.latencyMs = meanLatency();
        result.uncertainShare = uncertainShare();
        return result;
    }

private:
    static fake_fleet_settings settings()
    {
        fake_fleet_settings result;
        result.agents = 10;
        result.dataCentres = 4;
        result.slots = 8;
        result.seed = SEED;
        result.tickInterval = milliseconds(10);
        return result;
    }

    void arrive()
    {
        const job_request job = m_fleet.makeJob(TASKS, RUN_TIME, seconds(30));
        // Callers use only entries that stay up, as behind a load balancer.
        const std::string entry = "entry-" + std::to_string(m_jobs.size() % 2 + 2);
        m_jobs.push_back(job);
        m_arrivals.push_back(m_fleet.time().steadyNow());
        if (m_kind == scheme::log_record) {
            appendThenSubmit(entry, job);
        } else if (m_kind == scheme::peer_copy) {
            m_extraMessages += 2;
            m_fleet.time().after(COPY_TIME, [this, entry, job] { m_fleet.submit(entry, job); });
        } else {
            m_fleet.submit(entry, job);
        }
    }

    void appendThenSubmit(const std::string &entry, const job_request &job)
    {
        std::vector<job_request> &batch = m_batches[entry];
        batch.push_back(job);
        if (batch.size() > 1) {
            return;
        }
        m_fleet.time().after(BATCH_TIME, [this, entry] {
            const std::vector<job_request> jobs = std::move(m_batches[entry]);
            m_batches[entry].clear();
            m_fleet.log().append(R"({"kind":"jobs"})", [this, entry, jobs](bool) {
                for (const job_request &recorded : jobs) {
                    m_fleet.submit(entry, recorded);
                }
            });
        });
    }

    void recordUnfinishedJobs()
    {
        for (const job_request &job : m_jobs) {
            const bool answered = std::any_of(m_fleet.requests().begin(), m_fleet.requests().end(), [&job](const caller_request &request) {
                return request.job.id == job.id && request.answered;
            });
            if (!answered) {
                m_unfinishedAtCrash.insert(job.id);
            }
        }
    }

    double meanLatency()
    {
        double sum = 0;
        int counted = 0;
        for (std::size_t index = 0; index < m_jobs.size(); ++index) {
            const auto started = m_fleet.firstStart(m_jobs[index].id);
            if (started) {
                sum += std::chrono::duration<double, std::milli>(*started - m_arrivals[index]).count();
                ++counted;
            }
        }
        return counted == 0 ? 0 : sum / counted;
    }

    /// Resubmits all jobs of the run and returns the share that is answered as uncertain.
    double uncertainShare()
    {
        int uncertain = 0;
        for (const job_request &job : m_jobs) {
            const std::size_t request = m_fleet.submit("entry-2", job);
            m_fleet.run(milliseconds(10));
            const std::vector<task_outcome> &tasks = m_fleet.requests()[request].reply.tasks;
            const bool hasUncertainTask
                = std::any_of(tasks.begin(), tasks.end(), [](const task_outcome &task) { return task.outcome == verdict::may_have_run; });
            uncertain += hasUncertainTask && remainsUncertain(job) ? 1 : 0;
        }
        return static_cast<double>(uncertain) / JOBS;
    }

    /// Returns whether an uncertain job would also be uncertain under the scheme. With a log record per job, a job is
    /// uncertain only if it had no answer at the time of the crash. With a copy of the owner's table, a job is uncertain only if one of
    /// its tasks started at agent-1, the agent that is killed.
    bool remainsUncertain(const job_request &job) const
    {
        if (m_kind == scheme::ledgers) {
            return true;
        }
        if (m_kind == scheme::log_record) {
            return m_unfinishedAtCrash.contains(job.id);
        }
        for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
            if (m_fleet.startedAt(job.id, index) == "agent-1") {
                return true;
            }
        }
        return false;
    }

    scheme m_kind;
    fake_fleet m_fleet;
    std::vector<job_request> m_jobs;
    std::vector<steady_time> m_arrivals;
    std::map<std::string, std::vector<job_request>> m_batches;
    std::set<std::string> m_unfinishedAtCrash;
    std::uint64_t m_extraMessages = 0;
};

}

int main()
{
    std::cout << "| scheme | mean time to the first start | messages for each job | appends a second at 50 jobs a second | uncertain jobs, "
                 "owner killed | "
                 "uncertain jobs, owner and agent killed |\n| --- | --- | --- | --- | --- | --- |\n";
    const std::vector<std::pair<scheme, std::string>> schemes = {{scheme::ledgers, "this design"},
                                                                 {scheme::log_record, "batched log record for each job"},
                                                                 {scheme::peer_copy, "synchronous copy on a peer entry"}};
    std::cout << std::fixed;
    for (const auto &[kind, name] : schemes) {
        const measurements withoutCrash = comparison(kind).run({});
        const measurements ownerKilled = comparison(kind).run({"entry-1"});
        const measurements bothKilled = comparison(kind).run({"entry-1", "agent-1"});
        std::cout << "| " << name << " | " << std::setprecision(2) << withoutCrash.latencyMs << " ms | " << withoutCrash.messagesPerJob
                  << " | " << std::setprecision(1) << withoutCrash.appendsPerSecond << " | " << std::setprecision(2)
                  << ownerKilled.uncertainShare * 100 << "% | " << bothKilled.uncertainShare * 100 << "% |\n";
    }
    return 0;
}
