#include "engine_news_func.h"
#include "peer_state_type.h"
#include "placement_simulation.h"
#include "platform_wire_func.h"
#include "table/upstream_load_limits.h"
#include "upstream_load_func.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hickory;

namespace {

/// At these rates the choice without stated load starts 9 in 100 streams late, as the second deployment does.
constexpr double streamsAt45Engines = 180;
constexpr double streamsAt76Engines = 300;

PlacementScenario scenario76(std::uint64_t seed)
{
    return { .engines = { 26, 25, 25 }, .streamsPerSecond = streamsAt76Engines, .length = { 8000 }, .seed = seed };
}

PlacementScenario scenario45(std::uint64_t seed)
{
    return { .streamsPerSecond = streamsAt45Engines, .length = { 8000 }, .seed = seed };
}

/// Replays a scenario with and without stated slowdowns. Without them the choice is the one for other services.
void checkHalved(PlacementScenario scenario)
{
    const PlacementResult stated = PlacementSimulation(scenario).run();
    scenario.statesSlowdown = false;
    const PlacementResult before = PlacementSimulation(scenario).run();
    INFO("late " << stated.lateShare() << ", before " << before.lateShare() << ", elsewhere "
                 << stated.elsewhereShare());
    CHECK(stated.lateShare() <= before.lateShare() / 2);
    CHECK(stated.median() <= before.median());
    CHECK(stated.elsewhereShare() <= before.elsewhereShare() + 0.002);
    CHECK(stated.refused == 0);
}

/// @return answer of an engine that states its load
UpstreamNotice loadNotice(std::optional<double> slowdown, std::uint32_t running = 0, std::uint32_t waiting = 0)
{
    return { .load = StatedLoad { .running = running, .waiting = waiting, .slots = 4, .slowdown = slowdown } };
}

/// Sends a request and answers it, so that the upstream that ran it states a load.
/// @return the upstream
std::string answerWith(RelayFixture& relay, const char* prefix, const UpstreamNotice& notice)
{
    const auto effects = relay.request(prefix);
    const auto* send = findEffect<SendToUpstream>(effects);
    REQUIRE(send);
    relay.event(ResponseStarted {
        .call = send->call, .send = send->send, .status = 200, .sealed = true, .stream = true, .notice = notice });
    relay.event(StreamProgressed { .call = send->call, .send = send->send, .lastEventId = "1" });
    relay.event(ResponseEnded { .call = send->call, .send = send->send });
    return send->upstream.value;
}

WireHead headWith(const std::string& load) { return { .headers = { { "Replica-Load", load } } }; }

} // namespace

TEST_CASE("Entries with the same stale loads do not all choose the same engines", "[placement]")
{
    for (const std::uint64_t seed : { 1, 2 }) {
        checkHalved(scenario45(seed));
        checkHalved(scenario76(seed));
    }
}

TEST_CASE("The choice is spread also where no engine is slow", "[placement]")
{
    PlacementScenario scenario = scenario76(3);
    scenario.slowShare = 0;
    checkHalved(scenario);
}

TEST_CASE("The choice is spread also where one data centre gets more traffic", "[placement]")
{
    PlacementScenario scenario = scenario45(4);
    scenario.share = { 1.2, 1, 0.8 };
    checkHalved(scenario);
}

TEST_CASE("A stated slowdown decays to the usual time", "[placement]")
{
    RelayUpstream view;
    CHECK(expectedSlowdown(view, { 1000 }) == 1.0);
    CHECK_FALSE(slowdownAge(view, { 1000 }));
    view.statedLoad = StatedLoad { .slowdown = 2.5 };
    view.statedLoadAt = { 1000 };
    CHECK(expectedSlowdown(view, { 1000 }) == 2.5);
    CHECK(expectedSlowdown(view, Milliseconds { 1000 } + slowdownDecay / 2) == 1.75);
    CHECK(expectedSlowdown(view, Milliseconds { 1000 } + slowdownDecay) == 1.0);
    CHECK(expectedSlowdown(view, { 100000 }) == 1.0);
    SECTION("a newer report of the agent replaces it")
    {
        view.report = EngineReport { .slowdown = 1.0 };
        view.reportedAt = { 1100 };
        CHECK(expectedSlowdown(view, { 1100 }) == 1.0);
        CHECK(slowdownAge(view, { 1150 }) == Milliseconds { 50 });
    }
    SECTION("an older report does not")
    {
        view.report = EngineReport { .slowdown = 1.0 };
        view.reportedAt = { 900 };
        CHECK(expectedSlowdown(view, { 1000 }) == 2.5);
    }
    SECTION("an upstream faster than usual counts as usual")
    {
        view.statedLoad->slowdown = 0.1;
        CHECK(expectedSlowdown(view, { 1000 }) == 1.0);
    }
}

TEST_CASE("Load headers that are no load are left out", "[placement]")
{
    for (const char* odd : { "", ",", "1", "1,2", "a,b,c", "1,2,x", "-1,0,12,100", "1,2,12,nan", "1,2,12,inf",
             "1e99,0,12,100", "1;2;12;100" })
        CHECK_FALSE(platform::decodeLoad(headWith(odd)));
    const auto three = platform::decodeLoad(headWith(" 3, 1 ,12"));
    REQUIRE(three);
    CHECK(three->running == 3);
    CHECK_FALSE(three->slowdown);
    const auto zero = platform::decodeLoad(headWith("3,1,12,0"));
    REQUIRE(zero);
    CHECK_FALSE(zero->slowdown);
    CHECK(platform::decodeLoad(headWith("3,1,12,250"))->slowdown == 2.5);
}

TEST_CASE("An engine that states a slowdown gets no further request while another is at its usual speed", "[placement]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const std::string slow = answerWith(relay, "/letters/", loadNotice(2.5));
    CHECK(statesSlowdown(relay.state, { "engine" }, relay.now));
    CHECK_FALSE(statesSlowdown(relay.state, { "plain" }, relay.now));
    const auto effects = relay.request("/letters/");
    CHECK(findEffect<SendToUpstream>(effects)->upstream.value != slow);
    relay.now += slowdownStatedMaxAge + Milliseconds { 1 };
    CHECK_FALSE(statesSlowdown(relay.state, { "engine" }, relay.now));
}

TEST_CASE("Running and waiting requests of others keep an engine from getting more than it holds", "[placement]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("e1", "engine"), RelayFixture::upstream("e2", "engine") });
    const std::string full = answerWith(relay, "/letters/", loadNotice(1.0, 4, 3));
    for (int request = 0; request < 2; ++request) {
        const auto effects = relay.request("/letters/");
        CHECK(findEffect<SendToUpstream>(effects)->upstream.value != full);
    }
    CHECK(statedByOthers(relay.state.upstreams.at({ full }), relay.now) == 6);
    CHECK(statedByOthers(relay.state.upstreams.at({ full }), relay.now + statedLoadMaxAge + Milliseconds { 1 }) == 0);
}

TEST_CASE("A slow plain upstream of a service that states slowdowns gets fewer requests", "[placement]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain"), RelayFixture::upstream("p2", "plain") });
    const std::string slow = answerWith(relay, "/read/", loadNotice(2.5));
    const auto effects = relay.request("/read/");
    CHECK(findEffect<SendToUpstream>(effects)->upstream.value != slow);
}

TEST_CASE("Without stated slowdowns the load that an upstream states changes no choice", "[placement]")
{
    RelayFixture stated;
    RelayFixture plain;
    for (RelayFixture* relay : { &stated, &plain }) {
        std::vector<UpstreamEntry> engines;
        for (const char* id : { "e1", "e2", "e3", "e4", "e5" })
            engines.push_back(RelayFixture::upstream(id, "engine"));
        relay->list(std::move(engines));
    }
    for (int request = 0; request < 20; ++request) {
        CHECK(answerWith(stated, "/letters/", loadNotice({}, 4, 9)) == answerWith(plain, "/letters/", {}));
        stated.now += Milliseconds { 30 };
        plain.now += Milliseconds { 30 };
    }
}

TEST_CASE("A slowdown that varies many times a second causes no messages of its own", "[placement]")
{
    EngineNews news { .slowdownVaries = true };
    EngineReported reported { .address = "10.0.0.1:1", .report = { .processStartedAt = 1 }, .order = { { 1 }, 1 } };
    recordReports(news, { reported }, true, { 1000 });
    takeReportsToRelay(news, { 1000 });
    takeReportsForSummary(news, true, { 1000 });
    reported.report.slowdown = 2.5;
    ++reported.order.sequence;
    CHECK(recordReports(news, { reported }, true, { 1150 }).size() == 1);
    CHECK_FALSE(news.relayAtOnce);
    CHECK_FALSE(news.summarizeAtOnce);
    // It goes out with the next regular beacon.
    CHECK(takeReportsToRelay(news, { 1200 }).at(0).report.slowdown == 2.5);
    news.slowdownVaries = false;
    reported.report.slowdown = 1.0;
    ++reported.order.sequence;
    recordReports(news, { reported }, true, { 1300 });
    CHECK(news.relayAtOnce);
}

// Guards against datagrams for each change of slowdown from entries that got no answer of an engine lately.
TEST_CASE("A slowdown that the report calls stated causes no messages at an entry without own traffic", "[placement]")
{
    EngineNews news;
    EngineReported reported {
        .address = "10.0.0.1:1", .report = { .processStartedAt = 1 }, .slowdownStated = true, .order = { { 1 }, 1 }
    };
    recordReports(news, { reported }, true, { 1000 });
    takeReportsToRelay(news, { 1000 });
    takeReportsForSummary(news, true, { 1000 });
    reported.report.slowdown = 2.5;
    ++reported.order.sequence;
    CHECK(recordReports(news, { reported }, true, { 1150 }).size() == 1);
    CHECK_FALSE(news.relayAtOnce);
    CHECK_FALSE(news.summarizeAtOnce);
    // A slowdown that the engine did not state is a fault of it, which entries must know at once.
    reported.slowdownStated = false;
    reported.report.slowdown = 1.0;
    ++reported.order.sequence;
    recordReports(news, { reported }, true, { 1300 });
    CHECK(news.relayAtOnce);
}

// Guards against an entry that joins, or restarts, and moves the preferred engines of all entries after it by name.
TEST_CASE("An entry keeps its place on the ring while others come and go for a moment", "[placement]")
{
    RelayFixture relay;
    relay.event(EntryCountUpdated { .entryCount = 40, .position = 30, .positionHere = 5 });
    CHECK(relay.state.ringPosition.position == 5);
    SECTION("entries elsewhere do not count")
    {
        relay.now += ringPositionHold * 2;
        relay.event(EntryCountUpdated { .entryCount = 41, .position = 31, .positionHere = 5 });
        CHECK(relay.state.ringPosition.position == 5);
    }
    SECTION("right after the start the count is still growing")
    {
        relay.now += Milliseconds { 500 };
        relay.event(EntryCountUpdated { .entryCount = 40, .position = 32, .positionHere = 7 });
        CHECK(relay.state.ringPosition.position == 7);
    }
    SECTION("one that restarts does not count, one that stays does")
    {
        relay.now += ringPositionHold * 2;
        relay.event(EntryCountUpdated { .entryCount = 39, .position = 29, .positionHere = 4 });
        relay.now += ringPositionHold - Milliseconds { 1 };
        relay.event(EntryCountUpdated { .entryCount = 39, .position = 29, .positionHere = 4 });
        CHECK(relay.state.ringPosition.position == 5);
        relay.event(EntryCountUpdated { .entryCount = 40, .position = 30, .positionHere = 5 });
        relay.now += ringPositionHold * 2;
        relay.event(EntryCountUpdated { .entryCount = 41, .position = 31, .positionHere = 6 });
        CHECK(relay.state.ringPosition.position == 5);
        relay.now += ringPositionHold;
        relay.event(EntryCountUpdated { .entryCount = 41, .position = 31, .positionHere = 6 });
        CHECK(relay.state.ringPosition.position == 6);
    }
}

// Guards against entries that all choose the plain upstream that is first by its id.
TEST_CASE("Entries spread over equally loaded plain upstreams that state slowdowns", "[placement]")
{
    const auto chosenBy = [](std::uint32_t entry, std::optional<double> slowdown) {
        RelayFixture relay({ .dataCentre = { "a" } });
        relay.event(EntryCountUpdated { .entryCount = 12, .position = entry, .positionHere = entry });
        std::vector<UpstreamEntry> plain;
        for (const char* id : { "p1", "p2", "p3", "p4", "p5", "p6", "p7" })
            plain.push_back(RelayFixture::upstream(id, "plain"));
        relay.list(std::move(plain));
        answerWith(relay, "/read/", loadNotice(slowdown));
        return answerWith(relay, "/read/", loadNotice(slowdown));
    };
    std::set<std::string> spread;
    std::set<std::string> usual;
    for (std::uint32_t entry = 0; entry < 12; ++entry) {
        spread.insert(chosenBy(entry, 1.0));
        usual.insert(chosenBy(entry, {}));
    }
    CHECK(spread.size() >= 5);
    CHECK(usual.size() == 1);
}

TEST_CASE("Upstreams are numbered by service among the listed ones of this data centre", "[placement]")
{
    RelayFixture relay({ .dataCentre = { "a" } });
    UpstreamEntry elsewhere = RelayFixture::upstream("e2", "engine");
    elsewhere.dataCentre = { "elsewhere" };
    relay.list({ RelayFixture::upstream("e1", "engine"), elsewhere, RelayFixture::upstream("e3", "engine"),
        RelayFixture::upstream("p1", "plain") });
    CHECK(relay.state.upstreams.at({ "e3" }).ringIndex == 1);
    CHECK(relay.state.upstreams.at({ "e3" }).ringCount == 2);
    CHECK(relay.state.upstreams.at({ "p1" }).ringIndex == 0);
    relay.list({ elsewhere, RelayFixture::upstream("e3", "engine") });
    CHECK(relay.state.upstreams.at({ "e3" }).ringIndex == 0);
    CHECK(relay.state.upstreams.at({ "e3" }).ringCount == 1);
}

TEST_CASE("Entries lie evenly on the ring, however many there are", "[placement]")
{
    // The engine that is nearest to most entries must not be nearest to many more than its share.
    for (const std::uint32_t first : { 0U, 15U, 28U, 100U }) {
        constexpr std::size_t engines = 15;
        constexpr std::uint32_t entries = 13;
        std::map<std::size_t, int> nearest;
        for (std::uint32_t entry = first; entry < first + entries; ++entry) {
            std::size_t best = 0;
            for (std::size_t index = 1; index < engines; ++index)
                if (ringDistance(entry, index, engines) < ringDistance(entry, best, engines))
                    best = index;
            CHECK(++nearest[best] <= 2);
        }
    }
    CHECK(ringDistance(0, 0, 0) <= 1.0);
}
