#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>
#include <random>

using namespace hickory;

namespace {

/// A relay with one stream that lies unbegun at engine "e1".
struct UnbegunStream {
    UnbegunStream()
    {
        this->relay.list({ RelayFixture::upstream("e1", "engine") });
        const auto* sent = findEffect<SendToUpstream>(this->relay.request("/letters/"));
        REQUIRE(sent);
        this->call = sent->call;
        this->send = sent->send;
    }

    /// Lists "e1" and "e2", whose slots are all in use.
    void listFullEngine()
    {
        UpstreamEntry full = RelayFixture::upstream("e2", "engine");
        full.slots = 1;
        this->relay.list({ RelayFixture::upstream("e1", "engine"), full });
        while (this->others.size() < 2) { // one more than slots
            const auto effects = this->relay.request("/calls/");
            const auto* sent = findEffect<SendToUpstream>(effects);
            REQUIRE(sent);
            if (sent->upstream.value == "e1") {
                this->relay.event(RelayCallerDisconnected { .call = sent->call });
                continue;
            }
            this->others.push_back(*sent);
            this->relay.event(ResponseStarted {
                .call = sent->call, .send = sent->send, .status = 200, .sealed = true, .stream = true });
        }
    }

    /// Lets "e1" be silent, and leave status requests unanswered, while "e2" goes on.
    /// @return effects of that time
    std::vector<RelayEffect> silence(Milliseconds time)
    {
        std::vector<RelayEffect> all;
        const auto append = [&](const std::vector<RelayEffect>& effects) {
            all.insert(all.end(), effects.begin(), effects.end());
            return findEffect<ProbeUpstream>(effects) != nullptr;
        };
        for (const Milliseconds until = this->relay.now + time; this->relay.now < until;) {
            this->relay.now += Milliseconds { 20 };
            for (const SendToUpstream& other : this->others)
                append(
                    this->relay.event(StreamProgressed { .call = other.call, .send = other.send, .lastEventId = "1" }));
            if (append(this->relay.event(RelayTick {})))
                append(this->relay.event(UpstreamProbed { .upstream = { "e1" },
                    .result = ProbeResult::Unreachable,
                    .startedAt = this->relay.now,
                    .mustAnswer = true }));
        }
        return all;
    }

    std::vector<RelayEffect> begin()
    {
        return this->relay.event(
            ResponseStarted { .call = this->call, .send = this->send, .status = 200, .sealed = true, .stream = true });
    }

    RelayFixture relay;
    CallId call; ///< the stream
    SendId send; ///< its send to "e1"
    std::vector<SendToUpstream> others; ///< streams that "e2" has begun
};

bool isRefused(const std::vector<RelayEffect>& effects, CallId call)
{
    return std::any_of(effects.begin(), effects.end(), [&](const RelayEffect& effect) {
        const auto* refused = std::get_if<RefuseCall>(&effect);
        return refused && refused->call == call;
    });
}

bool isCancelled(const std::vector<RelayEffect>& effects, SendId send)
{
    return std::any_of(effects.begin(), effects.end(), [&](const RelayEffect& effect) {
        const auto* cancelled = std::get_if<CancelSend>(&effect);
        return cancelled && cancelled->send == send;
    });
}

std::vector<SendToUpstream> sendsOf(const std::vector<RelayEffect>& effects, CallId call)
{
    std::vector<SendToUpstream> sends;
    for (const RelayEffect& effect : effects)
        if (const auto* sent = std::get_if<SendToUpstream>(&effect); sent && sent->call == call)
            sends.push_back(*sent);
    return sends;
}

} // namespace

// Guards against requests that are taken back from a sound engine and refused long before their deadline.
TEST_CASE("An unbegun request stays at its silent engine while no other one can begin it", "[relay][silent]")
{
    UnbegunStream stream;
    SECTION("because all others are full") { stream.listFullEngine(); }
    SECTION("because there is no other one") { }
    const auto silent = stream.silence({ 1500 });
    CHECK_FALSE(isCancelled(silent, stream.send));
    CHECK_FALSE(isRefused(silent, stream.call));
    CHECK_FALSE(findEffect<SendToUpstream>(stream.relay.request("/letters/")));
    CHECK(findEffect<ForwardResponse>(stream.begin()));
    stream.relay.event(StreamProgressed { .call = stream.call, .send = stream.send, .lastEventId = "1" });
    CHECK_FALSE(isCancelled(stream.silence({ 20 }), stream.send));
    const auto ended = stream.relay.event(ResponseEnded { .call = stream.call, .send = stream.send });
    CHECK(findEffect<FinishResponse>(ended));
}

// Guards against a place that becomes free and goes to a request that could be sent later.
TEST_CASE("A request that stays at a silent engine gets the next free place elsewhere", "[relay][silent]")
{
    UnbegunStream stream;
    stream.listFullEngine();
    stream.silence({ 1000 });
    const SendToUpstream& other = stream.others.front();
    const auto freed = stream.relay.event(ResponseEnded { .call = other.call, .send = other.send });
    CHECK(isCancelled(freed, stream.send));
    const auto sends = sendsOf(freed, stream.call);
    REQUIRE(sends.size() == 1);
    CHECK(sends.front().upstream.value == "e2");
}

// Guards against a prediction that ends what an engine may have begun: it knows neither the engine nor the caller.
TEST_CASE("Only its deadline ends an unbegun request whose caller waits for it", "[relay][silent]")
{
    UnbegunStream stream;
    stream.listFullEngine();
    CHECK_FALSE(isRefused(stream.silence({ 5900 }), stream.call));
    const auto late = stream.silence({ 200 });
    CHECK(isRefused(late, stream.call));
    CHECK(isCancelled(late, stream.send));
}

// Guards against work for callers that left engines on frozen hosts, and against ends before an engine is one of these.
TEST_CASE("A caller that is about to leave is refused once its engine is silent for too long", "[relay][silent]")
{
    RelayFixture relay;
    auto config = RelayFixture::config(2);
    const auto patience = GENERATE(Milliseconds { 1800 }, Milliseconds { 2600 });
    for (RelayRoute& route : config->routes)
        route.patience = patience;
    relay.event(ConfigUpdated { .config = config });
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const auto sent = *findEffect<SendToUpstream>(relay.request("/letters/"));
    std::vector<RelayEffect> all;
    for (const Milliseconds until = relay.now + patience; relay.now < until;) {
        relay.now += Milliseconds { 20 };
        const auto effects = relay.event(RelayTick {});
        all.insert(all.end(), effects.begin(), effects.end());
    }
    CHECK(isRefused(all, sent.call) == (patience > maxSoundSilence));
}

// Guards against each way in which silence, lateness or a change could end what a sound engine is about to begin.
TEST_CASE("An unbegun request is never without an engine during a silence", "[relay][silent]")
{
    const auto seed = GENERATE(range(1, 41));
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto draw = [&](int most) { return static_cast<int>(random() % static_cast<unsigned>(most + 1)); };
    UnbegunStream stream;
    RelayFixture& relay = stream.relay;
    std::uint64_t version = 1;
    SendId last = stream.send;
    INFO("seed " << seed);
    for (const Milliseconds until = relay.now + maxSoundSilence - Milliseconds { 200 }; relay.now < until;) {
        std::vector<std::vector<RelayEffect>> all;
        switch (draw(5)) {
        case 0:
            relay.updateConfig(++version);
            break;
        case 1: {
            UpstreamEntry other = RelayFixture::upstream("e2", "engine");
            other.slots = static_cast<std::uint32_t>(draw(2));
            all.push_back(relay.list({ RelayFixture::upstream("e1", "engine"), other }));
            break;
        }
        case 2:
            all.push_back(relay.list({ RelayFixture::upstream("e2", "engine") }));
            break;
        case 3:
            all.push_back(relay.request(draw(1) == 0 ? "/calls/" : "/digests/"));
            break;
        case 4:
            all.push_back(relay.report(
                { .address = "e1:1", .report = { .models = {}, .running = 4 }, .orderPending = draw(1) == 0 }));
            break;
        default:
            break;
        }
        all.push_back(stream.silence({ 20 + draw(300) }));
        for (const auto& effects : all) {
            REQUIRE_FALSE(isRefused(effects, stream.call));
            const auto sends = sendsOf(effects, stream.call);
            const bool isMoved = !sends.empty();
            REQUIRE(isCancelled(effects, last) == isMoved);
            last = isMoved ? sends.back().send : last;
        }
    }
}
