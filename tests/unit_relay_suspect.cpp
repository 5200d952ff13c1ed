#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// Checks that the effects send a request, and to which upstream.
/// @return the send; fails the test when there is none
SendId sentTo(const std::vector<RelayEffect>& effects, const std::string& upstream)
{
    const auto* send = findEffect<SendToUpstream>(effects);
    REQUIRE(send);
    CHECK(send->upstream.value == upstream);
    return send->send;
}

} // namespace

// Guards against requests piling up at an engine whose link is congested or whose host hangs.
TEST_CASE("An engine that has sent nothing for too long gets no new requests until it sends again", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendId first = sentTo(relay.request("/letters/"), "e1");
    const CallId call = relay.lastCallId();
    relay.now += Milliseconds { 200 };
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
    relay.now += Milliseconds { 200 };
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/letters/")));
    const auto progressed
        = relay.event(ResponseStarted { .call = call, .send = first, .status = 200, .sealed = true, .stream = true });
    CHECK(countEffects<SendToUpstream>(progressed) + countEffects<SendToUpstream>(relay.event(RelayTick {})) == 1);
}

// Guards against keeping requests from an engine that is slow but works.
TEST_CASE("A slow engine may be silent for longer, in proportion to its slowdown", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    relay.report({ .address = "e1:1",
        .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .running = 1, .slowdown = 3.0 } });
    sentTo(relay.request("/letters/"), "e1");
    relay.now += Milliseconds { 500 };
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
}

// Guards against requests that lie on a congested link until the weights of their engine are too old.
TEST_CASE("An engine that answers late gets no requests for weights that are soon too old", "[relay][suspect]")
{
    RelayFixture relay({ .weightsGracePeriod = { 6000 } });
    relay.list({ RelayFixture::upstream("e1", "engine") });
    relay.event(WeightsDeclared {
        .model = { "model" }, .version = { 2 }, .notBefore = relay.now - Milliseconds { 3900 }, .source = "store" });
    sentTo(relay.request("/letters/"), "e1");
    const CallId call = relay.lastCallId();
    const SendId second = sentTo(relay.request("/letters/"), "e1");
    relay.now += Milliseconds { 800 };
    relay.event(
        ResponseStarted { .call = relay.lastCallId(), .send = second, .status = 200, .sealed = true, .stream = true });
    relay.event(RelayTick {});
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/letters/")));
    relay.event(RelayCallerDisconnected { .call = call });
    relay.event(RelayTick {});
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
}

// Guards against sending a whole queue to an engine whose ejection ended while its link is still down.
TEST_CASE("An engine that failed gets one request at a time until it answers", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendId first = sentTo(relay.request("/letters/"), "e1");
    const CallId call = relay.lastCallId();
    relay.event(ResponseEnded { .call = call, .send = first, .end = SendResult::NotSent });
    for (int count = 0; count < 3; ++count)
        CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/letters/")));
    relay.now += Milliseconds { 320 };
    const auto probes = relay.event(RelayTick {});
    REQUIRE(countEffects<SendToUpstream>(probes) == 1);
    const auto* probe = findEffect<SendToUpstream>(probes);
    SECTION("queued requests follow once it answers")
    {
        relay.now += Milliseconds { 100 };
        auto effects = relay.event(ResponseStarted {
            .call = probe->call, .send = probe->send, .status = 200, .sealed = true, .stream = true });
        const auto later = relay.event(RelayTick {});
        effects.insert(effects.end(), later.begin(), later.end());
        CHECK(countEffects<SendToUpstream>(effects) >= 2);
    }
    SECTION("it is ejected for twice as long when it fails again")
    {
        relay.event(ResponseEnded { .call = probe->call, .send = probe->send, .end = SendResult::NotSent });
        relay.now += Milliseconds { 320 };
        CHECK(countEffects<SendToUpstream>(relay.event(RelayTick {})) == 0);
    }
}

// Guards against sending a whole queue to a plain upstream that has not recovered.
TEST_CASE("A plain upstream that failed gets one request at a time until it answers", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const SendId first = sentTo(relay.request("/read/"), "p1");
    relay.event(ResponseEnded { .call = relay.lastCallId(), .send = first, .end = SendResult::NotSent });
    relay.now += Milliseconds { 320 };
    sentTo(relay.request("/read/"), "p1");
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/book/")));
}

// Guards against routing by the load that only this entry causes at a distant upstream, and by a report that is too
// old.
TEST_CASE("The load of upstreams in another data centre is taken from its representative's report", "[relay]")
{
    RelayFixture relay({ .dataCentre = { "a" } });
    UpstreamEntry far = RelayFixture::upstream("far", "engine");
    far.dataCentre = { "b" };
    relay.list({ RelayFixture::upstream("near", "engine"), far });
    const std::uint64_t key = loadKey({ "far" });
    relay.event(DataCentreLoadsReceived { .dataCentre = { "b" }, .totals = { { .upstream = key, .sent = 5 } } });
    CHECK(upstreamLoad(relay.state, relay.state.upstreams.at({ "far" }), relay.now).requests == 5);
    for (int count = 0; count < 6; ++count) {
        const auto effects = relay.request("/letters/");
        const auto* send = findEffect<SendToUpstream>(effects);
        CHECK((!send || send->upstream.value == "near"));
    }
    CHECK(advertiseRemoteLoads(relay.state).empty());
    CHECK(dataCentreTotals(relay.state, relay.now).size() == 1);
    relay.now += Milliseconds { 1000 };
    CHECK(upstreamLoad(relay.state, relay.state.upstreams.at({ "far" }), relay.now).requests == 0);
}

// Guards against a burst to a distant upstream between two reports of its data centre, and against counting requests
// twice.
TEST_CASE("Requests sent to another data centre since the last report are added to its total", "[relay]")
{
    RelayFixture relay({ .dataCentre = { "a" } });
    UpstreamEntry far = RelayFixture::upstream("far", "engine");
    far.dataCentre = { "b" };
    relay.list({ far });
    const auto load
        = [&] { return upstreamLoad(relay.state, relay.state.upstreams.at({ "far" }), relay.now).requests; };
    relay.request("/calls/");
    CHECK(advertiseRemoteLoads(relay.state).at({ "b" }).at(0).sent == 1);
    advertiseRemoteLoads(relay.state);
    relay.event(
        DataCentreLoadsReceived { .dataCentre = { "b" }, .totals = { { .upstream = loadKey({ "far" }), .sent = 2 } } });
    CHECK(load() == 2);
    relay.request("/calls/");
    CHECK(load() == 3);
    advertiseRemoteLoads(relay.state);
    CHECK(load() == 3); // the total may still predate the last report
    advertiseRemoteLoads(relay.state);
    CHECK(load() == 2);
}

// Guards against sending a whole queue to an engine behind a congested link whose lease expired and was renewed.
TEST_CASE("A failed upstream that was delisted and listed again is still on probation", "[relay][suspect]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendId first = sentTo(relay.request("/letters/"), "e1");
    relay.event(ResponseEnded { .call = relay.lastCallId(), .send = first, .end = SendResult::NotSent });
    relay.list({});
    relay.now += Milliseconds { 400 };
    SECTION("the same process is on probation")
    {
        relay.list({ RelayFixture::upstream("e1", "engine") });
        sentTo(relay.request("/letters/"), "e1");
        CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/letters/")));
    }
    SECTION("a restarted process is not")
    {
        UpstreamEntry entry = RelayFixture::upstream("e1", "engine");
        entry.processStartedAt = 77;
        relay.list({ entry });
        sentTo(relay.request("/letters/"), "e1");
        sentTo(relay.request("/letters/"), "e1");
    }
}

// Guards against a request that an upstream on probation answers so late that the grace period of its weights has
// ended.
TEST_CASE("Old weights are ruled out earlier for an upstream on probation", "[relay][suspect]")
{
    for (const bool probation : { false, true }) {
        RelayFixture relay({ .weightsGracePeriod = { 7000 } });
        relay.list({ RelayFixture::upstream("e1", "engine") });
        relay.event(WeightsDeclared { .model = { "model" }, .version = { 2 }, .notBefore = relay.now });
        relay.now += Milliseconds { 4600 };
        relay.confirmConfig();
        relay.state.upstreams.at({ "e1" }).onProbation = probation;
        const auto effects = relay.request("/letters/");
        CHECK((findEffect<SendToUpstream>(effects) == nullptr) == probation);
    }
}

// Guards against requests that a draining entry queues while the fleet is full and cuts off when it exits.
TEST_CASE("A draining relay queues no new requests and dispatches none that it may have to cut off", "[relay][drain]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    for (int count = 0; count < 4; ++count)
        relay.request("/letters/");
    relay.request("/digests/");
    const CallId waiting = relay.lastCallId();
    relay.event(DrainStarted { .endsAt = relay.now + Milliseconds { 3000 } });
    const auto refused = relay.request("/digests/");
    REQUIRE(findEffect<RefuseCall>(refused));
    CHECK(findEffect<RefuseCall>(refused)->status == 503);
    relay.now += Milliseconds { 2950 };
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    CHECK(relay.state.requests.count(waiting) == 0);
}
