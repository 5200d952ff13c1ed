#include "platform_outage_func.h"

#include <catch2/catch.hpp>

using namespace hickory;
using namespace hickory::platform;

// Guards against a declaration that counts as old as the outage of the store in which nothing could be declared, and
// against one that counts as new because this process was frozen or alone cut off from the store.
TEST_CASE("The store counts as down while requests fail and no peer confirms the copy", "[platform]")
{
    StoreOutage outage;
    SECTION("an outage is seen until the last failed request was sent")
    {
        for (std::int64_t sentAt = 10000; sentAt <= 17000; sentAt += 1000)
            recordFailure(outage, { sentAt }, { 10000 }, { sentAt - 300 });
        CHECK(outage.lastSeenAt == Milliseconds { 17000 });
        recordSuccess(outage);
        for (std::int64_t sentAt = 18000; sentAt <= 19900; sentAt += 250)
            recordFailure(outage, { sentAt }, { 17500 }, { sentAt - 300 });
        CHECK(outage.lastSeenAt == Milliseconds { 17000 });
    }
    SECTION("a request that waited while this process was frozen is no outage")
    {
        recordFailure(outage, { 10400 }, { 10000 }, { 10100 });
        CHECK(outage.lastSeenAt == Milliseconds { 0 });
        // The connections of a frozen process may be reset.
        for (std::int64_t sentAt = 13500; sentAt <= 15000; sentAt += 250)
            recordFailure(outage, { sentAt }, { 10000 }, { sentAt - 300 });
        CHECK(outage.lastSeenAt == Milliseconds { 0 });
    }
    SECTION("a process that reaches neither the store nor a peer is cut off")
    {
        for (std::int64_t sentAt = 10000; sentAt <= 17000; sentAt += 1000)
            recordFailure(outage, { sentAt }, { 10000 }, { 9900 });
        CHECK(outage.lastSeenAt == Milliseconds { 0 });
    }
    SECTION("a process whose peers reach the store sees no outage")
    {
        for (std::int64_t sentAt = 10000; sentAt <= 17000; sentAt += 250)
            recordFailure(outage, { sentAt }, { sentAt - 1200 }, { sentAt - 300 });
        CHECK(outage.lastSeenAt == Milliseconds { 0 });
    }
}
