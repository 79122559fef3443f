#include <doctest/doctest.h>

#include "runs/worker_clock.h"
#include "testing/virtual_time.h"

using namespace azuremoor;

TEST_CASE("the estimated clock advances between samples, and late samples do not set it back")
{
    testing::virtual_time time;
    worker_clock clock(time, 5000);
    time.run(milliseconds(100));
    CHECK(clock.now() == 5100);
    clock.addSample(5098);
    CHECK(clock.now() == 5098);
    clock.addSample(5050);
    CHECK(clock.now() == 5098);
}

TEST_CASE("a lease ends only when it has expired on the slowest clock, and never becomes shorter")
{
    testing::virtual_time time;
    worker_clock clock(time, 5000);
    clock.extendLease(6000);
    clock.extendLease(5500);
    CHECK(clock.leaseEnd() == 6000);
    CHECK(clock.latestLeaseEnd() - time.steadyNow() >= milliseconds(1020));
    CHECK(clock.latestLeaseEnd() - time.steadyNow() <= milliseconds(1022));
}
