#ifndef AZUREMOOR_JOBS_JOB_REPLIES_H
#define AZUREMOOR_JOBS_JOB_REPLIES_H

#include <string>

#include "base/decision_journal.h"
#include "jobs/owned_job.h"

namespace azuremoor
{

/// HTTP status and explanation of a refusal, and the time after which the caller may retry (0 for no retry).
struct refusal_reason {
    std::uint32_t status = 0;
    milliseconds retryAfter{0};
    std::string text;
};

/// Returns the reply to a refused request. Its verdict is may_have_run, because another request for the same submission may have been
/// accepted.
job_reply refusalReply(const waiting_request &to, const job_request &request, const refusal_reason &reason);

/// Returns the final reply of a closed job, or the progress of a job that is not closed, addressed to the request.
job_reply replyFor(const waiting_request &to, const owned_job &job);

/// Returns the decision journal fields for a failed job. They describe its first task without an answer. At least one task must be
/// without one.
journal_fields failureFields(const owned_job &job, std::uint64_t epoch);

}

#endif
