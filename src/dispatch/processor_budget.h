#ifndef AZUREMOOR_DISPATCH_PROCESSOR_BUDGET_H
#define AZUREMOOR_DISPATCH_PROCESSOR_BUDGET_H

#include <cstddef>

#include "base/time_source.h"

namespace azuremoor
{

/// Time that a request may wait to be read without a shortage of the processor: messages that arrive together are handled one after the
/// other.
constexpr microseconds NOTICEABLE_READ_DELAY = milliseconds(3);

/// Longest time that a request may have to wait to be read in an overload, so that a refusal still comes at once.
constexpr microseconds PROMPT_READ_DELAY = milliseconds(20);

/**
 * Limits the admitted jobs to those that the entry's processor has time for, including the results that arrive later.
 *
 * A job takes processor time for reading its request, for the order and the result of each task, and for its answer. Each of these is
 * counted as one operation. Heartbeats and timers are part of the time that an operation takes, which is learned while the processor is
 * busy: a request that arrived before the previous one was read shows that there was no idle time between the two. Processor time is a
 * token bucket in elapsed time, so that a process that gets a part of a processor needs no setting for it.
 *
 * Without this limit, the jobs that are admitted in the first moments of an overload all end together. Results are handled before requests
 * are read, so that callers are refused late who could have been told at once, and the wave repeats after each run time.
 */
class processor_budget
{
public:
    /// Records that a request which arrived at the given time is being read. To be called once for each request.
    void recordRequest(steady_time arrival, steady_time now);

    /// Records an order, a result or an answer.
    void recordOperation();

    /// Records that a job with the given number of tasks was admitted, of which each needs an order and a result.
    void recordAdmission(std::size_t tasks);

    /// Returns whether the processor has no time for another job, whose request waited for the given time to be read. Without a noticeable
    /// delay it has time for all. The requests behind that one are assumed to take the processor for as long, and are to be read within
    /// PROMPT_READ_DELAY: nobody can be told that there is no room before.
    bool isExhausted(microseconds readDelay) const;

    /// Returns the time until the processor is expected to have time for another job, whose request waited for the given time to be read.
    microseconds overdrawnTime(microseconds readDelay) const;

    /// Returns the learned time of one operation in microseconds; 0 before the processor was busy.
    double operationMicroseconds() const;

private:
    void learn(steady_time now);

    /// Elapsed time and operations while the processor was busy; both decay.
    double m_busyMicroseconds = 0;
    double m_busyOperations = 0;
    /// Operations since the latest request was read, its reading included.
    double m_operations = 0;
    /// When the latest request was read; the epoch before the first one.
    steady_time m_lastRequestAt{};
    /// Processor time, in microseconds, that is left for jobs; negative when more was admitted.
    double m_balance = 0;
};

}

#endif
