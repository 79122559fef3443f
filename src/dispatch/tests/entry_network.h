#ifndef AZUREMOOR_DISPATCH_TESTS_ENTRY_NETWORK_H
#define AZUREMOOR_DISPATCH_TESTS_ENTRY_NETWORK_H

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/entry_peer_handler.h"
#include "testing/virtual_time.h"

namespace azuremoor::testing
{

/// Parses documents of the form "VERSION:CONTENT" into a configuration of one route.
class numbered_document_reader : public routing_reader
{
public:
    std::optional<routing> read(std::string_view document) const override;
};

/// What one entry of a network has sent and received.
struct entry_traffic {
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    /// Longest time from the sending of a heartbeat of the entry's agent to the arrival of the answer.
    microseconds slowestHeartbeat{0};
};

/**
 * Entries that are connected to one another, each with one agent, in virtual time.
 *
 * Each entry has a link of limited rate in each direction, which all its messages share in the order in which they were sent. Entries are
 * named "entry-N". An entry and its agent exchange heartbeats as they do in the fleet.
 */
class entry_network
{
public:
    /// The rate of each entry's link is in bits per second.
    entry_network(std::size_t entries, double bitsPerSecond);
    ~entry_network();

    /// Moves the clock by the duration.
    void run(microseconds duration);

    /// Gives an entry the document, as the store does.
    void deliverFromStore(std::size_t entry, const std::string &document);

    /// Closes the connections of the entry, which is not reached any more.
    void removeEntry(std::size_t entry);

    /// Returns the version that the entry has in force.
    std::uint64_t version(std::size_t entry) const;

    const entry_traffic &traffic(std::size_t entry) const;

    /// Forgets what was sent and received.
    void resetTraffic();

private:
    class entry_node;

    void sendHeartbeats();
    void transmit(std::size_t from, std::size_t to, const message &value);
    /// Sends the bytes over one direction of a link and returns when they have passed it.
    steady_time passLink(steady_time &busyUntil, std::size_t bytes);

    virtual_time m_time;
    double m_bitsPerSecond;
    numbered_document_reader m_reader;
    std::vector<std::unique_ptr<entry_node>> m_entries;
};

}

#endif
