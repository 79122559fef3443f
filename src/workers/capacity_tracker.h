#ifndef AZUREMOOR_WORKERS_CAPACITY_TRACKER_H
#define AZUREMOOR_WORKERS_CAPACITY_TRACKER_H

#include <cstdint>

#include "messages/job_request.h"

namespace azuremoor
{

/**
 * Tracks the resources in use by the tasks on one worker: slots, cores, memory and accelerators.
 *
 * A capacity of 0 cores, memory or accelerators was not declared and is not limited. The number of slots is always limited.
 */
class capacity_tracker
{
public:
    /// Replaces the capacity. Existing reservations stay, and may exceed the new capacity.
    void setCapacity(std::uint32_t slots, const task_shape &capacity);

    /// Returns whether one more task with these resources fits.
    bool fits(const task_shape &resources) const;

    /// Reserves a slot and the resources, without checking that they fit.
    void reserve(const task_shape &resources);

    /// Releases a slot and the resources. They must have been reserved.
    void release(const task_shape &resources);

    std::uint32_t freeSlots() const;

    std::uint32_t usedSlots() const;

    /// Returns the total number of slots.
    std::uint32_t slots() const;

private:
    std::uint32_t m_slots = 0;
    std::uint32_t m_usedSlots = 0;
    task_shape m_capacity;
    task_shape m_used;
};

}

#endif
