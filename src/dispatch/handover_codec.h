#ifndef AZUREMOOR_DISPATCH_HANDOVER_CODEC_H
#define AZUREMOOR_DISPATCH_HANDOVER_CODEC_H

#include <optional>

#include "dispatch/active_job.h"
#include "dispatch/job_answer.h"
#include "messages/handover_messages.h"

namespace azuremoor
{

/// Returns the message that hands the job over, without its epoch, sign of life and routing version; nothing if it exceeds the limits of
/// the message.
std::optional<job_handover> encodeHandover(const active_job &job, steady_time now);

/// Returns the job as a caller submitted it; nothing if it breaks the rules for callers' jobs.
std::optional<job_spec> decodeHandedJob(const job_handover &handover);

/// Returns the route of a handed-over job; nothing if its objective is out of range.
std::optional<route> decodeHandedRoute(const job_handover &handover);

/// Returns the text of another entry in a form for the journal and for callers: cut to the length of a reason, with a question mark for
/// each byte that is not printable ASCII.
std::string printableText(std::string_view text);

/// Returns the message that answers the handed-over job of the number; see `handover_answer::mayRun`.
handover_answer encodeHandoverAnswer(std::uint64_t number, const job_answer &answer, steady_time now, bool mayRun);

/// Returns the answer to a handed-over job.
job_answer decodeHandoverAnswer(const handover_answer &answer, steady_time now);

}

#endif
