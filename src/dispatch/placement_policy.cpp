#include "dispatch/placement_policy.h"

#include <algorithm>

#include "dispatch/worker_ranking.h"

namespace azuremoor
{

earliest_completion_placement::earliest_completion_placement(const time_source &time,
                                                             std::string dataCentre,
                                                             double remoteFactor,
                                                             std::uint64_t seed)
    : m_ranking(std::make_unique<worker_ranking>(time, std::move(dataCentre), remoteFactor, seed))
{
}

earliest_completion_placement::~earliest_completion_placement() = default;

pooled_worker *earliest_completion_placement::chooseWorker(worker_pool &pool, const placement_request &request)
{
    const std::span<const ranked_worker> ranked = m_ranking->rank(pool, request);
    const auto best = std::min_element(ranked.begin(), ranked.end(), [](const ranked_worker &one, const ranked_worker &other) {
        return one.expectedMicroseconds < other.expectedMicroseconds;
    });
    return best == ranked.end() ? nullptr : best->worker;
}

bool earliest_completion_placement::canAnyWorkerRun(const worker_pool &pool, const placement_request &request) const
{
    return m_ranking->canAnyWorkerRun(pool, request);
}

}
