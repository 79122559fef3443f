#include <doctest/doctest.h>

#include "dispatch/entry_directory.h"
#include "dispatch/route_table.h"
#include "testing/virtual_time.h"

using namespace azuremoor;

namespace
{

route routeTo(const std::string &name, const std::string &host, const std::string &prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

}

namespace
{

std::vector<std::string> addressesOf(const entry_directory &directory)
{
    std::vector<std::string> result;
    for (const entry_contact &contact : directory.contacts()) {
        result.push_back(contact.address);
    }
    return result;
}

}

TEST_CASE("the route with the longest matching prefix of the host is found")
{
    route_table table;
    REQUIRE(table.replace({1, {routeTo("short", "a", "/x/"), routeTo("long", "a", "/x/y/"), routeTo("other", "b", "/x/")}}));
    CHECK(table.find("a", "/x/y/1")->name == "long");
    CHECK(table.find("a", "/x/1")->name == "short");
    CHECK(table.find("b", "/x/y/1")->name == "other");
    CHECK(table.find("c", "/x/1") == nullptr);
    CHECK(table.find("a", "/z/1") == nullptr);
}

TEST_CASE("a configuration whose version is not higher is ignored")
{
    route_table table;
    REQUIRE(table.replace({7, {routeTo("new", "a", "/")}}));
    CHECK_FALSE(table.replace({7, {routeTo("other", "a", "/")}}));
    CHECK_FALSE(table.replace({3, {routeTo("old", "a", "/")}}));
    CHECK(table.version() == 7);
    CHECK(table.find("a", "/1")->name == "new");
}

TEST_CASE("an address without a connection is not passed on, and is removed after a while")
{
    testing::virtual_time time;
    const std::vector<std::string> seeds = {"10.0.0.1:1", "10.0.0.2:1"};
    entry_directory directory(time, "10.0.0.1:1", seeds);
    CHECK(addressesOf(directory) == std::vector<std::string>{"10.0.0.2:1"});
    const std::vector<std::string> heard = {"10.0.0.3:1"};
    CHECK(directory.addAddresses(heard));
    CHECK_FALSE(directory.addAddresses(heard));
    CHECK(directory.reachableAddresses() == std::vector<std::string>{"10.0.0.1:1"});
    directory.setConnected("10.0.0.3:1", true);
    CHECK(directory.reachableAddresses() == std::vector<std::string>{"10.0.0.1:1", "10.0.0.3:1"});
    directory.setConnected("10.0.0.3:1", false);
    time.run(seconds(11));
    CHECK(directory.removeExpired());
    CHECK(addressesOf(directory) == std::vector<std::string>{"10.0.0.2:1"});
}
