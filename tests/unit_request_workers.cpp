#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Each waiting request occupies an HTTP worker. Guards against bulk requests that occupy all of them, so that urgent
// requests are not read at all.
TEST_CASE("Waiting requests leave HTTP workers in reserve for more urgent callers")
{
    RequestFixture fixture(1);
    fixture.state.settings.httpWorkers = 40;
    fixture.start();
    constexpr std::size_t usableWorkers = 30;
    for (int i = 0; i < 200; ++i)
        fixture.run(fixture.call("bulk", "w0"));
    CHECK(requestsInProgress(fixture.state) <= usableWorkers);
    const EntryEffects effects = fixture.run(fixture.call("urgent", "w1"));
    for (const FailRequest& refused : all<FailRequest>(effects))
        CHECK(refused.request != RequestId { fixture.nextRequest - 1 });
    CHECK(requestsInProgress(fixture.state) <= usableWorkers);
}
