#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against taking requests from sound engines in a large fleet: each entry has one request at an engine, which
// reads other entries' prompts before it.
TEST_CASE("A request stays at an engine that answers its agent while it reads other prompts", "[relay][outage]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    REQUIRE(findEffect<SendToUpstream>(relay.request("/letters/")));
    const std::string address = findEffect<SendToUpstream>(relay.request("/letters/"))->address;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine"),
        RelayFixture::upstream("e3", "engine") });
    const bool reports = GENERATE(true, false);
    CAPTURE(reports);
    bool takenBack = false;
    std::size_t sentAgain = 0;
    for (Milliseconds waited {}; waited < Milliseconds { 1500 }; waited += Milliseconds { 50 }) {
        relay.now += Milliseconds { 50 };
        if (reports && waited.value % 150 == 0)
            for (const char* engine : { "e1:1", "e2:1" })
                relay.report({ .address = engine,
                    .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .running = 12 } });
        const auto effects = relay.event(RelayTick {});
        takenBack = takenBack || findEffect<CancelSend>(effects);
        sentAgain += countEffects<SendToUpstream>(effects);
    }
    CHECK(takenBack != reports);
    CHECK((sentAgain > 0) != reports);
}
