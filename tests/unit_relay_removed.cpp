#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// A relay with the engines "leaves" and "stays". One request runs at "leaves", which then left the list.
struct RemovedFixture : RelayFixture {
    RemovedFixture()
    {
        this->list({ upstream("leaves", "engine") });
        const auto effects = this->request("/letters/");
        const auto* sent = findEffect<SendToUpstream>(effects);
        REQUIRE(sent);
        this->call = sent->call;
        this->send = sent->send;
        this->list({ upstream("stays", "engine") });
    }

    /// @return to which upstreams the effects send requests
    static std::vector<UpstreamId> targets(const std::vector<RelayEffect>& effects)
    {
        std::vector<UpstreamId> targets;
        for (const RelayEffect& effect : effects)
            if (const auto* sent = std::get_if<SendToUpstream>(&effect))
                targets.push_back(sent->upstream);
        return targets;
    }

    /// Delivers a report of the engine "leaves", as an agent or another entry may still send it.
    std::vector<RelayEffect> lateReport()
    {
        return this->report(
            { .address = "leaves:1", .report = { .models = { { .model = { "model" }, .version = { 1 } } } } });
    }

    CallId call; ///< request at "leaves"
    SendId send;
};

} // namespace

// Guards against requests to an upstream that left the list, on what an entry still keeps of it.
TEST_CASE("An upstream that left the list gets no request, whatever arrives late", "[relay][removed]")
{
    RemovedFixture relay;
    SECTION("a report of its agent") { relay.lateReport(); }
    SECTION("an answer to a status request")
    {
        relay.event(UpstreamProbed {
            .upstream = { "leaves" }, .result = ProbeResult::Accepted, .startedAt = relay.now, .mustAnswer = true });
    }
    SECTION("the head of an answer")
    {
        const auto effects = relay.event(
            ResponseStarted { .call = relay.call, .send = relay.send, .status = 200, .sealed = true, .stream = true });
        // What it has begun reaches its caller.
        CHECK(findEffect<ForwardResponse>(effects));
    }
    SECTION("the end of its last request")
    {
        relay.event(ResponseEnded { .call = relay.call, .send = relay.send, .end = SendResult::Broken });
    }
    for (int count = 0; count < 8; ++count)
        for (const UpstreamId& target : RemovedFixture::targets(relay.request("/letters/")))
            CHECK(target == UpstreamId { "stays" });
    relay.lateReport();
    relay.now += Milliseconds { 3000 };
    for (const UpstreamId& target : RemovedFixture::targets(relay.event(RelayTick {})))
        CHECK(target == UpstreamId { "stays" });
}

// Guards against queued work that goes to an upstream which left the list when a slot there becomes free.
TEST_CASE("Queued requests do not go to an upstream that left the list", "[relay][removed]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("leaves", "plain") });
    std::vector<SendToUpstream> sent;
    bool isQueued = false;
    while (!isQueued && sent.size() < 100) {
        const auto effects = relay.request("/read/");
        const auto* send = findEffect<SendToUpstream>(effects);
        isQueued = !send;
        if (send)
            sent.push_back(*send);
    }
    REQUIRE(isQueued);
    REQUIRE_FALSE(sent.empty());
    relay.list({});
    for (const SendToUpstream& send : sent) {
        relay.event(ResponseStarted { .call = send.call, .send = send.send, .status = 200, .sealed = true });
        CHECK_FALSE(findEffect<SendToUpstream>(
            relay.event(ResponseEnded { .call = send.call, .send = send.send, .end = SendResult::Complete })));
    }
    CHECK(relay.state.upstreams.empty());
    // It goes to the next one that is listed.
    CHECK(findEffect<SendToUpstream>(relay.list({ RelayFixture::upstream("joins", "plain") })));
}

// Guards against a backup of a silent request, or a move of one, to an upstream that left the list.
TEST_CASE("A silent request gets no second upstream that left the list", "[relay][removed]")
{
    const bool hasBegun = GENERATE(false, true);
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("stays", "engine") });
    const auto effects = relay.request("/letters/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    const SendToUpstream send = *sent;
    if (hasBegun)
        relay.event(
            ResponseStarted { .call = send.call, .send = send.send, .status = 200, .sealed = true, .stream = true });
    relay.list({ RelayFixture::upstream("stays", "engine"), RelayFixture::upstream("leaves", "engine") });
    relay.list({ RelayFixture::upstream("stays", "engine") });
    for (int tick = 0; tick < 200; ++tick) {
        relay.now += Milliseconds { 20 };
        CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    }
}
