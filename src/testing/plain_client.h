#ifndef AZUREMOOR_TESTING_PLAIN_CLIENT_H
#define AZUREMOOR_TESTING_PLAIN_CLIENT_H

#include <array>
#include <stdexcept>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/socket_address.h"

namespace azuremoor::testing
{

/// A client on a plain socket, whose bytes and end of the connection are at the test's command. Failed calls throw std::runtime_error.
class plain_client
{
public:
    /// Connects to the server, whose address is an IPv4 one.
    explicit plain_client(const socket_address &server)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
        require(connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0, "connect");
    }

    ~plain_client()
    {
        close();
    }

    plain_client(const plain_client &) = delete;
    plain_client &operator=(const plain_client &) = delete;

    void send(std::string_view bytes) const
    {
        require(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()), "send");
    }

    /// Reads and returns what has arrived, which must be something. A close with unread bytes would be a reset.
    std::string read() const
    {
        std::array<char, 4096> bytes{};
        const ssize_t length = recv(m_socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        require(length > 0, "read");
        return {bytes.data(), static_cast<std::size_t>(length)};
    }

    /// Ends the connection with a reset in place of an orderly close.
    void reset()
    {
        const linger immediate{1, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &immediate, sizeof(immediate));
        close();
    }

    void close()
    {
        if (m_socket >= 0) {
            ::close(m_socket);
            m_socket = -1;
        }
    }

    /// Closes the client's own direction of the connection.
    void closeSending() const
    {
        shutdown(m_socket, SHUT_WR);
    }

private:
    static void require(bool isDone, const char *call)
    {
        if (!isDone) {
            throw std::runtime_error(call);
        }
    }

    int m_socket;
};

}

#endif
