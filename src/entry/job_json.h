#ifndef AZUREMOOR_ENTRY_JOB_JSON_H
#define AZUREMOOR_ENTRY_JOB_JSON_H

#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "messages/messages.h"
#include "transport/http_server.h"

namespace azuremoor
{

/// Why a body is not a job.
struct job_error {
    int status = 400;
    std::string detail;
};

/// Returns the job that the JSON text describes. Unknown keys, wrong types and values out of range are errors that name the place.
tl::expected<job_request, job_error> parseJob(std::string_view text);

/// Returns the answer to a caller for an owner's reply.
http_response jobResponse(const job_reply &reply);

}

#endif
