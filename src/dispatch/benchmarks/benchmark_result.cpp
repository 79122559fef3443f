#include "dispatch/benchmarks/benchmark_result.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace azuremoor::benchmarks
{

namespace
{

constexpr std::array ALL_GROUPS = {size_group::all, size_group::largest_tenth, size_group::next_fifth, size_group::others};

/// Returns the positions of the jobs of the kind, with the largest first.
std::vector<std::size_t> jobsBySize(const benchmark_load &load, std::size_t kind)
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < load.jobs.size(); ++index) {
        if (load.jobs[index].kind == kind) {
            result.push_back(index);
        }
    }
    std::stable_sort(result.begin(), result.end(), [&load](std::size_t one, std::size_t other) {
        return load.jobs[one].work() > load.jobs[other].work();
    });
    return result;
}

std::vector<std::size_t> jobsOfGroup(const benchmark_load &load, size_group group, std::size_t kind)
{
    std::vector<std::size_t> jobs = jobsBySize(load, kind);
    const auto tenth = static_cast<std::ptrdiff_t>((jobs.size() + 9) / 10);
    const auto begin = jobs.begin();
    const auto thirdTenth = begin + std::min<std::ptrdiff_t>(3 * tenth, static_cast<std::ptrdiff_t>(jobs.size()));
    switch (group) {
    case size_group::all:
        return jobs;
    case size_group::largest_tenth:
        return {begin, begin + std::min<std::ptrdiff_t>(tenth, static_cast<std::ptrdiff_t>(jobs.size()))};
    case size_group::next_fifth:
        return {std::min(begin + tenth, jobs.end()), thirdTenth};
    case size_group::others:
        return {thirdTenth, jobs.end()};
    }
    return jobs;
}

double share(std::size_t count, std::size_t total)
{
    return total == 0 ? 0 : static_cast<double>(count) / static_cast<double>(total);
}

void fillWaits(std::vector<double> waits, benchmark_group &group)
{
    if (waits.empty()) {
        return;
    }
    std::sort(waits.begin(), waits.end());
    group.meanWait = std::accumulate(waits.begin(), waits.end(), 0.0) / static_cast<double>(waits.size());
    group.highWait = waits[(waits.size() - 1) * 95 / 100];
}

nlohmann::json describe(const benchmark_group &group)
{
    return {{"jobs", group.jobs},
            {"in_time", group.inTime},
            {"late", group.late},
            {"refused", group.refused},
            {"refused_beside_free", group.refusedBesideFree},
            {"lag", group.lag},
            {"mean_wait_ms", group.meanWait},
            {"p95_wait_ms", group.highWait}};
}

}

void benchmark_result::append(const benchmark_result &other)
{
    jobs.insert(jobs.end(), other.jobs.begin(), other.jobs.end());
    work += other.work;
    lostWork += other.lostWork;
    orders += other.orders;
    refusedOrders += other.refusedOrders;
    payloads += other.payloads;
    reservations += other.reservations;
    usedReservations += other.usedReservations;
    backfilledOrders += other.backfilledOrders;
}

double benchmark_result::lostWorkShare() const
{
    return work <= 0 ? 0 : lostWork / work;
}

std::string sizeGroupName(size_group group)
{
    constexpr std::array<const char *, 4> NAMES = {"all", "largest_tenth", "next_fifth", "others"};
    return NAMES[static_cast<std::size_t>(group)];
}

double lagOf(const benchmark_job &job, microseconds elapsed)
{
    const microseconds longest = *std::ranges::max_element(job.runTimes);
    return static_cast<double>(elapsed.count()) / static_cast<double>(longest.count());
}

benchmark_group summarize(const benchmark_load &load, const benchmark_result &result, size_group group, int kind)
{
    benchmark_group summary;
    std::size_t inTime = 0;
    std::size_t refused = 0;
    std::size_t refusedBesideFree = 0;
    std::size_t completed = 0;
    double lag = 0;
    std::vector<double> waits;
    for (std::size_t each = 0; each < load.kinds.size(); ++each) {
        if (kind >= 0 && each != static_cast<std::size_t>(kind)) {
            continue;
        }
        for (const std::size_t index : jobsOfGroup(load, group, each)) {
            const job_record &job = result.jobs[index];
            ++summary.jobs;
            inTime += job.fate == job_fate::in_time ? 1 : 0;
            refused += job.fate == job_fate::refused ? 1 : 0;
            refusedBesideFree += job.isRefusedBesideFree ? 1 : 0;
            completed += job.fate >= job_fate::late ? 1 : 0;
            lag += job.lag;
            if (job.wait >= microseconds(0)) {
                waits.push_back(static_cast<double>(job.wait.count()) / 1000);
            }
        }
    }
    summary.inTime = share(inTime, summary.jobs);
    summary.refused = share(refused, summary.jobs);
    summary.refusedBesideFree = share(refusedBesideFree, summary.jobs);
    summary.lag = completed == 0 ? 0 : lag / static_cast<double>(completed);
    summary.late = share(summary.jobs - inTime - refused, summary.jobs);
    fillWaits(std::move(waits), summary);
    return summary;
}

nlohmann::json describe(const benchmark_load &load, const benchmark_result &result)
{
    nlohmann::json groups;
    for (const size_group group : ALL_GROUPS) {
        groups[sizeGroupName(group)]["all"] = describe(summarize(load, result, group, -1));
        for (std::size_t kind = 0; kind < load.kinds.size(); ++kind) {
            groups[sizeGroupName(group)][load.kinds[kind].name] = describe(summarize(load, result, group, static_cast<int>(kind)));
        }
    }
    return {{"load", result.load},
            {"demand", result.demand},
            {"policy", result.policy},
            {"lost_work_share", result.lostWorkShare()},
            {"orders", result.orders},
            {"refused_orders", result.refusedOrders},
            {"payloads", result.payloads},
            {"reservations", result.reservations},
            {"used_reservations", result.usedReservations},
            {"backfilled_orders", result.backfilledOrders},
            {"groups", groups}};
}

}
