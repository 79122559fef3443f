#ifndef AZUREMOOR_DISPATCH_JOB_ANSWER_H
#define AZUREMOOR_DISPATCH_JOB_ANSWER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time_source.h"

namespace azuremoor
{

/// How a request for a job is answered.
enum class answer_kind : std::uint8_t {
    completed,
    /// A task failed too often, or no worker could ever run it.
    failed,
    /// Proved not to have run: there is too much work. The caller may come back.
    refused_full,
    /// Proved not to have run: something that the job needs is missing. The caller may come back.
    refused_unavailable,
    /// Not done by the deadline. Some of it may have run.
    expired,
    cancelled,
};

/// Number of kinds of answers.
constexpr std::size_t ANSWER_KIND_COUNT = 6;

/// Returns the name of the kind, for logs and counters.
std::string_view answerKindName(answer_kind kind);

/// The one answer to a request.
struct job_answer {
    answer_kind kind = answer_kind::failed;
    std::string reason;
    /// When the caller may come back; only for refusals.
    steady_time retryAt{};
};

/// Delivers answers to callers.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Answers the request, once.
    virtual void answerRequest(std::uint64_t request, const job_answer &answer) = 0;
};

}

#endif
