#include "dispatch/queue_containment.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace azuremoor
{

namespace
{

/// One of this number of workers is set apart.
constexpr std::size_t CONTAINING_PART = 4;

/// Maximum number of queues that are watched.
constexpr std::size_t MAX_QUEUES = 256;

}

std::set<std::string> containingAgents(std::span<const std::string> agents)
{
    if (agents.size() < MIN_CONTAINING_WORKERS) {
        return {};
    }
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string &agent : agents) {
        ranked.emplace_back(XXH3_64bits(agent.data(), agent.size()), agent);
    }
    std::ranges::sort(ranked);
    std::set<std::string> result;
    for (const auto &[rank, agent] : std::span(ranked).first(agents.size() / CONTAINING_PART)) {
        result.insert(agent);
    }
    return result;
}

queue_containment::queue_containment(const time_source &time, decision_journal &journal)
    : m_time(time)
    , m_journal(journal)
{
}

void queue_containment::recordGivenUp(std::string_view queue, std::string_view service)
{
    auto found = m_queues.find(queue);
    if (found == m_queues.end()) {
        if (m_queues.size() >= MAX_QUEUES) {
            return;
        }
        found = m_queues.emplace(std::string(queue), queue_state{}).first;
    }
    const steady_time now = m_time.steadyNow();
    queue_state &state = found->second;
    if (!service.empty()) {
        state.service = service;
    }
    state.lastCrashAt = now;
    state.givenUpAt.push_back(now);
    if (state.givenUpAt.size() > CONTAINMENT_JOBS) {
        state.givenUpAt.erase(state.givenUpAt.begin());
    }
    const bool isFrequent = state.givenUpAt.size() == CONTAINMENT_JOBS && now - state.givenUpAt.front() <= CONTAINMENT_PERIOD;
    if (!isFrequent || std::exchange(state.isContained, true)) {
        return;
    }
    state.since = now;
    ++m_containments;
    m_journal.note("queue_contained",
                   {{"queue", found->first},
                    {"service", state.service},
                    {"given_up_jobs", std::to_string(state.givenUpAt.size())},
                    {"within_ms", std::to_string((now - state.givenUpAt.front()) / milliseconds(1))}});
}

void queue_containment::recordReleased(std::string_view queue)
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.givenUpAt.empty()) {
        return;
    }
    queue_state &state = found->second;
    state.givenUpAt.pop_back();
    if (state.isContained) {
        noteRelease(found->first, state);
        state.isContained = false;
    }
}

bool queue_containment::learnService(std::string_view queue, std::string_view service)
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || !found->second.isContained || !found->second.service.empty()) {
        return false;
    }
    found->second.service = service;
    return true;
}

void queue_containment::recordCrash(std::string_view queue, steady_time at)
{
    if (const auto found = m_queues.find(queue); found != m_queues.end()) {
        found->second.lastCrashAt = std::max(found->second.lastCrashAt, at);
    }
}

void queue_containment::releaseQuiet()
{
    const steady_time now = m_time.steadyNow();
    std::erase_if(m_queues, [this, now](const auto &each) {
        const auto &[queue, state] = each;
        if (now - state.lastCrashAt < (state.isContained ? CONTAINMENT_QUIET_TIME : CONTAINMENT_PERIOD)) {
            return false;
        }
        if (state.isContained) {
            noteRelease(queue, state);
        }
        return true;
    });
}

void queue_containment::noteRelease(const std::string &queue, const queue_state &state)
{
    const steady_time now = m_time.steadyNow();
    m_journal.note("queue_released",
                   {{"queue", queue},
                    {"service", state.service},
                    {"contained_ms", std::to_string((now - state.since) / milliseconds(1))},
                    {"quiet_ms", std::to_string((now - state.lastCrashAt) / milliseconds(1))}});
}

bool queue_containment::isContained(std::string_view queue) const
{
    const auto found = m_queues.find(queue);
    return found != m_queues.end() && found->second.isContained;
}

std::set<std::string> queue_containment::services() const
{
    std::set<std::string> result;
    for (const auto &[queue, state] : m_queues) {
        if (state.isContained && !state.service.empty()) {
            result.insert(state.service);
        }
    }
    return result;
}

std::uint64_t queue_containment::containments() const
{
    return m_containments;
}

std::vector<queue_containment::contained_queue> queue_containment::rows() const
{
    std::vector<contained_queue> result;
    for (const auto &[queue, state] : m_queues) {
        if (state.isContained) {
            result.push_back({queue, state.service, state.since, state.lastCrashAt});
        }
    }
    return result;
}

}
