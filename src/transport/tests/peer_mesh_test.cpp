#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "messages/codec.h"
#include "transport/peer_mesh.h"

using namespace azuremoor;

namespace
{

/// Time in which two peers connect, and in which a lost target is dialled some times.
constexpr milliseconds RUN_TIME{700};

/// Notes what a mesh reports.
class noting_handler : public peer_handler
{
public:
    void connectPeer(const hello &peer) override
    {
        connected.push_back(peer.name);
        incarnations.push_back(peer.incarnation);
    }

    void disconnectPeer(const std::string &) override
    {
        ++disconnects;
    }

    void handleMessage(const std::string &, const message &value) override
    {
        received.push_back(value);
    }

    void flush() override
    {
    }

    std::vector<std::string> connected;
    std::vector<std::uint64_t> incarnations;
    std::vector<message> received;
    int disconnects = 0;
};

void runFor(event_loop &loop, milliseconds duration)
{
    loop.after(duration, [&loop] { loop.stop(); });
    loop.run();
}

/// A connection to a mesh whose messages are sent when the test says so, also after others that were begun later.
class raw_connection
{
public:
    explicit raw_connection(const socket_address &address)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(address.port);
        inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
        REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) == 0);
    }

    ~raw_connection()
    {
        ::close(m_socket);
    }

    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    void introduce(const std::string &name, std::uint64_t incarnation) const
    {
        send(hello{name, member_role::agent, incarnation, "z", {}});
    }

    void send(const message &value) const
    {
        const std::string body = encodeMessage(value);
        const std::uint32_t length = htonl(static_cast<std::uint32_t>(body.size()));
        std::string bytes(reinterpret_cast<const char *>(&length), sizeof(length));
        bytes += body;
        static_cast<void>(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL));
    }

private:
    int m_socket;
};

/// A mesh that listens, and raw connections to it.
class listening_mesh
{
public:
    listening_mesh()
        : mesh(loop, {"entry", member_role::entry, 1, "z", {}}, {"127.0.0.1", 0}, handler)
    {
    }

    void run()
    {
        runFor(loop, milliseconds(50));
    }

    event_loop loop;
    noting_handler handler;
    peer_mesh mesh;
};

/// Two peers, of which one has the address of the other.
class two_peers
{
public:
    two_peers()
        : listening(loop, {"entry", member_role::entry, 1, "z", {}}, {"127.0.0.1", 0}, listener)
        , dialling(loop, {"agent", member_role::agent, 1, "z", {}}, socket_address{}, dialler)
    {
    }

    event_loop loop;
    noting_handler listener;
    noting_handler dialler;
    peer_mesh listening;
    peer_mesh dialling;
};

}

/// Guards against a text of another writer, longer than messages carry, that ends the process when it is passed on.
TEST_CASE("a message with a text over the limit is dropped and counted, and later ones arrive")
{
    two_peers test;
    test.dialling.setTargets({{"entry", test.listening.address()}});
    runFor(test.loop, RUN_TIME);
    worker_status status;
    status.labels = {std::string(64 * 1024, 'a')};
    CHECK_NOTHROW(test.dialling.send("entry", status));
    status.labels = {"a"};
    test.dialling.send("entry", status);
    runFor(test.loop, RUN_TIME);
    CHECK(test.dialling.counters().droppedMalformed == 1);
    CHECK(test.listening.counters().droppedMalformed == 0);
    CHECK(test.listener.disconnects == 0);
    REQUIRE(test.listener.received.size() == 1);
    CHECK(std::get<worker_status>(test.listener.received[0]).labels == status.labels);
}

/// Guards against an address of another writer that ends the process when it is dialled, or that keeps it from the other peers.
TEST_CASE("targets that cannot be dialled are passed over, and the others are connected")
{
    two_peers test;
    test.dialling.setTargets({{"a", {"", 0}},
                              {"b", {"entry.example", 80}},
                              {"c", {"127.0.0.1", 0}},
                              {"d", {"255.255.255.255", 80}},
                              {"e", {"224.0.0.1", 80}},
                              {"f", {"0.0.0.0", 0}},
                              {"g", {"::", 0}},
                              {"\xff", {"\xff", 1}},
                              {"z", test.listening.address()}});
    CHECK_NOTHROW(runFor(test.loop, RUN_TIME));
    CHECK(test.dialler.connected == std::vector<std::string>{"entry"});
    CHECK(test.dialling.counters().droppedUnreachable > 0);
}

/// Guards against orders and results of a lost connection that are handed on after those of the one that replaced it, whose first status
/// has settled what arrived.
TEST_CASE("messages that arrive on a connection that another one has replaced are not handed on")
{
    listening_mesh test;
    const raw_connection former(test.mesh.address());
    former.introduce("agent", 1);
    test.run();
    const raw_connection current(test.mesh.address());
    current.introduce("agent", 1);
    former.send(run_results{1, {}});
    test.run();
    former.send(run_results{2, {}});
    current.send(ping{1, 0});
    test.run();
    CHECK(test.handler.connected.size() == 2);
    const auto isPing = [](const message &value) { return std::holds_alternative<ping>(value); };
    REQUIRE_FALSE(test.handler.received.empty());
    CHECK(isPing(test.handler.received.back()));
    CHECK(std::ranges::count_if(test.handler.received, isPing) == 1);
    CHECK_FALSE(std::ranges::any_of(test.handler.received, [](const message &value) {
        const auto *results = std::get_if<run_results>(&value);
        return results != nullptr && results->firstNumber == 2;
    }));
}

/// Guards against a process that takes the late introduction of a dead peer for that of its successor, and gives the successor up.
TEST_CASE("an introduction on an older connection does not replace a peer that has connected again since")
{
    listening_mesh test;
    const raw_connection late(test.mesh.address());
    test.run();
    const raw_connection current(test.mesh.address());
    current.introduce("agent", 2);
    test.run();
    late.introduce("agent", 1);
    late.send(ping{1, 0});
    test.run();
    CHECK(test.handler.incarnations == std::vector<std::uint64_t>{2});
    CHECK(test.handler.disconnects == 0);
    CHECK(test.handler.received.empty());
    current.send(ping{2, 0});
    test.run();
    CHECK(test.handler.received.size() == 1);
}
