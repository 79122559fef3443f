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

    /// Tells those that are due, and returns them.
    std::vector<std::string> tell(std::uint32_t free = FREE)
    {
        const std::vector<std::string> due = announcer.due(free);
        for (const std::string &entry : due) {
            announcer.noteTold(entry);
        }
        return due;
    }

    virtual_time time;
    room_announcer announcer;
};

}

TEST_CASE("many changes of room cost an entry without waiting tasks one message for each interval")
{
    tested_announcer test;
    std::size_t told = 0;
    for (int change = 0; change < 500; ++change) {
        test.announcer.noteChange();
        told += test.tell().size();
        test.time.run(milliseconds(1));
    }
    CHECK(told <= 2 * 10);
    CHECK(told >= 2 * 8);
    test.time.run(milliseconds(100));
    test.tell();
    test.time.run(milliseconds(100));
    CHECK(test.tell().empty());
}

TEST_CASE("room that becomes free is shown to one of the entries that wish for it, and to the next if it is not used")
{
    tested_announcer test;
    test.announcer.setWish("one", WISH);
    test.announcer.setWish("two", WISH);
    test.announcer.noteChange();
    const std::vector<std::string> first = test.tell();
    REQUIRE(first.size() == 1);
    CHECK(test.tell().empty());
    test.time.run(milliseconds(10));
    const std::vector<std::string> second = test.tell();
    REQUIRE(second.size() == 1);
    CHECK(first != second);
}

TEST_CASE("room that is too small for any waiting task is not shown")
{
    tested_announcer test;
    test.announcer.setWish("one", WISH);
    test.announcer.noteChange();
    CHECK(test.tell(WISH.smallestMilliCores - 1).empty());
}

TEST_CASE("turns go by how much work waits at each entry")
{
    tested_announcer test;
    test.announcer.setWish("one", {30'000, 1000});
    test.announcer.setWish("two", {10'000, 1000});
    std::map<std::string, int> turns;
    for (int change = 0; change < 400; ++change) {
        test.announcer.noteChange();
        for (const std::string &entry : test.announcer.due(FREE)) {
            ++turns[entry];
        }
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
        for (const std::string &entry : test.tell()) {
            ++turns[entry];
        }
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
    CHECK(test.tell().empty());
}
