#include "begun_request_func.h"
#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>
#include <random>

using namespace hickory;

namespace {

/// A relay with a stream that engine "e1" has begun.
struct BegunStream {
    BegunStream()
    {
        this->relay.list({ RelayFixture::upstream("e1", "engine") });
        const auto* sent = findEffect<SendToUpstream>(this->relay.request("/letters/"));
        REQUIRE(sent);
        this->call = sent->call;
        this->send = sent->send;
        this->relay.event(
            ResponseStarted { .call = this->call, .send = this->send, .status = 200, .sealed = true, .stream = true });
        this->progress("19");
    }

    std::vector<RelayEffect> progress(const std::string& lastEventId)
    {
        return this->relay.event(
            StreamProgressed { .call = this->call, .send = this->send, .lastEventId = lastEventId });
    }

    /// Lets the engine leave all status requests unanswered for some time.
    /// @return effects of that time
    std::vector<RelayEffect> silence(Milliseconds time)
    {
        std::vector<RelayEffect> all;
        std::optional<ProbeUpstream> asked;
        Milliseconds askedAt;
        const Milliseconds until = this->relay.now + time;
        while (this->relay.now < until) {
            this->relay.now += Milliseconds { 20 };
            std::vector<RelayEffect> effects;
            if (asked && this->relay.now - askedAt >= asked->timeout) {
                effects = this->relay.event(UpstreamProbed { .upstream = asked->upstream,
                    .result = ProbeResult::Unreachable,
                    .startedAt = askedAt,
                    .mustAnswer = true });
                asked.reset();
            }
            const auto ticked = this->relay.event(RelayTick {});
            effects.insert(effects.end(), ticked.begin(), ticked.end());
            if (const auto* probe = findEffect<ProbeUpstream>(effects)) {
                asked = *probe;
                askedAt = this->relay.now;
            }
            all.insert(all.end(), effects.begin(), effects.end());
        }
        return all;
    }

    RelayFixture relay;
    CallId call;
    SendId send;
};

/// Lists engine "e1" and another one whose slots are all in use.
void listFullEngine(RelayFixture& relay)
{
    UpstreamEntry full = RelayFixture::upstream("e2", "engine");
    full.slots = 1;
    relay.list({ RelayFixture::upstream("e1", "engine"), full });
    for (int count = 0; count < 2; ++count) {
        const auto effects = relay.request("/calls/");
        const auto* sent = findEffect<SendToUpstream>(effects);
        if (sent && sent->upstream.value == "e2")
            relay.event(ResponseStarted {
                .call = sent->call, .send = sent->send, .status = 200, .sealed = true, .stream = true });
    }
}

/// @return whether effects end a call before its response is whole
bool endsCall(const std::vector<RelayEffect>& effects, CallId call)
{
    return std::any_of(effects.begin(), effects.end(), [&](const RelayEffect& effect) {
        const auto* aborted = std::get_if<AbortResponse>(&effect);
        const auto* refused = std::get_if<RefuseCall>(&effect);
        return (aborted && aborted->call == call) || (refused && refused->call == call);
    });
}

} // namespace

// Guards against streams that are taken back from a sound engine and then reset because no time is left to begin anew.
TEST_CASE("A begun stream outlasts a second of silence of its engine", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    relay.now += Milliseconds { 2500 };
    stream.progress("20");
    SECTION("while no other engine could take it") { }
    SECTION("while another engine could take it")
    {
        relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    }
    SECTION("while another engine is full") { listFullEngine(relay); }
    relay.updateConfig(2);
    const auto holds = [&] {
        const auto effects = stream.silence({ 700 });
        const auto* cancelled = findEffect<CancelSend>(effects);
        return !endsCall(effects, stream.call) && !(cancelled && cancelled->send == stream.send);
    };
    CHECK(holds());
    relay.updateConfig(3);
    CHECK(holds());
    stream.progress("21");
    CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = stream.send })));
}

/// @return the send to the given upstream, if the effects have one
std::optional<SendToUpstream> sendTo(const std::vector<RelayEffect>& effects, const std::string& upstream)
{
    for (const RelayEffect& effect : effects)
        if (const auto* sent = std::get_if<SendToUpstream>(&effect); sent && sent->upstream.value == upstream)
            return *sent;
    return std::nullopt;
}

// Guards against callers that wait for an engine that stands still though another one could go on.
TEST_CASE("A stream at an engine that stands still gets a backup, and what answers first is kept", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const auto silent = stream.silence({ 700 });
    CHECK_FALSE(endsCall(silent, stream.call));
    const auto backup = sendTo(silent, "e2");
    REQUIRE(backup);
    CHECK(backup->resumeAfter == "19");
    const auto began = [&] {
        return relay.event(ResponseStarted {
            .call = stream.call, .send = backup->send, .status = 200, .sealed = true, .stream = true });
    };
    const auto cancels = [&](const std::vector<RelayEffect>& effects, SendId send) {
        const auto* cancelled = findEffect<CancelSend>(effects);
        return cancelled && cancelled->send == send;
    };
    SECTION("the engine that goes on")
    {
        CHECK(cancels(stream.progress("20"), backup->send));
        CHECK_FALSE(findEffect<ForwardResponse>(began()));
        const auto effects = relay.event(ResponseEnded { .call = stream.call, .send = stream.send });
        REQUIRE(findEffect<FinishResponse>(effects));
        CHECK(findEffect<FinishResponse>(effects)->send == stream.send);
    }
    SECTION("the backup")
    {
        CHECK_FALSE(findEffect<CancelSend>(began()));
        const auto effects
            = relay.event(StreamProgressed { .call = stream.call, .send = backup->send, .lastEventId = "20" });
        CHECK(cancels(effects, stream.send));
        CHECK_FALSE(findEffect<ForwardResponse>(effects));
        stream.progress("25");
        CHECK(relay.state.requests.at(stream.call).lastEventId == "20");
        CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = backup->send })));
    }
    SECTION("the engine, if the backup breaks off before its first event")
    {
        began();
        CHECK_FALSE(endsCall(
            relay.event(ResponseEnded { .call = stream.call, .send = backup->send, .end = SendResult::Broken }),
            stream.call));
        stream.progress("20");
        CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = stream.send })));
    }
    SECTION("the engine, if the backup's events do not come from an engine")
    {
        relay.event(ResponseStarted { .call = stream.call, .send = backup->send, .status = 200, .stream = true });
        CHECK_FALSE(findEffect<CancelSend>(
            relay.event(StreamProgressed { .call = stream.call, .send = backup->send, .lastEventId = "30" })));
        CHECK(relay.state.requests.at(stream.call).lastEventId == "19");
    }
    SECTION("the backup, if the engine breaks off")
    {
        const auto effects
            = relay.event(ResponseEnded { .call = stream.call, .send = stream.send, .end = SendResult::Broken });
        CHECK_FALSE(endsCall(effects, stream.call));
        began();
        CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = backup->send })));
    }
    SECTION("the engine, if the backup is turned away, fails or is broken off")
    {
        const auto kind = GENERATE(0, 1, 2);
        if (kind == 0)
            relay.event(ResponseStarted {
                .call = stream.call, .send = backup->send, .status = 503, .notRun = true, .sealed = true });
        if (kind == 1)
            relay.event(ResponseStarted { .call = stream.call, .send = backup->send, .status = 500, .sealed = true });
        const auto effects = relay.event(ResponseEnded {
            .call = stream.call, .send = backup->send, .end = kind == 2 ? SendResult::Broken : SendResult::Complete });
        CHECK_FALSE(findEffect<AbortResponse>(effects));
        stream.progress("20");
        CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = stream.send })));
    }
    SECTION("and both are cancelled when the caller leaves")
    {
        CHECK(countEffects<CancelSend>(relay.event(RelayCallerDisconnected { .call = stream.call })) == 2);
        for (const auto& [id, view] : relay.state.upstreams)
            CHECK(view.sent + view.unbegun + view.prefillTokens == 0);
    }
    SECTION("and both are cancelled at the deadline")
    {
        relay.now += Milliseconds { 6000 };
        const auto effects = relay.event(RelayTick {});
        CHECK(countEffects<CancelSend>(effects) == 2);
        CHECK(findEffect<AbortResponse>(effects));
    }
}

// Guards against one request after the other that lies unbegun at engines that stand still.
TEST_CASE("A backup that does not begin is taken back, uses up an attempt, and the stream stays", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const auto first = sendTo(stream.silence({ 700 }), "e2");
    REQUIRE(first);
    const auto unbegun = stream.silence({ 1000 });
    const auto* cancelled = findEffect<CancelSend>(unbegun);
    REQUIRE(cancelled);
    CHECK(cancelled->send == first->send);
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e3", "engine") });
    const auto later = stream.silence({ 500 });
    CHECK_FALSE(sendTo(later, "e3"));
    CHECK_FALSE(endsCall(later, stream.call));
    stream.progress("20");
    CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = stream.send })));
}

// Guards against a second run, and a lost answer, of a request whose whole answer waits for a probe.
TEST_CASE("An answer that ended gets no backup", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    std::optional<SendToUpstream> backup;
    SECTION("after its end") { }
    SECTION("before its end") { backup = sendTo(stream.silence({ 700 }), "e2"); }
    const auto ended
        = relay.event(ResponseEnded { .call = stream.call, .send = stream.send, .end = SendResult::Unconfirmed });
    CHECK(countEffects<CancelSend>(ended) == (backup ? 1 : 0));
    const auto effects = stream.silence({ 1000 });
    CHECK_FALSE(findEffect<SendToUpstream>(effects));
    CHECK_FALSE(endsCall(effects, stream.call));
    const auto confirmed
        = relay.event(UpstreamProbed { .upstream = { "e1" }, .result = ProbeResult::Accepted, .startedAt = relay.now });
    CHECK(findEffect<FinishResponse>(confirmed));
}

// Guards against streams that are reset because the engine that is to go on with them is full or late.
TEST_CASE("A stream whose engine ended waits for another one until its deadline", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    const auto end = [&](SendId send) {
        return relay.event(ResponseEnded { .call = stream.call, .send = send, .end = SendResult::Broken });
    };
    SECTION("while none is listed")
    {
        CHECK_FALSE(endsCall(end(stream.send), stream.call));
        relay.now += Milliseconds { 5000 };
        CHECK_FALSE(endsCall(relay.event(RelayTick {}), stream.call));
        CHECK(findEffect<SendToUpstream>(relay.list({ RelayFixture::upstream("e2", "engine") })));
    }
    SECTION("while one after the other turns it away")
    {
        relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
        auto effects = end(stream.send);
        for (int times = 0; times < 4; ++times) {
            const auto* sent = findEffect<SendToUpstream>(effects);
            REQUIRE(sent);
            const auto refused = relay.event(
                ResponseStarted { .call = stream.call, .send = sent->send, .status = 503, .notRun = true });
            CHECK_FALSE(findEffect<AbortResponse>(refused));
            relay.now += fullBackoff + Milliseconds { 20 };
            effects = relay.event(RelayTick {});
        }
        CHECK(findEffect<SendToUpstream>(effects));
    }
    SECTION("while the retry budget is used up")
    {
        relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
        relay.state.options.retryRatio = relay.state.options.retryExtra = 0;
        CHECK_FALSE(endsCall(end(stream.send), stream.call));
        CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
        relay.state.options.retryExtra = 10;
        CHECK(findEffect<SendToUpstream>(relay.event(RelayTick {})));
        CHECK(relay.state.services.at({ "engine" }).retries.buckets.back().retries == 1);
    }
}

// Guards against a stream without an upstream that keeps all others waiting.
TEST_CASE("A stream that no engine can go on with does not hold up the queue", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    relay.event(ResponseEnded { .call = stream.call, .send = stream.send, .end = SendResult::Broken });
    relay.now += maxEjection;
    CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    const auto effects = relay.request("/letters/");
    REQUIRE(findEffect<SendToUpstream>(effects));
    CHECK(findEffect<SendToUpstream>(effects)->call == relay.lastCallId());
}

// Guards against each way in which silence, lateness or a change could end what an upstream has begun.
TEST_CASE("Nothing but its caller, its deadline or a dead engine ends a begun stream", "[relay][begun]")
{
    const auto seed = GENERATE(range(1, 41));
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto draw = [&](int most) { return static_cast<int>(random() % static_cast<unsigned>(most + 1)); };
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    const Milliseconds deadline = relay.now + Milliseconds { 5000 };
    std::uint64_t version = 1;
    int events = 19;
    std::vector<std::vector<RelayEffect>> all;
    while (relay.now < deadline) {
        switch (draw(7)) {
        case 0:
            relay.updateConfig(++version);
            break;
        case 1:
            all.push_back(relay.event(WeightsDeclared { .model = { "model" }, .version = { ++version } }));
            break;
        case 2:
            all.push_back(relay.list({ RelayFixture::upstream("e1", "engine"),
                RelayFixture::upstream("e2", "engine", static_cast<std::uint64_t>(draw(3))) }));
            break;
        case 3:
            all.push_back(relay.list({ RelayFixture::upstream("e2", "engine") }));
            break;
        case 4: {
            UpstreamEntry leaving = RelayFixture::upstream("e1", "engine");
            leaving.leaving = true;
            all.push_back(relay.list({ leaving }));
            break;
        }
        case 5:
            all.push_back(relay.request(draw(1) == 0 ? "/calls/" : "/digests/"));
            break;
        case 6:
            all.push_back(relay.report(
                { .address = "e1:1", .report = { .models = {}, .running = 4 }, .orderPending = draw(1) == 0 }));
            break;
        default:
            break;
        }
        all.push_back(stream.silence({ 20 + draw(1400) }));
        all.push_back(stream.progress(std::to_string(++events)));
    }
    INFO("seed " << seed);
    for (const auto& effects : all) {
        REQUIRE_FALSE(endsCall(effects, stream.call));
        const auto* cancelled = findEffect<CancelSend>(effects);
        REQUIRE_FALSE((cancelled && cancelled->send == stream.send));
    }
}

// Guards against a slow answer that is thrown away for a second one that takes as long again.
TEST_CASE("A plain request that is late gets a backup, and the first answer is kept", "[relay][begun]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    const auto first = *findEffect<SendToUpstream>(relay.request("/read/"));
    relay.now += Milliseconds { 1500 };
    CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    relay.now += Milliseconds { 120 };
    const auto effects = relay.event(RelayTick {});
    CHECK_FALSE(findEffect<CancelSend>(effects));
    REQUIRE(findEffect<SendToUpstream>(effects));
    const auto second = *findEffect<SendToUpstream>(effects);
    CHECK(second.upstream != first.upstream);
    CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    SECTION("or the backup's whole answer that is no success")
    {
        relay.event(ResponseStarted { .call = first.call, .send = second.send, .status = 404, .sealed = true });
        const auto ended = relay.event(ResponseEnded { .call = first.call, .send = second.send });
        REQUIRE(findEffect<ForwardResponse>(ended));
        CHECK(findEffect<ForwardResponse>(ended)->send == second.send);
        CHECK(findEffect<CancelSend>(ended)->send == first.send);
        return;
    }
    const bool keepsFirst = GENERATE(true, false);
    const SendId kept = keepsFirst ? first.send : second.send;
    const auto answered
        = relay.event(ResponseStarted { .call = first.call, .send = kept, .status = 200, .sealed = true });
    REQUIRE(findEffect<CancelSend>(answered));
    CHECK(findEffect<CancelSend>(answered)->send == (keepsFirst ? second.send : first.send));
    const auto ended = relay.event(ResponseEnded { .call = first.call, .send = kept });
    REQUIRE(findEffect<ForwardResponse>(ended));
    CHECK(findEffect<ForwardResponse>(ended)->send == kept);
    CHECK(findEffect<FinishResponse>(ended));
}

// Guards against second runs of what a sound upstream works on.
TEST_CASE("A plain request is not sent twice while its service takes as long as it usually does", "[relay][begun]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    for (int count = 0; count < 3; ++count) {
        const auto sent = *findEffect<SendToUpstream>(relay.request("/book/"));
        relay.now += Milliseconds { 1500 };
        relay.event(ResponseStarted { .call = sent.call, .send = sent.send, .status = 200, .sealed = true });
        relay.event(ResponseEnded { .call = sent.call, .send = sent.send });
    }
    relay.confirmConfig();
    REQUIRE(findEffect<SendToUpstream>(relay.request("/read/")));
    relay.now += Milliseconds { 2900 };
    CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    relay.now += Milliseconds { 200 };
    CHECK(findEffect<SendToUpstream>(relay.event(RelayTick {})));
}

// Guards against a stream that runs at more engines than its route allows: the engine that it was resumed at, silent
// behind a slow link, began it after it had been taken back from there.
TEST_CASE("A resumed stream without attempts left stays at an engine that may be about to begin it", "[relay][begun]")
{
    BegunStream stream;
    RelayFixture& relay = stream.relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const auto second = sendTo(
        relay.event(ResponseEnded { .call = stream.call, .send = stream.send, .end = SendResult::Broken }), "e2");
    REQUIRE(second);
    REQUIRE(relay.state.requests.at(stream.call).sends == relay.state.requests.at(stream.call).route->maxAttempts);
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine"),
        RelayFixture::upstream("e3", "engine") });
    const auto moves = [&](Milliseconds time) { return sendTo(stream.silence(time), "e3").has_value(); };
    CHECK_FALSE(moves(maxSoundSilence - Milliseconds { 100 }));
    SECTION("it begins")
    {
        CHECK_FALSE(
            endsCall(relay.event(ResponseStarted {
                         .call = stream.call, .send = second->send, .status = 200, .sealed = true, .stream = true }),
                stream.call));
        stream.send = second->send;
        stream.progress("20");
        CHECK(findEffect<FinishResponse>(relay.event(ResponseEnded { .call = stream.call, .send = second->send })));
    }
    SECTION("it is silent for longer than a sound engine") { CHECK(moves({ 600 })); }
}
