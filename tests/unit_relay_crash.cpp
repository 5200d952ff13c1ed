#include "crash_fleet.h"
#include "crash_func.h"
#include "table/crash_limits.h"
#include "table/crash_news_limits.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hickory;

namespace {

constexpr std::uint64_t deadlyPart = 0x1000;
constexpr std::uint64_t busyPart = 0x2000; ///< the first part of most prompts, and of those with the deadly part
constexpr std::uint64_t deadlyRequest = 0x3000;

/// A first part of a prompt that many requests share; lower numbers are asked for more often.
std::uint64_t firstPart(std::mt19937_64& random)
{
    constexpr double rate = 0.3;
    constexpr double most = 59;
    return busyPart
        + 2 * static_cast<std::uint64_t>(std::min(most, std::exponential_distribution<double>(rate)(random)));
}

/// Requests a second.
struct Traffic {
    double sound { 150 }; ///< no two alike but for their first part
    double deadly { 4 }; ///< with the deadly part, no two alike
    double repeats { 0 }; ///< repeats of the deadly request
};

/// Plays traffic.
/// @return sound requests that began
std::size_t play(CrashFleet& fleet, const Traffic& traffic, Milliseconds duration, std::mt19937_64& random)
{
    constexpr Milliseconds step { 10 };
    constexpr double millisecondsPerSecond = 1000;
    const std::size_t before = fleet.begun;
    for (const Milliseconds end = fleet.now + duration; fleet.now < end; fleet.advance(step)) {
        const auto arrivals = [&](double perSecond) {
            const double mean = perSecond * static_cast<double>(step.value) / millisecondsPerSecond;
            return mean > 0 ? std::poisson_distribution<int>(mean)(random) : 0;
        };
        for (int count = arrivals(traffic.sound); count > 0; --count)
            fleet.request({ .parts = { firstPart(random) } });
        for (int count = arrivals(traffic.deadly); count > 0; --count)
            fleet.request({ .parts = { busyPart, deadlyPart } });
        for (int count = arrivals(traffic.repeats); count > 0; --count)
            fleet.request({ .parts = { busyPart }, .wholeRequest = deadlyRequest });
    }
    return fleet.begun - before;
}

/// @return deadly requests that reached an engine later than the stable window after the fifth crash, or after the last
/// one if there were fewer
std::size_t lateDeadlySends(const CrashFleet& fleet)
{
    constexpr std::size_t excused = 5;
    constexpr Milliseconds stableWindow { 3000 };
    if (fleet.crashTimes.empty())
        return 0;
    const Milliseconds since = fleet.crashTimes[std::min(fleet.crashTimes.size(), excused) - 1] + stableWindow;
    return static_cast<std::size_t>(std::count_if(
        fleet.deadlySendTimes.begin(), fleet.deadlySendTimes.end(), [&](Milliseconds at) { return at > since; }));
}

constexpr std::size_t maxLateDeadlySends = 3; // the users' bound

/// A relay that saw engine "e1" crash while it was about to begin requests with the given prompt parts. They wait for
/// engine "e2", which is about to load weights.
RelayFixture relayAfterCrash(const std::vector<std::vector<std::uint64_t>>& prompts)
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    relay.report({ .address = "e2:1",
        .report = { .models = { { .model = { "model" }, .version = { 1 } } } },
        .orderPending = true });
    std::vector<ResponseEnded> broken;
    for (const std::vector<std::uint64_t>& prompt : prompts) {
        const RequestMetadata metadata = letterMetadata(++relay.lastCall, prompt, 0);
        const auto effects
            = relay.event(CallArrived { .call = { relay.lastCall }, .firstByteAt = relay.now, .metadata = metadata });
        const auto* send = findEffect<SendToUpstream>(effects);
        REQUIRE(send);
        broken.push_back({ .call = send->call, .send = send->send, .end = SendResult::Broken });
    }
    for (const ResponseEnded& end : broken)
        relay.event(end);
    relay.now += commonFailureWindow * 2;
    relay.event(RelayTick {});
    return relay;
}

} // namespace

// Guards against one shared part of prompts crashing engine after engine.
TEST_CASE("Requests that share a crashing prompt part stop reaching engines after a few crashes", "[relay][crash]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        CrashFleet fleet(4, 14, seed);
        fleet.deadly = { deadlyPart };
        const std::size_t usual = play(fleet, { .deadly = 0 }, { 4000 }, random);
        play(fleet, {}, { 6000 }, random);
        const std::size_t during = play(fleet, {}, { 16000 }, random);
        CHECK(lateDeadlySends(fleet) <= maxLateDeadlySends);
        CHECK(during > usual * 4 / 2);
        CHECK(fleet.refused["quarantined"] > 0);
    }
}

// Guards against a part that crashes engines from the first request on, when nothing is known to be sound yet.
TEST_CASE("A crashing prompt part is found although its neighbours are unknown too", "[relay][crash]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        CrashFleet fleet(4, 14, seed);
        fleet.deadly = { deadlyPart };
        play(fleet, { .sound = 20, .deadly = 20 }, { 8000 }, random);
        play(fleet, { .sound = 150, .deadly = 20 }, { 4000 }, random);
        const std::size_t during = play(fleet, { .sound = 150, .deadly = 20 }, { 8000 }, random);
        CHECK(lateDeadlySends(fleet) <= maxLateDeadlySends);
        CHECK(during > 150 * 8 / 2);
    }
}

// Guards against a request whose repeats crash engine after engine.
TEST_CASE("Repeats of a crashing request stop reaching engines after a few crashes", "[relay][crash]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        CrashFleet fleet(4, 14, seed);
        fleet.deadly = { deadlyRequest };
        play(fleet, { .deadly = 0 }, { 4000 }, random);
        play(fleet, { .deadly = 0, .repeats = 4 }, { 20000 }, random);
        CHECK(lateDeadlySends(fleet) <= maxLateDeadlySends);
    }
}

// Guards against blaming requests for crashes that have another cause.
TEST_CASE("Crashes and broken connections without a request behind them put nothing into quarantine", "[relay][crash]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        CrashFleet fleet(4, 14, seed);
        play(fleet, { .deadly = 0 }, { 1000 }, random);
        for (std::size_t round = 0; round < 10; ++round) {
            fleet.crash(round);
            if (round % 3 == 0)
                fleet.resetConnections(round % 4);
            play(fleet, { .deadly = 0 }, { 400 }, random);
        }
        CHECK(fleet.refused["quarantined"] == 0);
    }
}

// Guards against refusing a part for good: after its quarantine one request shows whether it still crashes.
TEST_CASE("A quarantine that ends lets single requests try, and ends for good once one begins", "[relay][crash]")
{
    std::mt19937_64 random(7);
    CrashFleet fleet(4, 14, 7);
    fleet.deadly = { deadlyPart };
    play(fleet, { .sound = 40, .deadly = 2 }, { 8000 }, random);
    const std::size_t sentBefore = fleet.deadlySendTimes.size();
    play(fleet, { .sound = 40, .deadly = 2 }, quarantinePeriod + Milliseconds { 10000 }, random);
    CHECK(fleet.deadlySendTimes.size() > sentBefore);
    CHECK(fleet.deadlySendTimes.size() <= sentBefore + 2);
    fleet.deadly.clear();
    play(fleet, { .sound = 40, .deadly = 2 }, quarantinePeriod * 2 + Milliseconds { 10000 }, random);
    fleet.refused.clear();
    play(fleet, { .sound = 40, .deadly = 2 }, { 10000 }, random);
    CHECK(fleet.refused["quarantined"] == 0);
}

// Guards against retrying a suspected request on engine after engine.
TEST_CASE("Requests with a suspected prompt part are tried one at a time", "[relay][crash]")
{
    RelayFixture relay = relayAfterCrash({ { 0x10 }, { 0x20 }, { 0x30 } });
    const auto effects
        = relay.report({ .address = "e2:1", .report = { .models = { { .model = { "model" }, .version = { 1 } } } } });
    CHECK(countEffects<SendToUpstream>(effects) == 1);
    const auto* trial = findEffect<SendToUpstream>(effects);
    REQUIRE(trial);
    relay.now += Milliseconds { 100 };
    CHECK(countEffects<SendToUpstream>(relay.event(RelayTick {})) == 0);
    relay.event(
        ResponseStarted { .call = trial->call, .send = trial->send, .status = 200, .sealed = true, .stream = true });
    relay.event(StreamProgressed { .call = trial->call, .send = trial->send, .lastEventId = "1" });
    CHECK(countEffects<SendToUpstream>(relay.event(RelayTick {})) == 1);
}

// Guards against blocking a busy part that only ever stood beside the crashing one.
TEST_CASE(
    "Of two parts that stand in the same crashes, a request with only one of them is still tried", "[relay][crash]")
{
    std::map<CrashId, KnownCrash> crashes;
    const RequestTraits both { asPromptPart(0x10), asPromptPart(0x20) };
    crashes[{ 1 }] = { .at = { 1000 }, .traits = both };
    crashes[{ 2 }] = { .at = { 2000 }, .traits = both };
    CHECK(findCulprits(crashes) == std::vector<RequestTraits> { both });
    CrashState state;
    state.quarantines.push_back({ .traits = both });
    const Milliseconds now { 1 };
    CHECK(findQuarantine(state, both, now));
    CHECK_FALSE(findQuarantine(state, { asPromptPart(0x10) }, now));
    CHECK(suspicionHold(state, { asPromptPart(0x10) }, now));
    crashes[{ 3 }] = { .at = { 3000 }, .traits = { asPromptPart(0x20), asPromptPart(0x40) } };
    CHECK(findCulprits(crashes) == std::vector<RequestTraits> { { asPromptPart(0x20) } });
}

// Guards against news that echo for ever, and against knowledge that grows without bound.
TEST_CASE("Crash news are bounded and repeating them changes nothing", "[relay][crash]")
{
    RelayFixture relay;
    const auto made = rc::check("crash news", [&] {
        CrashNews news;
        const auto number = rc::gen::inRange<std::uint64_t>(1, 500);
        for (const std::uint64_t crash : *rc::gen::container<std::vector<std::uint64_t>>(number)) {
            CrashReport report {
                .crash = { crash }, .age = { static_cast<std::int64_t>(*number) * 200 }, .traits = {}
            };
            for (const std::uint64_t trait : *rc::gen::container<std::vector<std::uint64_t>>(number))
                report.traits.push_back({ trait });
            news.crashes.push_back(report);
        }
        for (const std::uint64_t trait : *rc::gen::container<std::vector<std::uint64_t>>(number))
            news.quarantines.push_back({ .traits = { { trait } }, .age = { static_cast<std::int64_t>(trait) * 300 } });
        relay.event(CrashNewsReceived { .news = news });
        relay.event(CrashNewsReceived { .news = news });
        const CrashState& known = relay.state.crashes;
        RC_ASSERT(known.crashes.size() <= maxKnownCrashes);
        RC_ASSERT(known.quarantines.size() <= maxQuarantines);
        RC_ASSERT(crashNews(relay.state, true, relay.now).crashes.size() <= maxNewsCrashes);
        for (const auto& [id, crash] : known.crashes)
            RC_ASSERT(crash.traits.size() <= maxTraitsPerCrash);
    });
    CHECK(made);
    relay.now += quarantinePeriod * 64 + quarantineMemory + crashMaxAge;
    relay.event(RelayTick {});
    CHECK(relay.state.crashes.crashes.empty());
    CHECK(relay.state.crashes.quarantines.empty());
}
