#include "runs/room_announcer.h"

#include <algorithm>

namespace azuremoor
{

namespace
{

/// Time that an entry has for its order before the next one is told of the same room.
constexpr milliseconds TURN_TIME{8};

}

room_announcer::room_announcer(const time_source &time)
    : m_time(time)
{
}

void room_announcer::add(const std::string &entry)
{
    m_listeners[entry] = {m_change, {}, leastTurns()};
}

void room_announcer::remove(const std::string &entry)
{
    m_listeners.erase(entry);
}

void room_announcer::noteChange()
{
    ++m_change;
}

void room_announcer::noteTold(const std::string &entry)
{
    const auto found = m_listeners.find(entry);
    if (found != m_listeners.end()) {
        found->second.toldChange = m_change;
    }
}

void room_announcer::setWish(const std::string &entry, const room_wish &wish)
{
    const auto found = m_listeners.find(entry);
    if (found == m_listeners.end()) {
        return;
    }
    if (found->second.wish.milliCores == 0) {
        // Turns that were not wanted are not made up for.
        found->second.turns = std::max(found->second.turns, leastTurns());
    }
    found->second.wish = wish;
}

bool room_announcer::isContested() const
{
    return std::any_of(m_listeners.begin(), m_listeners.end(), [](const auto &each) { return each.second.wish.milliCores > 0; });
}

bool room_announcer::isOutOfDate(const std::string &entry) const
{
    const auto found = m_listeners.find(entry);
    return found != m_listeners.end() && found->second.toldChange != m_change;
}

std::optional<std::string> room_announcer::takeTurn(std::uint32_t freeMilliCores)
{
    const steady_time now = m_time.steadyNow();
    if (m_turnChange == m_change && now < m_turnEnd) {
        return std::nullopt;
    }
    auto next = m_listeners.end();
    for (auto each = m_listeners.begin(); each != m_listeners.end(); ++each) {
        const room_wish &wish = each->second.wish;
        const bool isWishing = wish.milliCores > 0 && wish.smallestMilliCores <= freeMilliCores && each->second.toldChange != m_change;
        if (isWishing && (next == m_listeners.end() || each->second.turns < next->second.turns)) {
            next = each;
        }
    }
    if (next == m_listeners.end()) {
        return std::nullopt;
    }
    next->second.turns += 1.0 / static_cast<double>(next->second.wish.milliCores);
    m_turnChange = m_change;
    m_turnEnd = now + TURN_TIME;
    return next->first;
}

double room_announcer::leastTurns() const
{
    double least = 0;
    bool isFirst = true;
    for (const auto &[entry, each] : m_listeners) {
        if (each.wish.milliCores > 0 && (isFirst || each.turns < least)) {
            least = each.turns;
            isFirst = false;
        }
    }
    return least;
}

}
