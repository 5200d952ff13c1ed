#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against a request that reaches an upstream of another service, or one that does not know its deadline.
TEST_CASE("A request is sent to an upstream of its service, with its remaining time", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("p1", "plain") });
    const auto effects = relay.request("/letters/");
    const auto* send = findEffect<SendToUpstream>(effects);
    REQUIRE(send);
    CHECK(send->upstream.value == "e1");
    CHECK(send->timeLeft == Milliseconds { 6000 });
    CHECK(send->workspace.value == "desk");
    CHECK(send->urgency);
    CHECK_FALSE(send->expectVersion);
}

// Guards against callers that take a restarting entry for a revoked key or a removed route and do not retry.
TEST_CASE("A relay without a configuration answers 503, never 401 or 404", "[relay]")
{
    RelayFixture relay;
    relay.state = makeRelayState({});
    const auto effects = relay.request("/letters/");
    REQUIRE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<RefuseCall>(effects)->status == 503);
    CHECK(findEffect<RefuseCall>(effects)->retryAfter.value > 0);
}

// Guards against a final answer about a route or key that a newer configuration, not yet read, may contain.
TEST_CASE("Unknown routes and keys are answered 404 and 401 only on a fresh configuration", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    CHECK(findEffect<RefuseCall>(relay.request("/none/"))->status == 404);
    CHECK(findEffect<RefuseCall>(relay.request("/letters/", "wrong"))->status == 401);
    relay.now += Milliseconds { 2000 };
    CHECK(findEffect<RefuseCall>(relay.request("/none/"))->status == 503);
    CHECK(findEffect<RefuseCall>(relay.request("/letters/", "wrong"))->status == 503);
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
}

// Guards against requests that run with any key, or none, once the last workspace was taken away (review/8).
TEST_CASE("With an empty list of workspaces only public routes serve", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    const bool needsKeys = GENERATE(true, false);
    auto config = RelayFixture::config(2);
    config->needsKeys = needsKeys;
    config->workspaces.clear();
    config->keys.clear();
    config->routes.back().keyless = true; // /book/
    relay.event(ConfigUpdated { .config = config });
    for (const char* key : { "key", "other", "" }) {
        INFO("key \"" << key << '"');
        const auto effects = relay.request("/read/", key);
        if (needsKeys) {
            REQUIRE(findEffect<RefuseCall>(effects));
            CHECK(findEffect<RefuseCall>(effects)->status == 401);
        } else
            CHECK(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<SendToUpstream>(relay.request("/book/", key)));
    }
}

// Guards against accepting a key that was revoked while the entry could not read the configuration.
TEST_CASE("Requests with a key are refused once the configuration was not confirmed for too long", "[relay]")
{
    RelayFixture relay({ .keyConfigMaxAge = { 2750 } });
    relay.list({ RelayFixture::upstream("e1", "engine") });
    relay.now += Milliseconds { 2751 };
    const auto effects = relay.request("/letters/");
    REQUIRE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<RefuseCall>(effects)->status == 503);
    relay.confirmConfig();
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
}

// Guards against a late read from an outdated copy of the store that undoes a configuration change.
TEST_CASE("An older configuration never replaces a newer one", "[relay]")
{
    RelayFixture relay;
    relay.updateConfig(7);
    relay.updateConfig(5);
    CHECK(relay.state.config->version == ConfigVersion { 7 });
}

// Guards against retrying a request that may have run, and against not retrying one that certainly has not.
TEST_CASE("A non-idempotent request runs at most once, and its status says whether it may have run", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    SECTION("a broken connection, after which it may have run, is answered 502")
    {
        const auto sent = relay.request("/book/");
        const auto effects = relay.event(ResponseEnded {
            .call = relay.lastCallId(), .send = findEffect<SendToUpstream>(sent)->send, .end = SendResult::Broken });
        CHECK_FALSE(findEffect<SendToUpstream>(effects));
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 502);
    }
    SECTION("a refusal that states that it did not run is retried elsewhere")
    {
        const auto sent = relay.request("/book/");
        const auto effects = relay.event(ResponseStarted { .call = relay.lastCallId(),
            .send = findEffect<SendToUpstream>(sent)->send,
            .status = 503,
            .notRun = true });
        REQUIRE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<SendToUpstream>(effects)->upstream != findEffect<SendToUpstream>(sent)->upstream);
    }
    SECTION("a connection that could not be opened is retried elsewhere")
    {
        const auto sent = relay.request("/book/");
        const auto effects = relay.event(ResponseEnded {
            .call = relay.lastCallId(), .send = findEffect<SendToUpstream>(sent)->send, .end = SendResult::NotSent });
        CHECK(findEffect<SendToUpstream>(effects));
    }
    SECTION("a timeout, after which it may have run, is answered 504 and cancels the send")
    {
        relay.request("/book/");
        relay.now += Milliseconds { 6000 };
        const auto effects = relay.event(RelayTick {});
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 504);
        CHECK(findEffect<CancelSend>(effects));
    }
}

// Guards against forwarding an error while another upstream may succeed, and against replacing the last error by one
// of the relay.
TEST_CASE("An error response to an idempotent request is retried elsewhere, and the last one is forwarded", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    const auto first = relay.request("/read/");
    const SendId one = findEffect<SendToUpstream>(first)->send;
    relay.event(ResponseStarted { .call = relay.lastCallId(), .send = one, .status = 500, .sealed = true });
    const auto second = relay.event(ResponseEnded { .call = relay.lastCallId(), .send = one });
    REQUIRE(findEffect<SendToUpstream>(second));
    const SendId two = findEffect<SendToUpstream>(second)->send;
    relay.event(ResponseStarted { .call = relay.lastCallId(), .send = two, .status = 500, .sealed = true });
    const auto last = relay.event(ResponseEnded { .call = relay.lastCallId(), .send = two });
    CHECK(findEffect<ForwardResponse>(last));
    CHECK(findEffect<FinishResponse>(last));
    CHECK(relay.state.requests.empty());
}

// Guards against forwarding a response of status 200 that the upstream did not produce itself; the seal header
// proves that it did.
TEST_CASE("A success without the seal header is answered 502", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const auto sent = relay.request("/read/");
    const SendId send = findEffect<SendToUpstream>(sent)->send;
    relay.event(ResponseStarted { .call = relay.lastCallId(), .send = send, .status = 200, .sealed = false });
    const auto effects = relay.event(ResponseEnded { .call = relay.lastCallId(), .send = send });
    CHECK_FALSE(findEffect<ForwardResponse>(effects));
    REQUIRE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<RefuseCall>(effects)->status == 502);
}

// Guards against a stream that loses or repeats events, starts a second response, or ends as if complete, after its
// engine failed.
TEST_CASE("A broken stream is resumed at another engine after its last complete event", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const auto sent = relay.request("/letters/");
    const SendId one = findEffect<SendToUpstream>(sent)->send;
    const auto began = relay.event(
        ResponseStarted { .call = relay.lastCallId(), .send = one, .status = 200, .sealed = true, .stream = true });
    CHECK(findEffect<ForwardResponse>(began));
    relay.event(StreamProgressed { .call = relay.lastCallId(), .send = one, .lastEventId = "7" });
    const auto resumed
        = relay.event(ResponseEnded { .call = relay.lastCallId(), .send = one, .end = SendResult::Broken });
    REQUIRE(findEffect<SendToUpstream>(resumed));
    CHECK(findEffect<SendToUpstream>(resumed)->resumeAfter == "7");
    const SendId two = findEffect<SendToUpstream>(resumed)->send;
    SECTION("as a continuation of the response that the caller has")
    {
        const auto again = relay.event(
            ResponseStarted { .call = relay.lastCallId(), .send = two, .status = 200, .sealed = true, .stream = true });
        CHECK_FALSE(findEffect<ForwardResponse>(again));
        CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = relay.lastCallId(), .send = two })));
    }
    SECTION("and is aborted when no attempt is left")
    {
        const auto effects
            = relay.event(ResponseEnded { .call = relay.lastCallId(), .send = two, .end = SendResult::Broken });
        CHECK(findEffect<AbortResponse>(effects));
        CHECK_FALSE(findEffect<FinishResponse>(effects));
    }
    SECTION("and is aborted on an error response of the second engine")
    {
        relay.event(ResponseStarted { .call = relay.lastCallId(), .send = two, .status = 500, .sealed = true });
        const auto effects = relay.event(ResponseEnded { .call = relay.lastCallId(), .send = two });
        CHECK_FALSE(findEffect<FinishResponse>(effects));
        CHECK(findEffect<AbortResponse>(effects));
    }
    SECTION("and events of the broken send are ignored")
    {
        relay.event(StreamProgressed { .call = relay.lastCallId(), .send = one, .lastEventId = "9" });
        CHECK(relay.state.requests.at(relay.lastCallId()).lastEventId == "7");
    }
}

// Guards against upstream slots that stay occupied by requests whose callers are gone.
TEST_CASE("A caller that disconnects frees a slot for the next queued request", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    for (int count = 0; count < 4; ++count)
        CHECK(findEffect<SendToUpstream>(relay.request("/read/")));
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/read/")));
    const auto effects = relay.event(RelayCallerDisconnected { .call = { 1 } });
    CHECK(findEffect<CancelSend>(effects));
    REQUIRE(findEffect<SendToUpstream>(effects));
    CHECK(findEffect<SendToUpstream>(effects)->call == relay.lastCallId());
}

// Guards against requests that are cut off because their upstream exits after its announcement to leave.
TEST_CASE("A leaving or unlisted upstream gets no new requests", "[relay]")
{
    RelayFixture relay;
    UpstreamEntry leaving = RelayFixture::upstream("e1", "engine");
    relay.list({ leaving, RelayFixture::upstream("e2", "engine") });
    leaving.leaving = true;
    relay.list({ leaving, RelayFixture::upstream("e2", "engine") });
    for (int count = 0; count < 4; ++count)
        CHECK(findEffect<SendToUpstream>(relay.request("/letters/"))->upstream.value == "e2");
    relay.list({ leaving });
    const auto effects = relay.request("/letters/");
    REQUIRE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<RefuseCall>(effects)->status == 503);
}

// Guards against streams that wait until their deadline for an engine that hangs without closing the connection.
TEST_CASE("Resumable streams of a silent engine are resumed at another one", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const auto sent = relay.request("/letters/");
    const SendId send = findEffect<SendToUpstream>(sent)->send;
    relay.event(
        ResponseStarted { .call = relay.lastCallId(), .send = send, .status = 200, .sealed = true, .stream = true });
    relay.event(StreamProgressed { .call = relay.lastCallId(), .send = send, .lastEventId = "3" });
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    relay.now += Milliseconds { 800 };
    const auto early = relay.event(RelayTick {});
    CHECK_FALSE(findEffect<CancelSend>(early));
    CHECK_FALSE(findEffect<SendToUpstream>(early));
    relay.now += Milliseconds { 200 };
    const auto effects = relay.event(RelayTick {});
    REQUIRE(findEffect<SendToUpstream>(effects));
    const SendToUpstream second = *findEffect<SendToUpstream>(effects);
    CHECK(second.upstream.value == "e2");
    CHECK(second.resumeAfter == "3");
    CHECK_FALSE(findEffect<CancelSend>(effects));
    relay.event(ResponseStarted {
        .call = relay.lastCallId(), .send = second.send, .status = 200, .sealed = true, .stream = true });
    const auto begun
        = relay.event(StreamProgressed { .call = relay.lastCallId(), .send = second.send, .lastEventId = "4" });
    REQUIRE(findEffect<CancelSend>(begun));
    CHECK(findEffect<CancelSend>(begun)->send == send);
}

// Guards against responses from outdated weights, also by requests that were sent or queued before the grace period
// ended.
TEST_CASE("Older weights are not used after the grace period of newer ones", "[relay]")
{
    RelayFixture relay({ .weightsGracePeriod = { 7000 } });
    relay.list({ RelayFixture::upstream("e1", "engine", 1) });
    relay.event(WeightsDeclared { .model = { "model" }, .version = { 2 }, .notBefore = relay.now });
    CHECK(findEffect<SendToUpstream>(relay.request("/letters/")));
    SECTION("requests are refused, and sends that have not started are cancelled")
    {
        relay.now += Milliseconds { 7400 };
        relay.confirmConfig();
        CHECK(findEffect<RefuseCall>(relay.request("/letters/")));
        relay.state.requests.at({ 1 }).deadlineAt = relay.now + Milliseconds { 1000 };
        CHECK(findEffect<CancelSend>(relay.event(RelayTick {})));
    }
    SECTION("the engine's version is sent as the expected one")
    {
        relay.now += Milliseconds { 7400 };
        relay.confirmConfig();
        relay.list({ RelayFixture::upstream("e2", "engine", 3) });
        const auto effects = relay.request("/letters/");
        REQUIRE(findEffect<SendToUpstream>(effects));
        CHECK(findEffect<SendToUpstream>(effects)->expectVersion == WeightsVersion { 3 });
    }
    SECTION("a newer declaration does not extend the grace period of an earlier one")
    {
        relay.now += Milliseconds { 4000 };
        relay.event(WeightsDeclared { .model = { "model" }, .version = { 3 }, .notBefore = relay.now });
        relay.now += Milliseconds { 3000 };
        CHECK(requiredWeights(relay.state, { "model" }, relay.now) == WeightsVersion { 2 });
    }
    SECTION("weights found in the first read of the store have no grace period")
    {
        RelayFixture restarted({ .weightsGracePeriod = { 7000 } });
        restarted.list({ RelayFixture::upstream("e1", "engine", 1) });
        restarted.event(WeightsDeclared { .model = { "model" }, .version = { 2 } });
        CHECK(findEffect<RefuseCall>(restarted.request("/letters/")));
    }
}

// Guards against a bound that counts from late news: an entry that was frozen, or copies from one that was, learned of
// a declaration seconds after it was made and used older weights for as much too long.
TEST_CASE("Late news of declared weights does not extend the use of older ones", "[relay]")
{
    RelayFixture relay({ .weightsGracePeriod = { 7000 } });
    const ModelId model { "model" };
    const auto isServed = [&](const std::string& id, std::uint64_t version) {
        relay.confirmConfig();
        relay.list({ RelayFixture::upstream(id, "engine", version) });
        return findEffect<SendToUpstream>(relay.request("/letters/")) != nullptr;
    };
    SECTION("the copy was last confirmed 3 s before the version was seen")
    {
        relay.event(WeightsDeclared {
            .model = model, .version = { 2 }, .notBefore = relay.now - Milliseconds { 3000 }, .source = "store" });
        relay.now += Milliseconds { 3990 };
        CHECK(isServed("e1", 1));
        relay.now += Milliseconds { 10 };
        CHECK_FALSE(isServed("e2", 1));
        CHECK(isServed("e3", 2));
    }
    SECTION("of two versions declared meanwhile only the second was seen")
    {
        relay.event(WeightsDeclared {
            .model = model, .version = { 3 }, .notBefore = relay.now - Milliseconds { 3000 }, .source = "store" });
        relay.now += Milliseconds { 4000 };
        CHECK_FALSE(isServed("e1", 1));
    }
    SECTION("a peer knows both versions, and better when they were declared")
    {
        relay.event(WeightsDeclared {
            .model = model, .version = { 3 }, .notBefore = relay.now - Milliseconds { 3000 }, .source = "store" });
        relay.event(PeerWeightsReceived { .peer = { "peer" },
            .declared = { { .model = model, .version = { 3 }, .notBefore = relay.now - Milliseconds { 900 } },
                { .model = model, .version = { 2 }, .notBefore = relay.now - Milliseconds { 2800 } } } });
        relay.now += Milliseconds { 4190 };
        CHECK(isServed("e1", 1));
        relay.now += Milliseconds { 10 };
        CHECK_FALSE(isServed("e2", 1));
        CHECK(isServed("e3", 2));
        relay.now += Milliseconds { 1900 };
        CHECK_FALSE(isServed("e4", 2));
        CHECK(isServed("e5", 3));
    }
    SECTION("a peer that knows less changes nothing")
    {
        relay.event(WeightsDeclared { .model = model, .version = { 2 }, .notBefore = relay.now, .source = "store" });
        relay.event(PeerWeightsReceived { .peer = { "peer" },
            .declared = { { .model = model, .version = { 2 }, .notBefore = relay.now - Milliseconds { 3000 } } } });
        relay.now += Milliseconds { 6990 };
        CHECK(isServed("e1", 1));
        relay.now += Milliseconds { 10 };
        CHECK_FALSE(isServed("e2", 1));
    }
    SECTION("an entry that just started learns from a peer when the version was declared")
    {
        relay.event(WeightsDeclared { .model = model, .version = { 2 }, .source = "store" });
        CHECK_FALSE(isServed("e1", 1));
        relay.event(PeerWeightsReceived { .peer = { "peer" },
            .declared = { { .model = model, .version = { 2 }, .notBefore = relay.now - Milliseconds { 2000 } } } });
        CHECK(isServed("e2", 1));
        relay.now += Milliseconds { 5000 };
        CHECK_FALSE(isServed("e3", 1));
    }
    SECTION("a version that was overwritten unread was not declared before the copy was confirmed without it")
    {
        relay.event(WeightsDeclared { .model = model, .version = { 1 }, .source = "store" });
        relay.event(WeightsDeclared {
            .model = model, .version = { 4 }, .notBefore = relay.now - Milliseconds { 1000 }, .source = "store" });
        relay.event(PeerWeightsReceived { .peer = { "peer" },
            .declared = { { .model = model, .version = { 4 }, .notBefore = relay.now - Milliseconds { 100 } },
                { .model = model, .version = { 3 }, .notBefore = relay.now - Milliseconds { 8000 } },
                { .model = model, .version = { 2 } } } });
        relay.now += Milliseconds { 5990 };
        CHECK(isServed("e1", 1));
        relay.now += Milliseconds { 10 };
        CHECK_FALSE(isServed("e2", 2));
        CHECK(isServed("e3", 3));
    }
    SECTION("a version of which neither the peer nor this entry knows the moment rules older ones out at once")
    {
        relay.event(PeerWeightsReceived { .peer = { "peer" }, .declared = { { .model = model, .version = { 2 } } } });
        CHECK_FALSE(isServed("e1", 1));
        CHECK(isServed("e2", 2));
    }
    SECTION("a version that is read again keeps its bound")
    {
        relay.event(WeightsDeclared { .model = model, .version = { 2 }, .notBefore = relay.now, .source = "store" });
        relay.now += Milliseconds { 3000 };
        relay.event(WeightsDeclared { .model = model, .version = { 2 }, .notBefore = relay.now, .source = "store" });
        relay.now += Milliseconds { 4000 };
        CHECK_FALSE(isServed("e1", 1));
    }
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("Retries stop at this entry's share of the fleet's retry budget", "[relay]")
{
    RelayFixture relay({ .retryRatio = 0.2, .retryExtra = 10, .retryWindow = { 10000 } });
    relay.event(EntryCountUpdated { .entryCount = 4 });
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    std::size_t retries = 0;
    for (int count = 0; count < 30; ++count) {
        relay.now += Milliseconds { 200 };
        relay.confirmConfig();
        const auto sent = relay.request("/read/");
        const auto* send = findEffect<SendToUpstream>(sent);
        REQUIRE(send);
        const auto effects = relay.event(
            ResponseStarted { .call = relay.lastCallId(), .send = send->send, .status = 503, .notRun = true });
        retries += countEffects<SendToUpstream>(effects);
        relay.event(RelayCallerDisconnected { .call = relay.lastCallId() });
    }
    // 0.8 x (0.2 x 30 + 10 / 4) = 6.8
    CHECK(retries >= 4);
    CHECK(retries <= 6);
}

// Guards against responses that are cut off when a draining entry exits.
TEST_CASE("A draining relay refuses requests that it could not finish in time", "[relay]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    for (int count = 0; count < 4; ++count)
        relay.request("/digests/");
    relay.request("/digests/"); // queued
    CHECK(relay.state.services.at({ "engine" }).queue.size() == 1);
    const auto began = relay.event(DrainStarted { .endsAt = relay.now + Milliseconds { 7600 } });
    CHECK_FALSE(findEffect<RefuseCall>(began));
    SECTION("a queued request is answered 503 once it could not end in time")
    {
        relay.now += Milliseconds { 7000 };
        for (auto& [call, request] : relay.state.requests)
            request.deadlineAt = std::max(request.deadlineAt, *relay.state.drainEndsAt);
        const auto effects = relay.event(RelayTick {});
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 503);
        CHECK(findEffect<RefuseCall>(effects)->call == relay.lastCallId());
    }
    SECTION("a new request whose response may last too long is refused with a short Retry-After")
    {
        relay.event(RelayCallerDisconnected { .call = { 1 } });
        relay.now += Milliseconds { 6000 };
        relay.confirmConfig();
        RequestMetadata metadata { .attemptId = "late",
            .host = "desk.example",
            .target = "/calls/x",
            .key = "key",
            .model = { "model" },
            .promptTokens = 900,
            .maxOutputTokens = 360 };
        const auto effects
            = relay.event(CallArrived { .call = { 99 }, .firstByteAt = relay.now, .metadata = metadata });
        REQUIRE(findEffect<RefuseCall>(effects));
        CHECK(findEffect<RefuseCall>(effects)->status == 503);
        CHECK(findEffect<RefuseCall>(effects)->retryAfter <= Milliseconds { 50 });
    }
}
