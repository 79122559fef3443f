#ifndef AZUREMOOR_DISPATCH_JOB_ANSWER_H
#define AZUREMOOR_DISPATCH_JOB_ANSWER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time_source.h"

namespace azuremoor
{

/// Kind of the answer to a job request.
enum class answer_kind : std::uint8_t {
    completed,
    /// A task failed as often as its route allows, or no known worker can run one of the tasks.
    failed,
    /// No task has started, because there is too much work. The caller may retry.
    refused_full,
    /// No task has started, because something that the job needs is missing. The caller may retry.
    refused_unavailable,
    /// Not done by the deadline, or by the time the entry stopped. Some tasks may have run.
    expired,
    cancelled,
};

constexpr std::size_t ANSWER_KIND_COUNT = 6;

/// Returns the name that journals and metrics use for the kind.
std::string_view answerKindName(answer_kind kind);

/// What an entry is short of for a job.
enum class resource_shortage : std::uint8_t {
    none,
    processor,
    link,
    /// Its share of the workers' capacity.
    share,
    /// Time: it stops.
    stopping,
};

constexpr std::size_t RESOURCE_SHORTAGE_COUNT = 5;

/// Returns the name that journals and metrics use for the shortage.
std::string_view resourceShortageName(resource_shortage shortage);

/// The answer to a request.
struct job_answer {
    answer_kind kind = answer_kind::failed;
    std::string reason;
    /// Earliest time of a retry, on the steady clock; set for refusals only.
    steady_time retryAt{};
    /// What the entry is short of; set for refusals for lack of a resource that other entries may have.
    resource_shortage shortage = resource_shortage::none;
};

/// Receives the answers that a dispatcher gives.
class answer_sink
{
public:
    virtual ~answer_sink() = default;

    /// Delivers the answer. Called exactly once for each request, unless its caller abandons it first.
    virtual void answerRequest(std::uint64_t request, const job_answer &answer) = 0;
};

}

#endif
