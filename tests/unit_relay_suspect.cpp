#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// @return the sending that a request began with; fails the test when there is none
SendNumber sentTo(const std::vector<RelayEffect>& effects, const std::string& upstream)
{
    const auto* send = findEffect<SendToUpstream>(effects);
    REQUIRE(send);
    CHECK(send->upstream.value == upstream);
    return send->send;
}

} // namespace

// Load pattern: a link that became narrow, a host that froze. Requests sent there wait for nothing while others pile
// up.
TEST_CASE("an engine that is silent with work takes no more of it until it moves", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendNumber first = sentTo(relay.request("/letters/"), "e1");
    const CallId call = relay.last();
    relay.now += Milliseconds { 200 };
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
    relay.now += Milliseconds { 200 };
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/letters/")));
    const auto moved = relay.event(AnswerBegan { .call = call, .send = first, .status = 200, .sealed = true });
    CHECK(countEffects<SendToUpstream>(moved) + countEffects<SendToUpstream>(relay.event(RelayTick {})) == 1);
}

TEST_CASE("a slow engine is given the time that its pace asks for", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    relay.event(EngineReported { .address = "e1:1",
        .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .running = 1, .pace = 3.0 } });
    sentTo(relay.request("/letters/"), "e1");
    relay.now += Milliseconds { 500 };
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
}

// Load pattern: a queue that waits while an engine comes back behind a link that is still down.
TEST_CASE("an upstream that failed gets one request until it answers", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendNumber first = sentTo(relay.request("/letters/"), "e1");
    const CallId call = relay.last();
    relay.event(AnswerEnded { .call = call, .send = first, .end = SendEnd::NotSent });
    for (int count = 0; count < 3; ++count)
        CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/letters/")));
    relay.now += Milliseconds { 320 };
    const auto probes = relay.event(RelayTick {});
    REQUIRE(countEffects<SendToUpstream>(probes) == 1);
    const auto* probe = findEffect<SendToUpstream>(probes);
    SECTION("the others follow once it answers")
    {
        relay.now += Milliseconds { 100 };
        auto effects
            = relay.event(AnswerBegan { .call = probe->call, .send = probe->send, .status = 200, .sealed = true });
        const auto later = relay.event(RelayTick {});
        effects.insert(effects.end(), later.begin(), later.end());
        CHECK(countEffects<SendToUpstream>(effects) >= 2);
    }
    SECTION("and none when it fails again")
    {
        relay.event(AnswerEnded { .call = probe->call, .send = probe->send, .end = SendEnd::NotSent });
        relay.now += Milliseconds { 320 };
        CHECK(countEffects<SendToUpstream>(relay.event(RelayTick {})) == 0); // twice as long out of service
    }
}

TEST_CASE("a plain upstream that failed gets one request until it answers", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const SendNumber first = sentTo(relay.request("/read/"), "p1");
    relay.event(AnswerEnded { .call = relay.last(), .send = first, .end = SendEnd::NotSent });
    relay.now += Milliseconds { 320 };
    sentTo(relay.request("/read/"), "p1");
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/book/")));
}
