#include "workers/capacity_account.h"

namespace azuremoor
{

namespace
{

bool dimensionFits(std::uint32_t used, std::uint32_t wanted, std::uint32_t capacity)
{
    return capacity == 0 || std::uint64_t(used) + wanted <= capacity;
}

}

void capacity_account::setCapacity(std::uint32_t slots, const task_shape &capacity)
{
    m_slots = slots;
    m_capacity = capacity;
}

bool capacity_account::fits(const task_shape &shape) const
{
    return m_usedSlots < m_slots && dimensionFits(m_used.milliCores, shape.milliCores, m_capacity.milliCores)
        && dimensionFits(m_used.memoryMegabytes, shape.memoryMegabytes, m_capacity.memoryMegabytes)
        && dimensionFits(m_used.accelerators, shape.accelerators, m_capacity.accelerators);
}

void capacity_account::occupy(const task_shape &shape)
{
    ++m_usedSlots;
    m_used += shape;
}

void capacity_account::release(const task_shape &shape)
{
    --m_usedSlots;
    m_used = m_used.saturatingMinus(shape);
}

std::uint32_t capacity_account::freeSlots() const
{
    return m_usedSlots < m_slots ? m_slots - m_usedSlots : 0;
}

std::uint32_t capacity_account::usedSlots() const
{
    return m_usedSlots;
}

std::uint32_t capacity_account::slots() const
{
    return m_slots;
}

}
