#ifndef AZUREMOOR_DISPATCH_WORKER_PREFERENCE_H
#define AZUREMOOR_DISPATCH_WORKER_PREFERENCE_H

#include <vector>

namespace azuremoor
{

struct placement_request;
struct ranked_worker;
class worker_pool;

/// Narrows the workers that a placement policy chooses from, so that each policy can follow it.
class worker_preference
{
public:
    virtual ~worker_preference() = default;

    /// Removes the workers that others are preferred to for the task. Leaves at least one if there is one.
    virtual void narrow(const worker_pool &pool, const placement_request &request, std::vector<ranked_worker> &workers) const = 0;
};

}

#endif
