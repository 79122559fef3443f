#ifndef AZUREMOOR_TRANSPORT_HTTP_STATUS_H
#define AZUREMOOR_TRANSPORT_HTTP_STATUS_H

namespace azuremoor
{

/// Status codes of HTTP responses, by the names that the standard gives them, shortened.
constexpr int STATUS_OK = 200;
constexpr int STATUS_ACCEPTED = 202;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_METHOD_NOT_ALLOWED = 405;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_GONE = 410;
constexpr int STATUS_MISDIRECTED = 421;
constexpr int STATUS_UNPROCESSABLE = 422;
constexpr int STATUS_TOO_MANY_REQUESTS = 429;
constexpr int STATUS_FAILED = 500;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr int STATUS_GATEWAY_TIMEOUT = 504;

}

#endif
