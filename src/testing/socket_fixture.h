#ifndef AZUREMOOR_TESTING_SOCKET_FIXTURE_H
#define AZUREMOOR_TESTING_SOCKET_FIXTURE_H

#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/socket_address.h"

namespace azuremoor::testing
{

/// A socket on a free port of this host whose connections a test accepts, resets, leaves waiting or refuses.
class socket_fixture
{
public:
    /// Takes a free port. Connections are refused until `listen` is called.
    socket_fixture()
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)::bind(m_socket, name(), sizeof(m_address));
        socklen_t length = sizeof(m_address);
        ::getsockname(m_socket, name(), &length);
    }

    ~socket_fixture()
    {
        for (const int each : m_callers) {
            ::close(each);
        }
        ::close(m_socket);
    }

    socket_fixture(const socket_fixture &) = delete;
    socket_fixture &operator=(const socket_fixture &) = delete;

    socket_address address() const
    {
        return {"127.0.0.1", ntohs(m_address.sin_port)};
    }

    /// Opens the port for connections.
    void listen(int backlog)
    {
        ::listen(m_socket, backlog);
    }

    /// Opens the port and fills its queue with connections that nobody accepts, so that the opening packet of another one is dropped.
    void listenWithFullQueue()
    {
        constexpr int CALLERS = 4;
        listen(0);
        for (int count = 0; count < CALLERS; ++count) {
            const int caller = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            (void)::connect(caller, name(), sizeof(m_address));
            m_callers.push_back(caller);
        }
    }

    /// Resets the connection that has waited longest. Returns whether there was one.
    bool resetNext()
    {
        const int accepted = ::accept(m_socket, nullptr, nullptr);
        if (accepted < 0) {
            return false;
        }
        const linger reset{1, 0};
        ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(accepted);
        return true;
    }

private:
    sockaddr *name()
    {
        return reinterpret_cast<sockaddr *>(&m_address);
    }

    int m_socket;
    sockaddr_in m_address{};
    std::vector<int> m_callers;
};

}

#endif
