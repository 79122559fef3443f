#ifndef AZUREMOOR_WORKERS_CAPACITY_TRACKER_H
#define AZUREMOOR_WORKERS_CAPACITY_TRACKER_H

#include <cstdint>

#include "messages/job_request.h"

namespace azuremoor
{

/**
 * Keeps account of what the tasks on one worker occupy: slots, cores, memory and accelerators.
 *
 * A dimension of capacity that is 0 was not declared and is not limited.
 */
class capacity_tracker
{
public:
    /// Replaces the capacity. What is occupied stays occupied.
    void setCapacity(std::uint32_t slots, const task_shape &capacity);

    /// Returns whether one more task of the shape fits.
    bool fits(const task_shape &resources) const;

    /// Occupies a slot and the shape.
    void reserve(const task_shape &resources);

    /// Frees what was occupied by a task of the shape.
    void release(const task_shape &resources);

    /// Returns the number of slots that are not occupied.
    std::uint32_t freeSlots() const;

    /// Returns the number of slots that are occupied.
    std::uint32_t usedSlots() const;

    /// Returns the number of slots in all.
    std::uint32_t slots() const;

private:
    std::uint32_t m_slots = 0;
    std::uint32_t m_usedSlots = 0;
    task_shape m_capacity;
    task_shape m_used;
};

}

#endif
