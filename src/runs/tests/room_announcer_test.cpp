#include <map>

#include <doctest/doctest.h>

#include "runs/room_announcer.h"
#include "testing/virtual_time.h"

using namespace azuremoor;
using azuremoor::testing::virtual_time;

namespace
{

constexpr std::uint32_t FREE = 4000;
constexpr room_wish WISH{10'000, 1000};

/// An announcer with two entries in virtual time.
class tested_announcer
{
public:
    tested_announcer()
        : announcer(time)
    {
        announcer.add("one");
        announcer.add("two");
    }

    /// Tells the entry whose turn it is, and returns it.
    std::optional<std::string> tell(std::uint32_t free = FREE)
    {
        std::optional<std::string> entry = announcer.takeTurn(free);
        if (entry) {
            announcer.noteTold(*entry);
        }
        return entry;
    }

    virtual_time time;
    room_announcer announcer;
};

}

TEST_CASE("an entry that wishes for nothing is told of changes later, and once for all of them")
{
    tested_announcer test;
    CHECK_FALSE(test.announcer.isOutOfDate("one"));
    test.announcer.noteChange();
    test.announcer.noteChange();
    CHECK_FALSE(test.tell());
    CHECK(test.announcer.isOutOfDate("one"));
    test.announcer.noteTold("one");
    CHECK_FALSE(test.announcer.isOutOfDate("one"));
    CHECK(test.announcer.isOutOfDate("two"));
}

TEST_CASE("room that becomes free is shown to one of the entries that wish for it, and to the next if it is not used")
{
    tested_announcer test;
    test.announcer.setWish("one", WISH);
    test.announcer.setWish("two", WISH);
    test.announcer.noteChange();
    const std::optional<std::string> first = test.tell();
    REQUIRE(first);
    CHECK_FALSE(test.tell());
    test.time.run(milliseconds(10));
    const std::optional<std::string> second = test.tell();
    REQUIRE(second);
    CHECK(*first != *second);
}

TEST_CASE("room that is too small for any waiting task is not shown")
{
    tested_announcer test;
    test.announcer.setWish("one", WISH);
    test.announcer.noteChange();
    CHECK_FALSE(test.tell(WISH.smallestMilliCores - 1));
}

TEST_CASE("turns go by how much work waits at each entry")
{
    tested_announcer test;
    test.announcer.setWish("one", {30'000, 1000});
    test.announcer.setWish("two", {10'000, 1000});
    std::map<std::string, int> turns;
    for (int change = 0; change < 400; ++change) {
        test.announcer.noteChange();
        ++turns[test.announcer.takeTurn(FREE).value_or("none")];
        test.announcer.noteTold("one");
        test.announcer.noteTold("two");
    }
    CHECK(turns["one"] == 300);
    CHECK(turns["two"] == 100);
}

TEST_CASE("an entry that wishes for room after a pause gets no turns for the time of the pause")
{
    tested_announcer test;
    test.announcer.setWish("one", WISH);
    for (int change = 0; change < 100; ++change) {
        test.announcer.noteChange();
        test.tell();
    }
    test.announcer.setWish("two", WISH);
    std::map<std::string, int> turns;
    for (int change = 0; change < 20; ++change) {
        test.announcer.noteChange();
        ++turns[test.tell().value_or("none")];
    }
    CHECK(turns["one"] == 10);
    CHECK(turns["two"] == 10);
}

TEST_CASE("an entry that is gone gets no turn")
{
    tested_announcer test;
    test.announcer.setWish("one", WISH);
    test.announcer.remove("one");
    CHECK_FALSE(test.announcer.isContested());
    test.announcer.noteChange();
    CHECK_FALSE(test.tell());
}
