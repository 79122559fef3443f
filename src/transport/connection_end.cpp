#include "transport/connection_end.h"

#include <array>
#include <cerrno>

#include <poll.h>

namespace azuremoor
{

std::string_view connectionEndName(connection_end end)
{
    constexpr std::array<std::string_view, CONNECTION_END_COUNT> NAMES = {"none", "closed", "reset"};
    return NAMES[static_cast<std::size_t>(end)];
}

connection_end endOfSocket(int socket)
{
    pollfd state{socket, POLLRDHUP, 0};
    int ended = poll(&state, 1, 0);
    while (ended < 0 && errno == EINTR) {
        ended = poll(&state, 1, 0);
    }
    if (ended == 0) {
        return connection_end::none;
    }
    return (state.revents & POLLERR) == 0 && (state.revents & POLLRDHUP) != 0 ? connection_end::closed : connection_end::reset;
}

}
