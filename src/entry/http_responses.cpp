#include "entry/http_responses.h"

#include "transport/http_status.h"

namespace azuremoor
{

http_response methodNotAllowedResponse(const http_request &request, const std::string &allowed)
{
    http_response response = problemResponse(STATUS_METHOD_NOT_ALLOWED, "Method Not Allowed", request.path + " answers " + allowed);
    response.headers["Allow"] = allowed;
    return response;
}

}
