#include "transport/socket_address.h"

#include <charconv>

#include <arpa/inet.h>

namespace azuremoor
{

namespace
{

bool isIpNumber(const std::string &host)
{
    in6_addr ignored{};
    return inet_pton(AF_INET, host.c_str(), &ignored) == 1 || inet_pton(AF_INET6, host.c_str(), &ignored) == 1;
}

}

std::string socket_address::text() const
{
    const bool bracketed = host.find(':') != std::string::npos;
    return (bracketed ? '[' + host + ']' : host) + ':' + std::to_string(port);
}

std::optional<socket_address> socket_address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    socket_address address;
    address.host = std::string(host);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc() || end != digits.data() + digits.size() || !isIpNumber(address.host)) {
        return std::nullopt;
    }
    return address;
}

std::optional<socket_address> socket_address::parseCallable(std::string_view text)
{
    std::optional<socket_address> address = parse(text);
    return address && address->port != 0 ? address : std::nullopt;
}

}
