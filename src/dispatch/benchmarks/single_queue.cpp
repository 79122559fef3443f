#include "dispatch/benchmarks/single_queue.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>

namespace azuremoor::benchmarks
{

namespace
{

/// What the operator's configuration of the queues says.
constexpr double SLACK_FACTOR = 1.6;
constexpr microseconds TARGET_LATENCY = milliseconds(60);

class single_queue
{
public:
    explicit single_queue(const benchmark_load &load)
        : m_load(load)
        , m_states(load.jobs.size())
    {
        for (const benchmark_machine &machine : load.machines) {
            m_free.push_back(machine.capacity);
            m_leaveTimes.push_back(microseconds::max());
            m_highestSpeed = std::max(m_highestSpeed, machine.speed);
        }
        for (const benchmark_departure &departure : load.departures) {
            m_leaveTimes[departure.machine] = departure.time + departure.notice;
        }
    }

    benchmark_result run()
    {
        std::size_t next = 0;
        while (next < m_load.jobs.size() || !m_ends.empty()) {
            const bool isArrival = next < m_load.jobs.size() && (m_ends.empty() || m_load.jobs[next].arrival < m_ends.top().time);
            if (isArrival) {
                m_now = m_load.jobs[next].arrival;
                m_waiting.insert({latestStart(next), next});
                ++next;
            } else {
                endTask();
            }
            startTasks();
        }
        for (const auto &[latest, job] : m_waiting) {
            m_states[job].record.fate = job_fate::refused;
        }
        return makeResult();
    }

private:
    struct job_state {
        std::size_t endedTasks = 0;
        job_record record;
    };
    struct task_end {
        microseconds time{0};
        std::size_t job = 0;
        std::size_t machine = 0;

        auto operator<=>(const task_end &) const = default;
    };

    microseconds objective(std::size_t job) const
    {
        const double criticalPath = SLACK_FACTOR * static_cast<double>(m_load.jobs[job].estimate.count());
        return m_load.jobs[job].arrival + microseconds(static_cast<std::int64_t>(criticalPath)) + TARGET_LATENCY;
    }

    microseconds latestStart(std::size_t job) const
    {
        const auto &runTimes = m_load.jobs[job].runTimes;
        const double longest = static_cast<double>(std::max_element(runTimes.begin(), runTimes.end())->count());
        return objective(job) - microseconds(static_cast<std::int64_t>(longest / m_highestSpeed));
    }

    void endTask()
    {
        const task_end end = m_ends.top();
        m_ends.pop();
        m_now = end.time;
        m_free[end.machine] += m_load.jobs[end.job].shape;
        job_state &state = m_states[end.job];
        if (++state.endedTasks == m_load.jobs[end.job].runTimes.size()) {
            state.record.fate = m_now <= objective(end.job) ? job_fate::in_time : job_fate::late;
            state.record.lag = lagOf(m_load.jobs[end.job], m_now - m_load.jobs[end.job].arrival);
        }
    }

    void startTasks()
    {
        for (auto position = m_waiting.begin(); position != m_waiting.end();) {
            const std::size_t job = position->second;
            const bool isTooLate = m_now > position->first;
            if (isTooLate) {
                m_states[job].record.fate = job_fate::refused;
            }
            const bool isGone = isTooLate || startTasks(job);
            position = isGone ? m_waiting.erase(position) : std::next(position);
        }
    }

    /// Starts all tasks of the job if there is capacity to end each of them in time. Returns whether it did.
    bool startTasks(std::size_t job)
    {
        const benchmark_job &description = m_load.jobs[job];
        std::vector<task_shape> free = m_free;
        std::vector<task_end> ends;
        for (const microseconds runTime : description.runTimes) {
            const std::size_t machine = chooseMachine(free, description.shape, runTime, objective(job));
            if (machine == free.size()) {
                return false;
            }
            free[machine] = free[machine].saturatingMinus(description.shape);
            ends.push_back({endTime(machine, runTime), job, machine});
        }
        m_free = std::move(free);
        for (const task_end &end : ends) {
            m_ends.push(end);
        }
        m_states[job].record.wait = m_now - description.arrival;
        return true;
    }

    microseconds endTime(std::size_t machine, microseconds runTime) const
    {
        return m_now + microseconds(static_cast<std::int64_t>(static_cast<double>(runTime.count()) / m_load.machines[machine].speed));
    }

    std::size_t
    chooseMachine(const std::vector<task_shape> &free, const task_shape &shape, microseconds runTime, microseconds latestEnd) const
    {
        std::size_t best = free.size();
        for (std::size_t machine = 0; machine < free.size(); ++machine) {
            const bool isPossible
                = shape.fitsInto(free[machine]) && endTime(machine, runTime) <= std::min(latestEnd, m_leaveTimes[machine]);
            if (isPossible && (best == free.size() || isBetter(free, machine, best))) {
                best = machine;
            }
        }
        return best;
    }

    bool isBetter(const std::vector<task_shape> &free, std::size_t machine, std::size_t other) const
    {
        const double speed = m_load.machines[machine].speed;
        const double otherSpeed = m_load.machines[other].speed;
        return speed > otherSpeed || (speed >= otherSpeed && free[machine].milliCores < free[other].milliCores);
    }

    benchmark_result makeResult() const
    {
        benchmark_result result;
        result.load = m_load.name;
        result.demand = m_load.demand;
        result.policy = "single-queue";
        for (const job_state &state : m_states) {
            result.jobs.push_back(state.record);
            result.orders += state.endedTasks;
        }
        return result;
    }

    const benchmark_load &m_load;
    microseconds m_now{0};
    double m_highestSpeed = 0;
    std::vector<task_shape> m_free;
    /// When each machine is lost, which the queue knows in advance.
    std::vector<microseconds> m_leaveTimes;
    std::vector<job_state> m_states;
    /// Jobs with tasks to start, by their latest start.
    std::set<std::pair<microseconds, std::size_t>> m_waiting;
    std::priority_queue<task_end, std::vector<task_end>, std::greater<>> m_ends;
};

}

benchmark_result runSingleQueue(const benchmark_load &load)
{
    return single_queue(load).run();
}

}
