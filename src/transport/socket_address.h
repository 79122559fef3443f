#ifndef AZUREMOOR_TRANSPORT_SOCKET_ADDRESS_H
#define AZUREMOOR_TRANSPORT_SOCKET_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace azuremoor
{

/// An IP number with a port.
struct socket_address {
    std::string host;
    std::uint16_t port = 0;

    /// Returns the address in the form that parse accepts.
    std::string text() const;

    /// Returns the address that the text names by IP number, as `127.0.0.1:80` or `[::1]:80`. Names are not looked up.
    static std::optional<socket_address> parse(std::string_view text);

    /// As parse, but only an address that can be called, whose port is not 0.
    static std::optional<socket_address> parseCallable(std::string_view text);
};

}

#endif
