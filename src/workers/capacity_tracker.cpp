#include "workers/capacity_tracker.h"

namespace azuremoor
{

namespace
{

bool fitsDimension(std::uint32_t used, std::uint32_t requested, std::uint32_t capacity)
{
    return capacity == 0 || std::uint64_t(used) + requested <= capacity;
}

}

void capacity_tracker::setCapacity(std::uint32_t slots, const task_shape &capacity)
{
    m_slots = slots;
    m_capacity = capacity;
}

bool capacity_tracker::fits(const task_shape &resources) const
{
    return m_usedSlots < m_slots && fitsDimension(m_used.milliCores, resources.milliCores, m_capacity.milliCores)
        && fitsDimension(m_used.memoryMegabytes, resources.memoryMegabytes, m_capacity.memoryMegabytes)
        && fitsDimension(m_used.accelerators, resources.accelerators, m_capacity.accelerators);
}

void capacity_tracker::reserve(const task_shape &resources)
{
    ++m_usedSlots;
    m_used += resources;
}

void capacity_tracker::release(const task_shape &resources)
{
    --m_usedSlots;
    m_used = m_used.saturatingMinus(resources);
}

std::uint32_t capacity_tracker::freeSlots() const
{
    return m_usedSlots < m_slots ? m_slots - m_usedSlots : 0;
}

std::uint32_t capacity_tracker::usedSlots() const
{
    return m_usedSlots;
}

std::uint32_t capacity_tracker::slots() const
{
    return m_slots;
}

}
