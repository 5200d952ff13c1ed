#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// A relay with one request at engine "e1", which has been silent for longer than engineStallTimeout.
struct StillFixture {
    StillFixture()
    {
        this->relay.list({ RelayFixture::upstream("e1", "engine") });
        const auto* sent = findEffect<SendToUpstream>(this->relay.request("/letters/"));
        REQUIRE(sent);
        this->call = sent->call;
        this->relay.now += engineStallTimeout + Milliseconds { 20 };
        this->asked = this->relay.event(RelayTick {});
    }

    std::vector<RelayEffect> probed(ProbeResult result)
    {
        return this->relay.event(UpstreamProbed {
            .upstream = { "e1" }, .result = result, .startedAt = this->relay.now, .mustAnswer = true });
    }

    RelayFixture relay;
    CallId call; ///< the request at the engine
    std::vector<RelayEffect> asked; ///< effects of the tick after the silence
};

} // namespace

// Guards against callers' requests that lie at an engine whose host stands still, sent there to try it.
TEST_CASE("An engine that stands still gets requests again only once it answers a status request", "[relay][still]")
{
    StillFixture still;
    const auto* probe = findEffect<ProbeUpstream>(still.asked);
    REQUIRE(probe);
    CHECK(probe->mustAnswer);
    still.probed(ProbeResult::Unreachable);
    for (int step = 0; step < 20; ++step) {
        still.relay.now += minEjection;
        CHECK_FALSE(findEffect<SendToUpstream>(still.relay.request("/letters/")));
        const auto effects = still.relay.event(RelayTick {});
        CHECK_FALSE(findEffect<SendToUpstream>(effects));
        if (findEffect<ProbeUpstream>(effects))
            still.probed(ProbeResult::Unreachable);
    }
    still.relay.now += maxEjection;
    REQUIRE(findEffect<ProbeUpstream>(still.relay.event(RelayTick {})));
    still.relay.request("/letters/");
    CHECK(countEffects<SendToUpstream>(still.probed(ProbeResult::Accepted)) == 1);
}

// Guards against taking requests from an engine that is only busy.
TEST_CASE("A silent engine that answers a status request keeps its requests", "[relay][still]")
{
    StillFixture still;
    still.relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    CHECK_FALSE(findEffect<CancelSend>(still.probed(ProbeResult::Accepted)));
    CHECK_FALSE(findEffect<ProbeUpstream>(still.relay.event(RelayTick {})));
}

// Guards against callers that leave while their requests lie at an engine that stands still, behind newer ones.
TEST_CASE("A request taken back from an engine is sent before those that were never sent", "[relay][still]")
{
    StillFixture still;
    RelayFixture& relay = still.relay;
    UpstreamEntry other = RelayFixture::upstream("e2", "engine");
    other.slots = 1;
    relay.list({ RelayFixture::upstream("e1", "engine"), other });
    std::vector<SendToUpstream> sent;
    for (int count = 0; count < 2; ++count)
        if (const auto* send = findEffect<SendToUpstream>(relay.request("/calls/")))
            sent.push_back(*send);
    REQUIRE(sent.size() == 2); // one more than slots
    relay.request("/calls/");
    const auto held = still.probed(ProbeResult::Unreachable);
    CHECK_FALSE(findEffect<CancelSend>(held));
    CHECK_FALSE(findEffect<SendToUpstream>(held));
    relay.event(ResponseStarted { .call = sent[0].call, .send = sent[0].send, .status = 200, .sealed = true });
    const auto freed = relay.event(ResponseEnded { .call = sent[0].call, .send = sent[0].send });
    const auto* taken = findEffect<CancelSend>(freed);
    REQUIRE(taken);
    CHECK(taken->call == still.call);
    const auto* next = findEffect<SendToUpstream>(freed);
    REQUIRE(next);
    CHECK(next->call == still.call);
    CHECK(next->upstream.value == "e2");
}

// Guards against a second engine whose host stopped at the same moment, which takes the last attempt.
TEST_CASE("A request taken back waits for an engine that was heard lately", "[relay][still]")
{
    StillFixture still;
    RelayFixture& relay = still.relay;
    UpstreamEntry heard = RelayFixture::upstream("e2", "engine");
    heard.slots = 1;
    relay.list({ RelayFixture::upstream("e1", "engine"), heard });
    std::vector<SendToUpstream> sent;
    for (int count = 0; count < 2; ++count)
        if (const auto* send = findEffect<SendToUpstream>(relay.request("/calls/")))
            sent.push_back(*send);
    REQUIRE(sent.size() == 2);
    relay.list({ RelayFixture::upstream("e1", "engine"), heard, RelayFixture::upstream("e3", "engine") });
    for (const SendToUpstream& send : sent)
        relay.event(
            ResponseStarted { .call = send.call, .send = send.send, .status = 200, .sealed = true, .stream = true });
    CHECK_FALSE(findEffect<SendToUpstream>(still.probed(ProbeResult::Unreachable)));
    const auto freed = relay.event(ResponseEnded { .call = sent[0].call, .send = sent[0].send });
    REQUIRE(findEffect<SendToUpstream>(freed));
    CHECK(findEffect<SendToUpstream>(freed)->upstream.value == "e2");
}

// Guards against holding a request until its caller leaves.
TEST_CASE("A queued request that cannot begin before its caller leaves is refused", "[relay][still]")
{
    RelayFixture relay;
    auto config = RelayFixture::config(2);
    for (RelayRoute& route : config->routes)
        route.patience = { 2000 };
    relay.event(ConfigUpdated { .config = config });
    UpstreamEntry engine = RelayFixture::upstream("e1", "engine");
    engine.slots = 1;
    relay.list({ engine });
    std::vector<SendToUpstream> sent;
    for (auto effects = relay.request("/calls/"); findEffect<SendToUpstream>(effects);
         effects = relay.request("/calls/")) {
        sent.push_back(*findEffect<SendToUpstream>(effects));
        relay.event(ResponseStarted {
            .call = sent.back().call, .send = sent.back().send, .status = 200, .sealed = true, .stream = true });
    }
    const CallId waiting = relay.lastCallId();
    const auto pass = [&](Milliseconds time) {
        relay.now += time;
        for (const SendToUpstream& send : sent)
            relay.event(StreamProgressed { .call = send.call, .send = send.send, .lastEventId = "1" });
        return relay.event(RelayTick {});
    };
    CHECK_FALSE(findEffect<RefuseCall>(pass({ 800 })));
    CHECK_FALSE(findEffect<RefuseCall>(pass({ 800 })));
    const auto effects = pass({ 390 });
    const auto* refusal = findEffect<RefuseCall>(effects);
    REQUIRE(refusal);
    CHECK(refusal->call == waiting);
    CHECK(refusal->status == 503);
}

// Guards against a burst to an engine whose host has just stopped.
TEST_CASE("Few requests lie at an engine without having begun", "[relay][still]")
{
    RelayFixture relay;
    relay.event(EntryCountUpdated { .entryCount = 4 });
    UpstreamEntry engine = RelayFixture::upstream("e1", "engine");
    engine.slots = 64;
    relay.list({ engine });
    std::size_t sent = 0;
    for (int count = 0; count < 20; ++count)
        sent += countEffects<SendToUpstream>(relay.request("/calls/"));
    CHECK(sent == maxUnbegun / 4);
}
