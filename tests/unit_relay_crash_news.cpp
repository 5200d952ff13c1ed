#include "crash_fleet.h"
#include "crash_func.h"
#include "table/crash_limits.h"
#include "table/crash_news_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr std::uint64_t somePart = 0x1000;

RequestMetadata letter(std::uint64_t number, const std::vector<std::uint64_t>& parts)
{
    return letterMetadata(number, parts, 0x900000 + number);
}

/// Receives a request that must be sent at once.
SendToUpstream sendOf(RelayFixture& relay, RequestMetadata metadata)
{
    const auto effects = relay.event(
        CallArrived { .call = { ++relay.lastCall }, .firstByteAt = relay.now, .metadata = std::move(metadata) });
    const auto* send = findEffect<SendToUpstream>(effects);
    REQUIRE(send);
    return *send;
}

/// @return reports of crashes that all have one trait, 100 ms apart
CrashNews crashesWith(RequestTrait trait, std::uint64_t firstCrash, std::uint64_t count)
{
    CrashNews news;
    for (std::uint64_t index = 0; index < count; ++index)
        news.crashes.push_back({ .crash = { firstCrash + index },
            .age = { static_cast<std::int64_t>(index) * 100 },
            .traits = { trait } });
    return news;
}

bool isQuarantined(const RelayFixture& relay, std::uint64_t part)
{
    return findQuarantine(relay.state.crashes, { asPromptPart(part) }, relay.now) != nullptr;
}

} // namespace

// Guards against an error of an engine that counts as the start of an answer.
TEST_CASE("An engine's own error does not clear a crashing prompt part", "[relay][crash]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendToUpstream send = sendOf(relay, letter(1, { somePart }));
    relay.event(CrashNewsReceived { .news = crashesWith(asPromptPart(somePart), 1, 1) });
    relay.event(ResponseStarted { .call = send.call, .send = send.send, .status = 500, .sealed = true });
    relay.event(ResponseEnded { .call = send.call, .send = send.send });
    CHECK_FALSE(isSound(relay.state.crashes.sound, asPromptPart(somePart)));
    relay.event(CrashNewsReceived { .news = crashesWith(asPromptPart(somePart), 2, 3) });
    CHECK(isQuarantined(relay, somePart));
}

// Guards against an entry that ends when more upstreams crash than it remembers.
TEST_CASE("A crash that is older than all that are kept is left out", "[relay][crash]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendToUpstream send = sendOf(relay, letter(1, { somePart }));
    relay.event(ResponseEnded { .call = send.call, .send = send.send, .end = SendResult::Broken });
    relay.now += Milliseconds { 1000 };
    CrashNews news = crashesWith(asWholeRequest(0x5000), 1, maxKnownCrashes);
    for (CrashReport& report : news.crashes)
        report.age = {};
    relay.event(CrashNewsReceived { .news = news });
    REQUIRE(relay.state.crashes.crashes.size() == maxKnownCrashes);
    relay.event(UpstreamProbed { .upstream = { "e1" }, .result = ProbeResult::Refused });
    CHECK_NOTHROW(relay.event(RelayTick {}));
    CHECK(relay.state.crashes.crashes.size() == maxKnownCrashes);
}

// Guards against a crash whose traits are all whole requests, so that the shared part behind it has no room.
TEST_CASE("Prompt parts of a crash are kept before whole requests", "[relay][crash]")
{
    RelayFixture relay;
    CrashNews news = crashesWith(asWholeRequest(0x5000), 1, 5);
    for (CrashReport& report : news.crashes)
        for (std::uint64_t index = 1; index < maxTraitsPerCrash; ++index)
            report.traits.push_back(asWholeRequest(report.crash.value * 0x10000 + 2 * index));
    relay.event(CrashNewsReceived { .news = news });
    relay.event(CrashNewsReceived { .news = crashesWith(asPromptPart(somePart), 1, 5) });
    CHECK(isQuarantined(relay, somePart));
}

// Guards against blaming what requests have in common for the loss of a rack.
TEST_CASE("Upstreams that end together count as one crash", "[relay][crash]")
{
    const bool plain = GENERATE(false, true);
    RelayFixture relay;
    std::vector<UpstreamEntry> entries;
    for (int index = 0; index < 8; ++index)
        entries.push_back(RelayFixture::upstream("e" + std::to_string(index), plain ? "plain" : "engine"));
    relay.list(entries);
    std::vector<SendToUpstream> sends;
    for (std::uint64_t number = 1; number <= 8; ++number) {
        RequestMetadata metadata = letter(number, { somePart });
        if (plain)
            metadata = { .attemptId = metadata.attemptId,
                .host = metadata.host,
                .target = "/read/x",
                .key = metadata.key,
                .timeout = metadata.timeout,
                .wholeRequest = { 0x70 } };
        sends.push_back(sendOf(relay, std::move(metadata)));
    }
    std::set<UpstreamId> ended;
    for (const SendToUpstream& send : sends)
        if (ended.contains(send.upstream) || ended.size() < 4) {
            ended.insert(send.upstream);
            relay.event(ResponseEnded { .call = send.call, .send = send.send, .end = SendResult::Broken });
        }
    REQUIRE(ended.size() >= 3);
    for (const UpstreamId& upstream : ended)
        relay.event(UpstreamProbed { .upstream = upstream, .result = ProbeResult::Refused });
    relay.now += commonFailureWindow * 2;
    relay.event(RelayTick {});
    CHECK_FALSE(relay.state.crashes.crashes.empty());
    CHECK(relay.state.crashes.quarantines.empty());
}

// Guards against refusing most requests after several engines were lost before anything was known to be sound.
TEST_CASE("Losing several engines at a cold start puts nothing into quarantine", "[relay][crash]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        CrashFleet fleet(4, 14, seed);
        const auto play = [&](Milliseconds duration) {
            constexpr std::uint64_t busyParts = 3;
            for (const Milliseconds end = fleet.now + duration; fleet.now < end; fleet.advance({ 10 }))
                for (int count = std::poisson_distribution<int>(1.5)(random); count > 0; --count)
                    fleet.request({ .parts = { 0x2000 + 2 * (random() % busyParts) } });
        };
        play({ 120 });
        for (std::size_t engine = 0; engine < 3; ++engine)
            fleet.crash(engine);
        play({ 5000 });
        CHECK(fleet.refused["quarantined"] == 0);
    }
}

// Guards against refusing a sound request because it was tried at an engine that hangs.
TEST_CASE("A trial at a silent engine is sent to another one", "[relay][crash]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    CrashNews news = crashesWith(asPromptPart(somePart), 1, 1);
    news.crashes.front().age = trialDelay + maxTrialSpread;
    relay.event(CrashNewsReceived { .news = news });
    const SendToUpstream trial = sendOf(relay, letter(1, { somePart }));
    relay.now += Milliseconds { 1000 };
    const auto effects = relay.event(RelayTick {});
    const auto* again = findEffect<SendToUpstream>(effects);
    REQUIRE(again);
    CHECK(again->upstream != trial.upstream);
}

// Guards against a crash that is concluded from broken connections although the upstream still runs.
TEST_CASE("Broken connections are no crash while the upstream may still accept others", "[relay][crash]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine") });
    const SendToUpstream first = sendOf(relay, letter(1, { somePart }));
    const SendToUpstream second = sendOf(relay, letter(2, { somePart }));
    for (const SendToUpstream& send : { first, second })
        relay.event(ResponseEnded { .call = send.call, .send = send.send, .end = SendResult::Broken });
    relay.now += Milliseconds { 300 };
    relay.event(RelayTick {});
    CHECK(relay.state.crashes.crashes.empty());
    const auto result = GENERATE(ProbeResult::Accepted, ProbeResult::Unreachable, ProbeResult::Refused);
    relay.event(UpstreamProbed { .upstream = { "e1" }, .result = result });
    relay.event(RelayTick {});
    CHECK(relay.state.crashes.crashes.empty() == (result == ProbeResult::Accepted));
}

// Guards against a few requests with many parts that make all other parts look unknown.
TEST_CASE("Requests with many prompt parts leave room for the sound parts of others", "[relay][crash]")
{
    RelayFixture relay;
    UpstreamEntry engine = RelayFixture::upstream("e1", "engine");
    engine.slots = 1000;
    relay.list({ engine });
    std::uint64_t part = 0x100000;
    for (std::uint64_t number = 1; number <= 200; ++number) {
        std::vector<std::uint64_t> parts;
        for (std::size_t index = 0; index < 256; ++index)
            parts.push_back(part += 2);
        if (number == 200)
            parts = { somePart };
        const SendToUpstream send = sendOf(relay, letter(number, parts));
        relay.event(
            ResponseStarted { .call = send.call, .send = send.send, .status = 200, .sealed = true, .stream = true });
        relay.event(StreamProgressed { .call = send.call, .send = send.send, .lastEventId = "1" });
    }
    CHECK(isSound(relay.state.crashes.sound, asPromptPart(somePart)));
}

// Guards against news that entries teach each other again after they forgot them.
TEST_CASE("Entries that tell each other of crashes forget them all the same", "[relay][crash]")
{
    constexpr std::size_t relayCount = 17;
    constexpr std::int64_t maxDelay = 60;
    constexpr std::int64_t tick = 20;
    constexpr std::int64_t beacon = 100;
    constexpr std::int64_t announceInterval = 50;
    constexpr std::uint64_t beaconsPerWhole = 10;
    std::mt19937_64 random(3);
    struct Relay {
        RelayFixture fixture;
        std::int64_t tickPhase;
        std::int64_t beaconPhase;
        std::int64_t announcedAt { 0 };
        std::uint64_t beacons { 0 };
    };
    std::vector<Relay> relays(relayCount);
    for (Relay& relay : relays) {
        relay.tickPhase = static_cast<std::int64_t>(random() % tick);
        relay.beaconPhase = static_cast<std::int64_t>(random() % beacon);
    }
    std::multimap<std::int64_t, std::pair<std::size_t, CrashNews>> inFlight;
    std::int64_t ms = 100000;
    const auto tell = [&](std::size_t from, bool whole) {
        const CrashNews news = crashNews(relays[from].fixture.state, whole, { ms });
        for (std::size_t to = 0; to < relayCount && !news.empty(); ++to)
            if (to != from)
                inFlight.emplace(ms + 1 + static_cast<std::int64_t>(random() % maxDelay), std::pair { to, news });
    };
    const auto deliver = [&](std::size_t to, const RelayEvent& event) {
        Relay& relay = relays[to];
        relay.fixture.now = { ms };
        const bool announces = countEffects<AnnounceCrashNews>(relay.fixture.event(event)) > 0;
        if (!announces || ms - relay.announcedAt < announceInterval)
            return;
        relay.announcedAt = ms;
        tell(to, false);
    };
    deliver(0, CrashNewsReceived { .news = crashesWith(asPromptPart(somePart), 1, 2) });
    const std::int64_t end = ms + (crashMaxAge + crashNewsMargin).value;
    for (; ms < end; ++ms) {
        while (!inFlight.empty() && inFlight.begin()->first <= ms) {
            const auto [to, news] = inFlight.begin()->second;
            inFlight.erase(inFlight.begin());
            deliver(to, CrashNewsReceived { .news = news });
        }
        for (std::size_t index = 0; index < relayCount; ++index) {
            Relay& relay = relays[index];
            if (ms % tick == relay.tickPhase)
                deliver(index, RelayTick {});
            if (ms % beacon == relay.beaconPhase)
                tell(index, relay.beacons++ % beaconsPerWhole == 0);
        }
    }
    for (const Relay& relay : relays)
        CHECK(relay.fixture.state.crashes.crashes.empty());
}
