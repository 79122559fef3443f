#ifndef AZUREMOOR_DISPATCH_QUEUE_CONTAINMENT_H
#define AZUREMOOR_DISPATCH_QUEUE_CONTAINMENT_H

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/decision_journal.h"
#include "base/time_source.h"

namespace azuremoor
{

/// Jobs of a queue that have to be given up within `CONTAINMENT_PERIOD` for the queue to be contained.
constexpr std::size_t CONTAINMENT_JOBS = 2;
constexpr microseconds CONTAINMENT_PERIOD = seconds(10);

/// Time without a lost run of a contained queue after which it is released. A worker that has crashed has to be back well within it, so
/// that the queue has been tried again.
constexpr microseconds CONTAINMENT_QUIET_TIME = seconds(8);

/// Fewest workers of a service of which some can be set apart.
constexpr std::size_t MIN_CONTAINING_WORKERS = 4;

/// Returns the agents of a service whose workers run the jobs of contained queues, and no others meanwhile: a quarter. Entries that know
/// the same agents choose the same ones.
std::set<std::string> containingAgents(std::span<const std::string> agents);

/**
 * Knows the queues whose jobs crash worker after worker.
 *
 * The bound on the crashes of one job does not bound those of a queue, of which each bad job may take two workers. A queue is contained
 * while its jobs crash workers, and released once none of its runs has been lost in a crash for some time.
 */
class queue_containment
{
public:
    /// A contained queue, for reports to operators.
    struct contained_queue {
        std::string queue;
        std::string service;
        steady_time since{};
        steady_time lastCrashAt{};
    };

    queue_containment(const time_source &time, decision_journal &journal);

    /// Records that a job of the queue was held or given up, after a crash of a worker of the service; empty if that is not known.
    void recordGivenUp(std::string_view queue, std::string_view service);

    /// Records that a job of the queue is no longer held, because the workers have not crashed. The queue is released if it was contained
    /// for that.
    void recordReleased(std::string_view queue);

    /// Sets the service that runs the queue's jobs if it was not known. Returns whether that is new of a contained queue.
    bool learnService(std::string_view queue, std::string_view service);

    /// Records that a worker crashed at the given time while a run of the queue was at work on it.
    void recordCrash(std::string_view queue, steady_time at);

    /// Releases the queues that have been quiet, and forgets old evidence.
    void releaseQuiet();

    bool isContained(std::string_view queue) const;

    /// Returns the known services that have a contained queue.
    std::set<std::string> services() const;

    /// Returns how often a queue was contained since the start of the process.
    std::uint64_t containments() const;

    std::vector<contained_queue> rows() const;

private:
    struct queue_state;
    void noteRelease(const std::string &queue, const queue_state &state);

    struct queue_state {
        std::string service;
        /// When the latest jobs were given up, at most CONTAINMENT_JOBS.
        std::vector<steady_time> givenUpAt;
        bool isContained = false;
        steady_time since{};
        steady_time lastCrashAt{};
    };

    const time_source &m_time;
    decision_journal &m_journal;
    /// Only queues of which a job was given up lately.
    std::map<std::string, queue_state, std::less<>> m_queues;
    std::uint64_t m_containments = 0;
};

}

#endif
