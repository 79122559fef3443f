#ifndef AZUREMOOR_TRANSPORT_CONNECTION_END_H
#define AZUREMOOR_TRANSPORT_CONNECTION_END_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace azuremoor
{

/// Whether and how the peer of a connection has ended it.
enum class connection_end : std::uint8_t {
    /// The connection is open in both directions.
    none,
    /// The peer has closed it, or its own direction of it.
    closed,
    /// The peer or the network has reset it.
    reset,
};

/// Number of values of connection_end.
constexpr std::size_t CONNECTION_END_COUNT = 3;

/// Returns the name of the value for logs and metrics.
std::string_view connectionEndName(connection_end end);

/// Returns how the connection of the socket has ended, also while bytes that were received before the end have not been read. A socket
/// that cannot be examined counts as reset.
connection_end endOfSocket(int socket);

}

#endif
