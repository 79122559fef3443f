#ifndef AZUREMOOR_TESTING_MESSAGE_TRACE_H
#define AZUREMOOR_TESTING_MESSAGE_TRACE_H

#include <string>

#include "messages/messages.h"

namespace azuremoor::testing
{

/// Returns a line about the message if it concerns the job, or an empty text.
std::string traceLine(const message &value, const std::string &jobId);

}

#endif
