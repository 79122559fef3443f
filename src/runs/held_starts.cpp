#include "runs/held_starts.h"

#include <iterator>
#include <utility>

namespace azuremoor
{

void held_starts::add(const run_order &order)
{
    m_unrequested.push_back(order);
}

bool held_starts::needsRequest() const
{
    return !m_unrequested.empty();
}

void held_starts::recordRequest(std::uint64_t number)
{
    if (needsRequest()) {
        m_requested[number] = std::exchange(m_unrequested, {});
    }
}

std::vector<run_order> held_starts::takeRequested(std::uint64_t number)
{
    std::vector<run_order> result;
    const auto end = m_requested.upper_bound(number);
    for (auto each = m_requested.begin(); each != end; ++each) {
        std::ranges::move(each->second, std::back_inserter(result));
    }
    m_requested.erase(m_requested.begin(), end);
    return result;
}

void held_starts::clear()
{
    m_unrequested.clear();
    m_requested.clear();
}

}
