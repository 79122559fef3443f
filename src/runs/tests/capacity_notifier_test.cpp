#include <map>

#include <doctest/doctest.h>

#include "runs/capacity_notifier.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

constexpr std::uint32_t FREE = 4000;
constexpr room_wish WISH{10'000, 1000};

/// An announcer with two entries in virtual time.
class notifier_fixture
{
public:
    notifier_fixture()
        : notifier(time)
    {
        notifier.add("one");
        notifier.add("two");
    }

    /// Tells the entry whose turn it is, and returns it.
    std::optional<std::string> notifyNext(std::uint32_t free = FREE)
    {
        std::optional<std::string> entry = notifier.selectEntryToNotify(free);
        if (entry) {
            notifier.recordNotified(*entry);
        }
        return entry;
    }

    virtual_time time;
    capacity_notifier notifier;
};

}

TEST_CASE("an entry that wishes for nothing is told of changes later, and once for all of them")
{
    notifier_fixture test;
    CHECK_FALSE(test.notifier.needsUpdate("one"));
    test.notifier.recordCapacityChange();
    test.notifier.recordCapacityChange();
    CHECK_FALSE(test.notifyNext());
    CHECK(test.notifier.needsUpdate("one"));
    test.notifier.recordNotified("one");
    CHECK_FALSE(test.notifier.needsUpdate("one"));
    CHECK(test.notifier.needsUpdate("two"));
}

TEST_CASE("room that becomes free is shown to one of the entries that wish for it, and to the next if it is not used")
{
    notifier_fixture test;
    test.notifier.setDemand("one", WISH);
    test.notifier.setDemand("two", WISH);
    test.notifier.recordCapacityChange();
    const std::optional<std::string> first = test.notifyNext();
    REQUIRE(first);
    CHECK_FALSE(test.notifyNext());
    test.time.run(milliseconds(10));
    const std::optional<std::string> second = test.notifyNext();
    REQUIRE(second);
    CHECK(*first != *second);
}

TEST_CASE("room that is too small for any waiting task is not shown")
{
    notifier_fixture test;
    test.notifier.setDemand("one", WISH);
    test.notifier.recordCapacityChange();
    CHECK_FALSE(test.notifyNext(WISH.smallestMilliCores - 1));
}

TEST_CASE("turns go by how much work waits at each entry")
{
    notifier_fixture test;
    test.notifier.setDemand("one", {30'000, 1000});
    test.notifier.setDemand("two", {10'000, 1000});
    std::map<std::string, int> turns;
    for (int change = 0; change < 400; ++change) {
        test.notifier.recordCapacityChange();
        ++turns[test.notifier.selectEntryToNotify(FREE).value_or("none")];
        test.notifier.recordNotified("one");
        test.notifier.recordNotified("two");
    }
    CHECK(turns["one"] == 300);
    CHECK(turns["two"] == 100);
}

TEST_CASE("an entry that wishes for room after a pause gets no turns for the time of the pause")
{
    notifier_fixture test;
    test.notifier.setDemand("one", WISH);
    for (int change = 0; change < 100; ++change) {
        test.notifier.recordCapacityChange();
        test.notifyNext();
    }
    test.notifier.setDemand("two", WISH);
    std::map<std::string, int> turns;
    for (int change = 0; change < 20; ++change) {
        test.notifier.recordCapacityChange();
        ++turns[test.notifyNext().value_or("none")];
    }
    CHECK(turns["one"] == 10);
    CHECK(turns["two"] == 10);
}

TEST_CASE("an entry that is gone gets no turn")
{
    notifier_fixture test;
    test.notifier.setDemand("one", WISH);
    test.notifier.remove("one");
    CHECK_FALSE(test.notifier.hasDemand());
    test.notifier.recordCapacityChange();
    CHECK_FALSE(test.notifyNext());
}
