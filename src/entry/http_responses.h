#ifndef AZUREMOOR_ENTRY_HTTP_RESPONSES_H
#define AZUREMOOR_ENTRY_HTTP_RESPONSES_H

#include <string>

#include "transport/http_server.h"

namespace azuremoor
{

/// Returns the response to a request whose method the path does not take. The text lists the methods that it takes.
http_response methodNotAllowedResponse(const http_request &request, const std::string &allowed);

}

#endif
