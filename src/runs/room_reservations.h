#ifndef AZUREMOOR_RUNS_ROOM_RESERVATIONS_H
#define AZUREMOOR_RUNS_ROOM_RESERVATIONS_H

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "base/decision_journal.h"
#include "runs/capacity_forecast.h"

namespace azuremoor
{

/// Why a reservation ended.
enum class reservation_end : std::uint8_t {
    /// Its task was ordered here.
    used,
    /// The entry withdrew it, because its task was ordered elsewhere or is gone.
    withdrawn,
    /// Its time limit passed.
    time_limit,
    /// The capacity did not become free when it was expected.
    wrong_forecast,
    /// A task of a higher priority took its place.
    replaced,
    /// The entry's session or its connection ended.
    session_ended,
    /// The worker was lost, or replaced by another instance.
    worker_lost,
};

constexpr std::size_t RESERVATION_END_COUNT = 7;

/// Returns the name of the reason, for logs and metrics.
std::string_view reservationEndName(reservation_end reason);

/// Capacity that is kept for a waiting task. Times are on the steady clock.
struct room_reservation {
    std::string session;
    task_shape shape;
    std::uint32_t priority = 0;
    steady_time madeAt;
    /// When the capacity is expected to be free.
    steady_time expectedAt;
    /// When the reservation ends at the latest.
    steady_time until;
};

/// Counters since the start of the process.
struct reservation_counters {
    std::uint64_t made = 0;
    std::array<std::uint64_t, RESERVATION_END_COUNT> ended{};
    /// Orders that were accepted beside a reservation.
    std::uint64_t backfilled = 0;
    /// Orders that were refused because of a reservation.
    std::uint64_t refused = 0;
};

/// Capacity of the worker as the reservations see it.
struct worker_capacity {
    task_shape free;
    std::span<const forecast_run> runs;
    const capacity_forecast &forecast;
};

/**
 * Keeps capacity of the worker for at most one waiting task.
 *
 * Other orders are accepted only if they are expected to end before the reserved capacity is needed, or if they fit beside it. A
 * reservation only ever refuses orders that have not begun; it stops nothing.
 */
class room_reservations
{
public:
    room_reservations(const time_source &time, decision_journal &journal);

    /// Makes or withdraws the session's reservation. Ignored when another session has one of the same or a higher priority, and when the
    /// shape never fits.
    void handleRequest(const std::string &session, const reserve_room &request, const worker_capacity &capacity);

    /// Returns whether the order may start, as far as reservations are concerned. An order that uses the reservation ends it.
    bool admit(const std::string &session, const run_order &order, const worker_capacity &capacity);

    /// Ends the reservation if it is the session's.
    void endSession(const std::string &session);

    /// Ends the reservation, because the worker was lost.
    void endAll();

    /// Ends a reservation whose time limit has passed or whose forecast was wrong.
    void tick();

    /// Returns the session whose reserved capacity is free now; nothing otherwise.
    std::optional<std::string> readySession(const task_shape &free) const;

    const std::optional<room_reservation> &current() const;
    const reservation_counters &counters() const;

private:
    void end(reservation_end reason);
    bool fitsBeside(const run_order &order, const worker_capacity &capacity) const;

    const time_source &m_time;
    decision_journal &m_journal;
    std::optional<room_reservation> m_current;
    reservation_counters m_counters;
};

}

#endif
