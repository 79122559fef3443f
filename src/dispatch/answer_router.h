#ifndef AZUREMOOR_DISPATCH_ANSWER_ROUTER_H
#define AZUREMOOR_DISPATCH_ANSWER_ROUTER_H

#include "dispatch/job_answer.h"

namespace azuremoor
{

/// Smallest number of a request that another entry made by handing a job over. Requests of callers have smaller numbers.
constexpr std::uint64_t FIRST_HANDOVER_REQUEST = std::uint64_t(1) << 63;

constexpr bool isHandoverRequest(std::uint64_t request)
{
    return request >= FIRST_HANDOVER_REQUEST;
}

/// Passes answers to callers or to the entries that handed the jobs over, by the number of the request. The sinks must outlive it.
class answer_router : public answer_sink
{
public:
    explicit answer_router(answer_sink &callers)
        : m_callers(callers)
    {
    }

    /// Sets the sink for requests of other entries. It must be set before the first of them.
    void setHandovers(answer_sink &handovers)
    {
        m_handovers = &handovers;
    }

    void answerRequest(std::uint64_t request, const job_answer &answer) override
    {
        if (!isHandoverRequest(request)) {
            m_callers.answerRequest(request, answer);
        } else if (m_handovers != nullptr) {
            m_handovers->answerRequest(request, answer);
        }
    }

private:
    answer_sink &m_callers;
    answer_sink *m_handovers = nullptr;
};

}

#endif
