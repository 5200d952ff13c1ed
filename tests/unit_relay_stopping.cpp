#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr std::uint16_t statusUnavailable = 503;

/// A relay that is told to stop, and callers that come afterwards.
struct StoppingRelay : RelayFixture {
    /// @param timeLeft until the drain ends
    explicit StoppingRelay(Milliseconds timeLeft)
    {
        this->list({ upstream("e1", "engine"), upstream("p1", "plain"), upstream("p2", "plain") });
        this->event(DrainStarted { .endsAt = this->now + timeLeft });
    }

    /// @param timeout the caller's
    /// @param maxTokens limit of an engine's answer, 0 for none stated
    std::vector<RelayEffect> arrive(const std::string& prefix, Milliseconds timeout, std::uint32_t maxTokens = 0)
    {
        RequestMetadata metadata { .attemptId = "attempt-" + std::to_string(++this->lastCall),
            .host = "desk.example",
            .target = prefix + "x",
            .key = "key",
            .timeout = timeout };
        if (prefix != "/read/" && prefix != "/book/") {
            metadata.model = { "model" };
            metadata.promptTokens = 900;
            metadata.maxOutputTokens = maxTokens;
        }
        return this->event(CallArrived { .call = { this->lastCall }, .firstByteAt = this->now, .metadata = metadata });
    }
};

bool isSent(const std::vector<RelayEffect>& effects) { return findEffect<SendToUpstream>(effects) != nullptr; }

/// @return whether a request is refused as not run, with a short Retry-After
bool isRefused(const std::vector<RelayEffect>& effects)
{
    const auto* refusal = findEffect<RefuseCall>(effects);
    return refusal && refusal->status == statusUnavailable && refusal->retryAfter.value > 0
        && refusal->retryAfter <= Milliseconds { 50 } && !isSent(effects);
}

} // namespace

// Guards against passing on what may run only once when the end of the drain may cut it.
TEST_CASE("A stopping relay takes what may not be repeated only if it ends by itself", "[relay][drain]")
{
    StoppingRelay relay({ 5000 });
    CHECK(isRefused(relay.arrive("/book/", { 6000 })));
    CHECK(isRefused(relay.arrive("/book/", { 0 })));
    CHECK(isSent(relay.arrive("/book/", { 4900 })));
    relay.now += Milliseconds { 4200 };
    relay.confirmConfig();
    CHECK(isRefused(relay.arrive("/book/", { 1000 })));
}

// Guards against streams that are reset when a process that stops has gone.
TEST_CASE("A stopping relay takes no stream whose length nothing limits", "[relay][drain]")
{
    StoppingRelay relay({ 5000 });
    CHECK(isRefused(relay.arrive("/letters/", { 6000 })));
    CHECK(isSent(relay.arrive("/letters/", { 6000 }, 100)));
    CHECK(isRefused(relay.arrive("/letters/", { 6000 }, 1000)));
    // Its engine may be silent for a second meanwhile.
    relay.now += Milliseconds { 2500 };
    relay.confirmConfig();
    CHECK(isRefused(relay.arrive("/letters/", { 6000 }, 100)));
}

// Guards against streams that are broken off at the end of the drain although they were sent late in it: their engine
// fell silent more often than the prediction allows for (review/10).
TEST_CASE("A stopping relay takes nothing by prediction that came late in its drain", "[relay][drain]")
{
    // The timeout of the routes, 6 s, ends after the drain for all of them.
    StoppingRelay relay(drainPredictionPeriod + Milliseconds { 5900 });
    relay.now += drainPredictionPeriod;
    relay.confirmConfig();
    CHECK(isSent(relay.arrive("/letters/", { 40000 }, 100)));
    CHECK(isSent(relay.arrive("/read/", { 40000 })));
    relay.now += Milliseconds { 1 };
    CHECK(isRefused(relay.arrive("/letters/", { 40000 }, 100)));
    CHECK(isRefused(relay.arrive("/read/", { 40000 })));
    CHECK(isRefused(relay.arrive("/book/", { 40000 })));
    // What ends by its own time is no prediction.
    CHECK(isSent(relay.arrive("/letters/", { 5000 }, 100)));
}

// Guards against a request that is refused when it comes back from an upstream, though it could be answered in time.
TEST_CASE("A request that came early, or that ends by its own time, is sent again late in a drain", "[relay][drain]")
{
    StoppingRelay relay({ 8000 });
    const bool cameEarly = GENERATE(true, false);
    relay.now += cameEarly ? drainPredictionPeriod : drainPredictionPeriod + Milliseconds { 1 };
    relay.confirmConfig();
    const auto sent = relay.arrive("/read/", { cameEarly ? 40000 : 1500 });
    REQUIRE(isSent(sent));
    relay.now += Milliseconds { 100 };
    const auto effects = relay.event(ResponseStarted { .call = { relay.lastCall },
        .send = findEffect<SendToUpstream>(sent)->send,
        .status = statusUnavailable,
        .notRun = true });
    CHECK(isSent(effects));
}

// Guards against callers that use up their only retry at once while all entries are restarted.
TEST_CASE("A stopping relay sends callers back late if no other entry takes requests", "[relay][drain]")
{
    StoppingRelay relay({ 8000 });
    const bool anyOtherReady = GENERATE(true, false);
    relay.event(EntryCountUpdated { .entryCount = 2, .others = { { "entry-2" } }, .anyOtherReady = anyOtherReady });
    relay.now += Milliseconds { 4000 };
    relay.confirmConfig();
    const auto effects = relay.arrive("/letters/", { 6000 }, 100);
    const auto* refusal = findEffect<RefuseCall>(effects);
    REQUIRE(refusal);
    if (anyOtherReady)
        CHECK(refusal->retryAfter == drainRetryAfter);
    else {
        CHECK(refusal->retryAfter <= Milliseconds { 2000 });
        CHECK(refusal->retryAfter >= Milliseconds { 1500 });
    }
}

// Guards against requests that come back from a full upstream while the process stops and are passed on once more.
TEST_CASE("A request that an upstream did not run is refused if the drain may cut it", "[relay][drain]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    const auto sent = relay.request("/book/");
    REQUIRE(isSent(sent));
    relay.event(DrainStarted { .endsAt = relay.now + Milliseconds { 3000 } });
    const auto effects = relay.event(ResponseStarted { .call = relay.lastCallId(),
        .send = findEffect<SendToUpstream>(sent)->send,
        .status = statusUnavailable,
        .notRun = true });
    CHECK(isRefused(effects));
}

// Guards against holding what waits for an upstream when another entry can take it.
TEST_CASE("A stopping relay refuses at once what waits and may not end in time", "[relay][drain]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    for (int count = 0; count < 5; ++count)
        relay.request("/letters/");
    CHECK(isRefused(relay.event(DrainStarted { .endsAt = relay.now + Milliseconds { 4000 } })));
}
