#include "runs/room_reservations.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Limit on the time for which an entry may reserve capacity.
constexpr milliseconds MAX_RESERVATION_TIME{1000};

/// A forecast counts as wrong when the capacity is late by more than this and by more than the time that was forecast.
constexpr microseconds FORECAST_TOLERANCE = milliseconds(100);

}

std::string_view reservationEndName(reservation_end reason)
{
    constexpr std::array<std::string_view, RESERVATION_END_COUNT> NAMES
        = {"used", "withdrawn", "time_limit", "wrong_forecast", "replaced", "session_ended", "worker_lost"};
    return NAMES[static_cast<std::size_t>(reason)];
}

room_reservations::room_reservations(const time_source &time, decision_journal &journal)
    : m_time(time)
    , m_journal(journal)
{
}

void room_reservations::handleRequest(const std::string &session, const reserve_room &request, const worker_capacity &capacity)
{
    const bool isOwn = m_current && m_current->session == session;
    if (request.shape == task_shape{}) {
        if (isOwn) {
            end(reservation_end::withdrawn);
        }
        return;
    }
    const std::optional<microseconds> wait = capacity.forecast.timeUntilFits(request.shape, capacity.free, capacity.runs);
    if (!wait || (m_current && !isOwn && m_current->priority <= request.priority)) {
        return;
    }
    if (m_current) {
        end(isOwn ? reservation_end::withdrawn : reservation_end::replaced);
    }
    const steady_time now = m_time.steadyNow();
    const milliseconds duration = std::min(milliseconds(request.untilMilliseconds), MAX_RESERVATION_TIME);
    m_current = {session, request.shape, request.priority, now, now + *wait, now + duration};
    ++m_counters.made;
    m_journal.note("room_reserved",
                   {{"session", session},
                    {"millicores", std::to_string(request.shape.milliCores)},
                    {"priority", std::to_string(request.priority)},
                    {"free_millicores", std::to_string(capacity.free.milliCores)},
                    {"runs", std::to_string(capacity.runs.size())},
                    {"expected_us", std::to_string(wait->count())},
                    {"until_us", std::to_string(microseconds(duration).count())}});
}

bool room_reservations::admit(const std::string &session, const run_order &order, const worker_capacity &capacity)
{
    if (!m_current) {
        return true;
    }
    if (session == m_current->session && order.shape == m_current->shape && order.shape.fitsInto(capacity.free)) {
        end(reservation_end::used);
        return true;
    }
    const bool endsBefore = order.estimate > 0
        && m_time.steadyNow() + capacity.forecast.expectedRunTime(microseconds(order.estimate)) <= m_current->expectedAt;
    const bool isAdmitted = endsBefore || fitsBeside(order, capacity);
    ++(isAdmitted ? m_counters.backfilled : m_counters.refused);
    return isAdmitted;
}

void room_reservations::endSession(const std::string &session)
{
    if (m_current && m_current->session == session) {
        end(reservation_end::session_ended);
    }
}

void room_reservations::endAll()
{
    if (m_current) {
        end(reservation_end::worker_lost);
    }
}

void room_reservations::tick()
{
    if (!m_current) {
        return;
    }
    const steady_time now = m_time.steadyNow();
    const microseconds tolerance = std::max(FORECAST_TOLERANCE, m_current->expectedAt - m_current->madeAt);
    if (now >= m_current->until) {
        end(reservation_end::time_limit);
    } else if (now > m_current->expectedAt + tolerance) {
        end(reservation_end::wrong_forecast);
    }
}

std::optional<std::string> room_reservations::readySession(const task_shape &free) const
{
    return m_current && m_current->shape.fitsInto(free) ? std::optional(m_current->session) : std::nullopt;
}

const std::optional<room_reservation> &room_reservations::current() const
{
    return m_current;
}

const reservation_counters &room_reservations::counters() const
{
    return m_counters;
}

void room_reservations::end(reservation_end reason)
{
    ++m_counters.ended[static_cast<std::size_t>(reason)];
    const steady_time now = m_time.steadyNow();
    m_journal.note("reservation_ended",
                   {{"session", m_current->session},
                    {"reason", std::string(reservationEndName(reason))},
                    {"millicores", std::to_string(m_current->shape.milliCores)},
                    {"age_us", std::to_string((now - m_current->madeAt).count())},
                    {"expected_us", std::to_string((m_current->expectedAt - m_current->madeAt).count())}});
    m_current.reset();
}

bool room_reservations::fitsBeside(const run_order &order, const worker_capacity &capacity) const
{
    const microseconds wait = std::max(m_current->expectedAt - m_time.steadyNow(), microseconds(0));
    task_shape both = m_current->shape;
    both += order.shape;
    return both.fitsInto(capacity.forecast.freeAfter(wait, capacity.free, capacity.runs));
}

}
