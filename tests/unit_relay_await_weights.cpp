#include "relay_admit_func.h"
#include "relay_fixture.h"
#include "table/relay_limits.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr std::uint32_t engineCount = 6;

/// Engines that come back without weights after a loss of power. The origin needs 2.8 s for a copy.
struct EmptyFleet : RelayFixture {
    EmptyFleet()
    {
        auto made = config(2);
        EngineProfile& engine = *made->services.at({ "engine" }).engine;
        engine.pieceCount = 64;
        engine.pieceBytes = 32768;
        engine.loadTime = { 300 };
        made->services[{ "origin" }] = { .name = { "origin" }, .originAddress = "10.9.0.1:1", .originMbps = 5.94 };
        for (RelayRoute& route : made->routes)
            route.patience = { route.kind == CallKind::Stream ? 4000 : 0 };
        this->event(ConfigUpdated { .config = made });
        this->listEngines(0);
    }

    /// @param version that all engines hold, 0 for none
    std::vector<RelayEffect> listEngines(std::uint64_t version)
    {
        std::vector<UpstreamEntry> entries;
        for (std::uint32_t index = 0; index < engineCount; ++index) {
            UpstreamEntry entry = upstream("engine-" + std::to_string(index), "engine", version);
            if (version == 0)
                entry.models.clear();
            entries.push_back(std::move(entry));
        }
        return this->list(std::move(entries));
    }

    /// Lets time pass in steps of a tick.
    std::vector<RelayEffect> pass(Milliseconds time)
    {
        std::vector<RelayEffect> all;
        constexpr Milliseconds tick { 20 };
        for (const Milliseconds until = this->now + time; this->now < until;) {
            this->now = this->now + tick;
            const auto effects = this->event(RelayTick {});
            all.insert(all.end(), effects.begin(), effects.end());
        }
        return all;
    }
};

} // namespace

// Load pattern: all machines lost power, and callers, who return only once, come while the engines load. Guards against
// refusing them until they give up.
TEST_CASE("Requests wait for weights that are expected in time", "[relay][weights-wait]")
{
    EmptyFleet fleet;
    // The first callers would leave before the weights can be here.
    const auto first = fleet.request("/calls/");
    const RefuseCall* refused = findEffect<RefuseCall>(first);
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->retryAfter > Milliseconds { 1000 });
    fleet.pass({ 1600 });
    const auto held = fleet.request("/calls/");
    CHECK_FALSE(findEffect<RefuseCall>(held));
    CHECK_FALSE(findEffect<SendToUpstream>(held));
    CHECK(countEffects<RefuseCall>(fleet.pass({ 2500 })) == 0);
    const auto loaded = fleet.listEngines(1);
    REQUIRE(findEffect<SendToUpstream>(loaded));
    CHECK(findEffect<SendToUpstream>(loaded)->call == fleet.lastCallId());
}

// Guards against late requests that fill all engines, so that callers who come when these are back are late as well.
TEST_CASE("Requests that wait for weights leave half of the slots to those that come later", "[relay][weights-wait]")
{
    EmptyFleet fleet;
    fleet.request("/calls/");
    fleet.pass({ 2000 });
    std::size_t held = 0;
    for (int count = 0; count < 100; ++count)
        held += findEffect<RefuseCall>(fleet.request("/letters/")) ? 0 : 1;
    CHECK(held == engineCount * 4 / 2);
    fleet.pass({ 2000 });
    const auto loaded = fleet.listEngines(1);
    CHECK(countEffects<SendToUpstream>(loaded) == held);
    for (std::size_t fresh = 0; fresh < held; ++fresh)
        CHECK(findEffect<SendToUpstream>(fleet.request("/calls/")));
}

// Guards against holding requests for weights that nobody can load: the origin is away, or no engine is listed.
TEST_CASE("Requests are refused at once when weights are overdue or no engine loads them", "[relay][weights-wait]")
{
    EmptyFleet fleet;
    fleet.request("/calls/");
    SECTION("overdue")
    {
        fleet.pass({ 10000 });
        fleet.confirmConfig();
        CHECK(findEffect<RefuseCall>(fleet.request("/calls/")));
    }
    SECTION("no engine")
    {
        fleet.pass({ 2000 });
        fleet.list({});
        CHECK(findEffect<RefuseCall>(fleet.request("/calls/")));
    }
    SECTION("the process stops")
    {
        fleet.pass({ 2000 });
        fleet.event(DrainStarted { .endsAt = fleet.now + Milliseconds { 8000 } });
        CHECK(findEffect<RefuseCall>(fleet.request("/calls/")));
    }
}

// Load pattern: the origin was away, and all engines load a declared version at the end of the time allowed.
TEST_CASE("Requests wait for engines that are just loading", "[relay][weights-wait]")
{
    EmptyFleet fleet;
    EngineReported loading { .address = "engine-0:1", .report = { .busy = true } };
    fleet.report(loading);
    CHECK_FALSE(findEffect<RefuseCall>(fleet.request("/calls/")));
}
