#ifndef AZUREMOOR_JOBS_JOB_REPLIES_H
#define AZUREMOOR_JOBS_JOB_REPLIES_H

#include <string>

#include "base/decision_journal.h"
#include "jobs/owned_job.h"

namespace azuremoor
{

/// Why a request is refused, and when its caller may try again.
struct refusal_reason {
    std::uint32_t status = 0;
    milliseconds retryAfter{0};
    std::string text;
};

/// Returns the reply to a request that is refused although its submission may have run by another way.
job_reply refusalReply(const waiting_request &to, const job_request &request, const refusal_reason &reason);

/// Returns the reply to a request about the job: its answer, or how far it is.
job_reply replyFor(const waiting_request &to, const owned_job &job);

/// Returns what is noted about a job that failed: the first task without an answer, and why it has none.
journal_fields failureFields(const owned_job &job, std::uint64_t epoch);

}

#endif
