#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "dispatch/entry_subset.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

std::vector<std::string> entryAddresses(std::size_t count)
{
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back("10.0." + std::to_string(index / 256) + '.' + std::to_string(index % 256) + ":7720");
    }
    return result;
}

/// An agent's directory, which knows all entries.
class directory_fixture
{
public:
    explicit directory_fixture(std::size_t entries)
        : directory(time, "", {})
        , subset(time, "agent-1", ENTRIES_PER_AGENT)
    {
        directory.addAddresses(entryAddresses(entries));
    }

    /// Makes the connections that are chosen, except to the unreachable entry.
    entry_selection connect(const std::string &unreachable = {})
    {
        entry_selection selection = subset.choose(directory);
        for (const entry_contact &contact : directory.contacts()) {
            const bool isTarget = std::ranges::find(selection.targets, contact.address) != selection.targets.end();
            const bool isConnected = isTarget && contact.address != unreachable;
            if (isConnected != contact.isConnected) {
                directory.setConnected(contact.address, isConnected);
            }
        }
        return selection;
    }

    virtual_time time;
    entry_directory directory;
    entry_subset subset;
};

}

/// Guards against workers that stay unused in a small fleet.
TEST_CASE("entry subset: an agent takes all entries when there are few")
{
    directory_fixture agent(14);
    CHECK(agent.subset.choose(agent.directory).targets.size() == 14);
    CHECK(agent.subset.choose(agent.directory).surplus.empty());
}

/// Guards against connections and heartbeats of an entry that grow with the fleet, and against entries with few or no workers.
TEST_CASE("entry subset: the agents of an entry depend on the workers for each entry, not on the size of the fleet")
{
    for (const std::size_t entries : {55, 265}) {
        const std::size_t agents = entries * 240 / 55;
        CAPTURE(entries);
        std::map<std::string, std::size_t> agentsOfEntry;
        for (std::size_t index = 0; index < agents; ++index) {
            virtual_time time;
            entry_directory directory(time, "", {});
            directory.addAddresses(entryAddresses(entries));
            entry_subset subset(time, "side-" + std::to_string(index), ENTRIES_PER_AGENT);
            const entry_selection selection = subset.choose(directory);
            CHECK(selection.targets.size() == ENTRIES_PER_AGENT);
            for (const std::string &entry : selection.targets) {
                ++agentsOfEntry[entry];
            }
        }
        const std::size_t mean = agents * ENTRIES_PER_AGENT / entries;
        CHECK(agentsOfEntry.size() == entries);
        for (const auto &[entry, count] : agentsOfEntry) {
            CAPTURE(entry);
            CHECK(count >= mean / 2);
            CHECK(count <= mean * 2);
        }
    }
}

/// Guards against a worker that fewer and fewer entries know while entries are lost.
TEST_CASE("entry subset: an entry that cannot be reached is replaced, and its replacement is surplus once it is back")
{
    directory_fixture agent(55);
    const std::string lost = agent.connect().targets.front();
    agent.time.run(seconds(5));
    agent.directory.setConnected(lost, false);
    agent.connect(lost);
    CHECK(agent.subset.choose(agent.directory).targets.size() == ENTRIES_PER_AGENT);

    agent.time.run(seconds(2));
    agent.connect(lost);
    const entry_selection replaced = agent.subset.choose(agent.directory);
    CHECK(replaced.targets.size() == ENTRIES_PER_AGENT + 1);
    CHECK(std::ranges::find(replaced.targets, lost) != replaced.targets.end());
    CHECK(replaced.surplus.empty());

    agent.connect();
    const entry_selection back = agent.subset.choose(agent.directory);
    CHECK(back.targets.size() == ENTRIES_PER_AGENT + 1);
    REQUIRE(back.surplus.size() == 1);
    CHECK(back.surplus.front() != lost);
}

/// Guards against a reconnection of the whole fleet when one entry is added.
TEST_CASE("entry subset: a new entry takes the place of at most one other")
{
    directory_fixture agent(55);
    const entry_selection before = agent.connect();
    agent.directory.addAddresses(std::vector<std::string>{"10.9.9.9:7720"});
    const entry_selection after = agent.subset.choose(agent.directory);
    const auto kept = std::ranges::count_if(
        before.targets, [&after](const std::string &entry) { return std::ranges::find(after.targets, entry) != after.targets.end(); });
    CHECK(static_cast<std::size_t>(kept) == before.targets.size());
    CHECK(after.surplus.size() <= 1);
}
