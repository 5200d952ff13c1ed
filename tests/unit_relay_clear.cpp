#include "relay_fixture.h"

#include <catch2/catch.hpp>
#include <optional>

using namespace hickory;

namespace {

/// A relay with two engines that hold version 1 of the weights and one stream, at "e1".
struct StreamBeforeLoad {
    StreamBeforeLoad()
    {
        this->relay.list({ RelayFixture::upstream("e1", "engine") });
        const auto sent = this->sentTo(this->relay.request("/letters/"));
        REQUIRE(sent);
        this->call = sent->call;
        this->begin("19");
        this->relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    }

    /// Lets the engine of the stream begin it, or go on with it, up to an event.
    void begin(const std::string& lastEventId)
    {
        this->relay.event(
            ResponseStarted { .call = this->call, .send = this->send, .status = 200, .sealed = true, .stream = true });
        this->progress(lastEventId);
    }

    void progress(const std::string& lastEventId)
    {
        this->relay.event(StreamProgressed { .call = this->call, .send = this->send, .lastEventId = lastEventId });
    }

    /// Reports that the load of an engine waits only for its last few requests.
    std::vector<RelayEffect> clear(const std::string& engine)
    {
        return this->report({ .address = engine + ":1",
            .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .running = 1 },
            .orderPending = true,
            .clearing = true });
    }

    std::vector<RelayEffect> report(EngineReported reported)
    {
        return this->relay.event(EngineReportsReceived { .reports = { std::move(reported) } });
    }

    /// @return the send among effects, which is the stream's from now on, or nothing
    std::optional<SendToUpstream> sentTo(const std::vector<RelayEffect>& effects)
    {
        const auto* sent = findEffect<SendToUpstream>(effects);
        if (!sent)
            return std::nullopt;
        this->send = sent->send;
        return *sent;
    }

    RelayFixture relay;
    CallId call;
    SendId send;
};

} // namespace

// Guards against streams that load orders cut off again and again, until their attempts are used up.
TEST_CASE("A stream is moved off an engine that is to load, once, and then stays to its end", "[relay][clear]")
{
    StreamBeforeLoad stream;
    const auto effects = stream.clear("e1");
    const auto* cancel = findEffect<CancelSend>(effects);
    REQUIRE(cancel);
    CHECK(cancel->send == stream.send);
    const auto moved = stream.sentTo(effects);
    REQUIRE(moved);
    CHECK(moved->upstream.value == "e2");
    CHECK(moved->resumeAfter == "19");
    SECTION("at an engine whose order comes next")
    {
        stream.begin("20");
        stream.relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine"),
            RelayFixture::upstream("e3", "engine") });
        CHECK(stream.clear("e2").empty());
        const auto ended = stream.relay.event(ResponseEnded { .call = stream.call, .send = stream.send });
        CHECK(findEffect<FinishResponse>(ended));
    }
    SECTION("also at an engine that may be about to begin it")
    {
        stream.relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine"),
            RelayFixture::upstream("e3", "engine") });
        CHECK(stream.clear("e2").empty());
    }
    SECTION("and may return to the first engine after its load, if the second one breaks off")
    {
        stream.begin("20");
        auto config = RelayFixture::config(1);
        for (RelayRoute& route : config->routes)
            route.maxAttempts = 3;
        RelayRequest& request = stream.relay.state.requests.at(stream.call);
        request.config = config;
        request.route = &config->routes.at(1);
        stream.report({ .address = "e1:1", .report = { .models = { { .model = { "model" }, .version = { 2 } } } } });
        const auto again = stream.sentTo(
            stream.relay.event(ResponseEnded { .call = stream.call, .send = stream.send, .end = SendResult::Broken }));
        REQUIRE(again);
        CHECK(again->upstream.value == "e1");
        CHECK(again->resumeAfter == "20");
    }
}

TEST_CASE("A stream that no other engine can go on with stays at one that is to load", "[relay][clear]")
{
    StreamBeforeLoad stream;
    SECTION("because no other has room")
    {
        stream.report({ .address = "e2:1",
            .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .busy = true },
            .orderPending = true });
        CHECK_FALSE(findEffect<CancelSend>(stream.clear("e1")));
        SECTION("until one has")
        {
            const auto moved = stream.sentTo(stream.report(
                { .address = "e2:1", .report = { .models = { { .model = { "model" }, .version = { 2 } } } } }));
            REQUIRE(moved);
            CHECK(moved->upstream.value == "e2");
        }
    }
    SECTION("because its last event has no id")
    {
        stream.progress("");
        CHECK_FALSE(findEffect<CancelSend>(stream.clear("e1")));
    }
    SECTION("because its answer ended with its connection")
    {
        stream.relay.event(ResponseEnded { .call = stream.call, .send = stream.send, .end = SendResult::Unconfirmed });
        CHECK_FALSE(findEffect<CancelSend>(stream.clear("e1")));
    }
    SECTION("because the retry budget is used up")
    {
        stream.relay.state.options.retryRatio = 0;
        stream.relay.state.options.retryExtra = 0;
        CHECK_FALSE(findEffect<CancelSend>(stream.clear("e1")));
    }
    SECTION("because the order was taken back")
    {
        stream.relay.now += Milliseconds { 2000 };
        stream.report({ .address = "e1:1", .report = { .models = { { .model = { "model" }, .version = { 1 } } } } });
        CHECK_FALSE(findEffect<CancelSend>(stream.relay.event(RelayTick {})));
    }
    CHECK_FALSE(findEffect<AbortResponse>(stream.relay.event(RelayTick {})));
}

// Guards against a stream that goes on at an engine whose own load comes next, and holds that up.
TEST_CASE("A moved stream goes on at an engine with the declared weights", "[relay][clear]")
{
    StreamBeforeLoad stream;
    stream.relay.event(WeightsDeclared { .model = { "model" }, .version = { 2 }, .notBefore = stream.relay.now });
    stream.relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine"),
        RelayFixture::upstream("e3", "engine"), RelayFixture::upstream("e4", "engine") });
    for (const char* engine : { "e2:1", "e4:1" })
        stream.report({ .address = engine, .report = { .models = { { .model = { "model" }, .version = { 1 } } } } });
    stream.report(
        { .address = "e3:1", .report = { .models = { { .model = { "model" }, .version = { 2 } } }, .running = 2 } });
    // It would be the last choice by its load.
    stream.relay.event(PeerLoadsReceived {
        .peer = { "entry-2" }, .loads = { { .upstream = loadKey({ "e3" }), .sent = 2, .prefillTokens = 3000 } } });
    const auto moved = stream.sentTo(stream.clear("e1"));
    REQUIRE(moved);
    CHECK(moved->upstream.value == "e3");
}
