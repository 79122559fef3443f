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

/// Guards against a lease that counts from a request which has reached no worker.
TEST_CASE("the deadline of a request counts while it is under way, and after it only if it may have arrived")
{
    testing::virtual_time time;
    worker_clock clock(time, 5000);
    clock.beginRequest(6000);
    clock.beginRequest(6200);
    clock.beginRequest(6200);
    CHECK(clock.leaseEnd() == 6200);
    CHECK(clock.receivedLeaseEnd() == 0);
    clock.endRequest(6200, false);
    CHECK(clock.leaseEnd() == 6200);
    clock.endRequest(6200, false);
    CHECK(clock.leaseEnd() == 6000);
    clock.endRequest(6000, true);
    CHECK(clock.leaseEnd() == 6000);
    CHECK(clock.receivedLeaseEnd() == 6000);
    clock.beginRequest(5500);
    clock.endRequest(5500, true);
    CHECK(clock.leaseEnd() == 6000);
    CHECK(clock.latestLeaseEnd() - time.steadyNow() >= milliseconds(1020));
}
