#include "runs/worker_client.h"

#include <array>

namespace azuremoor
{

std::string_view workerReplyName(worker_reply reply)
{
    constexpr std::array<std::string_view, 11> NAMES = {"accepted",
                                                        "fenced",
                                                        "stale_number",
                                                        "late",
                                                        "no_room",
                                                        "malformed",
                                                        "unhealthy",
                                                        "wrong_worker",
                                                        "refused",
                                                        "not_sent",
                                                        "unknown"};
    return NAMES[static_cast<std::size_t>(reply)];
}

}
