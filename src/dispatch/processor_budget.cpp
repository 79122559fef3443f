#include "dispatch/processor_budget.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Bounds of the balance in microseconds. The upper one limits the results that arrive together after an idle time; the lower one limits
/// for how long jobs are refused after an operation took much less time than learned.
constexpr double MAX_BALANCE = 10'000;
constexpr double MIN_BALANCE = -20'000;

/// Operations after which the learned time has followed a change by two thirds.
constexpr double LEARNING_OPERATIONS = 200;

/// Operations without which the learned time is not used.
constexpr double MIN_OPERATIONS = 20;

/// Operations of a request without its tasks: its reading and its answer.
constexpr double REQUEST_OPERATIONS = 2;

/// Operations of a task: its order and its result.
constexpr double TASK_OPERATIONS = 2;

}

void processor_budget::recordRequest(steady_time arrival, steady_time now)
{
    if (m_lastRequestAt != steady_time{}) {
        const double elapsed = static_cast<double>((now - m_lastRequestAt).count());
        m_balance = std::min(m_balance + elapsed, MAX_BALANCE);
        if (arrival <= m_lastRequestAt) {
            learn(now);
        }
    }
    m_lastRequestAt = now;
    m_operations = 1;
    m_balance = std::max(m_balance - REQUEST_OPERATIONS * operationMicroseconds(), MIN_BALANCE);
}

void processor_budget::recordOperation()
{
    ++m_operations;
}

void processor_budget::recordAdmission(std::size_t tasks)
{
    m_balance -= TASK_OPERATIONS * static_cast<double>(tasks) * operationMicroseconds();
}

bool processor_budget::isExhausted(microseconds readDelay) const
{
    return readDelay > NOTICEABLE_READ_DELAY && overdrawnTime(readDelay) > microseconds(0);
}

microseconds processor_budget::overdrawnTime(microseconds readDelay) const
{
    const auto balance = microseconds(static_cast<std::int64_t>(m_balance));
    return std::max(readDelay - balance - PROMPT_READ_DELAY, microseconds(0));
}

double processor_budget::operationMicroseconds() const
{
    return m_busyOperations < MIN_OPERATIONS ? 0 : m_busyMicroseconds / m_busyOperations;
}

void processor_budget::learn(steady_time now)
{
    const double remaining = std::max(0.0, 1 - m_operations / LEARNING_OPERATIONS);
    m_busyMicroseconds = m_busyMicroseconds * remaining + static_cast<double>((now - m_lastRequestAt).count());
    m_busyOperations = m_busyOperations * remaining + m_operations;
}

}
