#include "crash_func.h"
#include "home_region_func.h"
#include "region_fixture.h"
#include "relay_admit_func.h"
#include "table/relay_limits.h"
#include "upstream_notice_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

TEST_CASE("Lists of allowed regions are combined", "[home-region]")
{
    const AllowedRegions anywhere;
    const AllowedRegions nowhere = std::vector<RegionId> {};
    const AllowedRegions a = std::vector<RegionId> { { "a" } };
    const AllowedRegions ab = std::vector<RegionId> { { "a" }, { "b" } };
    const AllowedRegions b = std::vector<RegionId> { { "b" } };
    CHECK(intersectRegions(anywhere, ab) == ab);
    CHECK(intersectRegions(ab, b) == b);
    CHECK(intersectRegions(a, b) == nowhere);
    CHECK(overlaps(anywhere, a));
    CHECK(overlaps(ab, b));
    CHECK_FALSE(overlaps(a, b));
    CHECK_FALSE(overlaps(anywhere, nowhere));
    CHECK(includesRegions(anywhere, ab));
    CHECK(includesRegions(ab, a));
    CHECK_FALSE(includesRegions(a, anywhere));
    CHECK_FALSE(includesRegions(a, ab));
    // A data centre of unknown region must not count as a home because a list could not be read either.
    CHECK_FALSE(allowsRegion(std::vector<RegionId> { {} }, {}));
    CHECK(allowsRegion(anywhere, {}));
}

TEST_CASE("A request is sent only to its homes", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "a2", "b1", "x1" }, "plain");
    relay.home(2, "/read/", { { "b" } });
    for (int i = 0; i < 4; ++i)
        CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    // Its only home is full.
    CHECK(sentTo(relay.request("/read/")).empty());
    CHECK(sentTo(relay.request("/book/")) == "a1-plain");
}

TEST_CASE("The homes of route and workspace both bind", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1", "x1" }, "plain");
    relay.home(2, "/read/", { { "a" }, { "b" } }, { { "b" }, { "c" } });
    CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    CHECK(sentTo(relay.request("/book/")) == "b1-plain");
}

TEST_CASE("A request without homes may run in a data centre of unknown region", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "x1" }, "plain");
    CHECK(sentTo(relay.request("/read/")) == "x1-plain");
}

TEST_CASE("An evacuated data centre gets no request", "[home-region][evacuation]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    relay.evacuate({ { "a1" } });
    for (int i = 0; i < 4; ++i)
        CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    CHECK(sentTo(relay.request("/read/")).empty());
    CHECK(sentTo(relay.evacuate({})) == "a1-plain");
}

// Guards against serving a request where nobody allowed it, because two lists exclude each other.
TEST_CASE("A request whose homes exclude each other is refused at once", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    relay.home(2, "/read/", { { "a" } }, { { "b" } });
    const auto effects = relay.request("/read/");
    REQUIRE(refusal(effects) == "503 home-regions");
    const Milliseconds retryAfter = findEffect<RefuseCall>(effects)->retryAfter;
    CHECK(retryAfter > Milliseconds { 0 });
    CHECK(retryAfter <= Milliseconds { 2000 });
    CHECK(sentTo(relay.request("/book/")) == "b1-plain");
}

// Guards against a request that waits until its deadline for a home without upstreams, and against a home that is not
// there because its list could not be read.
TEST_CASE("A request whose homes have no upstream is refused at once", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "x1" }, "plain");
    relay.home(2, "/read/", { { "nowhere" } });
    CHECK(refusal(relay.request("/read/")) == "503 home-regions");
    relay.home(3, "/read/", { {} });
    CHECK(refusal(relay.request("/read/")) == "503 home-regions");
    relay.home(4, "/read/", { { "a" } });
    CHECK(sentTo(relay.request("/read/")) == "a1-plain");
    relay.evacuate({ { "a1" } });
    CHECK(refusal(relay.request("/read/")) == "503 evacuated");
    // An engine service: the request must not wait for weights of engines that may not run it.
    relay.listAt({ "a1" }, "engine");
    relay.home(5, "/letters/", { { "b" } });
    CHECK(refusal(relay.request("/letters/")) == "503 home-regions");
}

// Guards against a retry outside the homes, and against a status that states that the request did not run.
TEST_CASE("A retry stays in the homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "b" } });
    relay.listAt({ "a1", "b1" }, "plain");
    const auto effects = relay.request("/read/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    const auto broken
        = relay.event(ResponseEnded { .call = sent->call, .send = sent->send, .end = SendResult::Broken });
    CHECK(sentTo(broken).empty());
    REQUIRE(findEffect<RefuseCall>(broken));
    CHECK(findEffect<RefuseCall>(broken)->status == 502);
}

// Guards against a stream that goes on outside its homes.
TEST_CASE("A broken stream resumes in its homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/letters/", { { "b" }, { "c" } });
    relay.listAt({ "a1", "b1" }, "engine");
    const auto effects = relay.request("/letters/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    CHECK(sent->upstream.value == "b1-engine");
    relay.begin(*sent, true);
    relay.event(StreamProgressed { .call = sent->call, .send = sent->send, .lastEventId = "7" });
    const auto broken
        = relay.event(ResponseEnded { .call = sent->call, .send = sent->send, .end = SendResult::Broken });
    CHECK(sentTo(broken).empty());
    CHECK(findEffect<AbortResponse>(broken) == nullptr);
    CHECK(sentTo(relay.listAt({ "a1", "b1", "c1" }, "engine")) == "c1-engine");
}

// Guards against a backup outside the homes.
TEST_CASE("A backup is sent only to the homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/letters/", { { "b" }, { "c" } });
    relay.listAt({ "a1", "b1" }, "engine");
    const auto effects = relay.request("/letters/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    relay.begin(*sent, true);
    CHECK(sentTo(relay.pass({ 1500 })).empty());
    relay.listAt({ "a1", "b1", "c1" }, "engine");
    CHECK(sentTo(relay.pass({ 1500 })) == "c1-engine");
}

// Guards against a request that is taken back from a silent engine and sent outside its homes.
TEST_CASE("A request that is taken back goes to its homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/letters/", { { "b" }, { "c" } });
    relay.listAt({ "a1", "b1" }, "engine");
    REQUIRE(sentTo(relay.request("/letters/")) == "b1-engine");
    CHECK(sentTo(relay.pass({ 1200 })).empty());
    CHECK(sentTo(relay.listAt({ "a1", "b1", "c1" }, "engine")) == "c1-engine");
}

// Guards against a request that its full home turns away, and that then goes elsewhere.
TEST_CASE("A request that is turned away stays in its homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "b" } });
    relay.listAt({ "a1", "b1" }, "plain");
    const auto effects = relay.request("/read/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    CHECK(sentTo(relay.event(ResponseStarted { .call = sent->call, .send = sent->send, .status = 503, .notRun = true }))
              .empty());
    CHECK(sentTo(relay.pass({ 200 })) == "b1-plain");
}

// Guards against a queued request that a newer configuration no longer allows where it is sent, and against one that a
// newer configuration allows elsewhere although its own does not.
TEST_CASE("The homes of a newer configuration bind requests that wait", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    const std::vector<SendToUpstream> sends = relay.fill("/read/");
    const CallId waiting = relay.lastCallId();
    CHECK(findEffect<RefuseCall>(relay.home(2, "/read/", { { "b" } })) == nullptr);
    for (const SendToUpstream& send : sends) {
        const auto effects = relay.finish(send, false);
        CHECK((sentTo(effects) == "b1-plain") == (send.upstream.value == "b1-plain"));
        if (!sentTo(effects).empty())
            break;
    }
    CHECK(relay.state.requests.at(waiting).active->upstream.value == "b1-plain");
}

TEST_CASE("Wider homes of a newer configuration don't free requests that wait", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    relay.home(2, "/read/", { { "b" } });
    relay.fill("/read/");
    const CallId waiting = relay.lastCallId();
    CHECK(sentTo(relay.home(3, "/read/", {})).empty());
    CHECK(relay.state.requests.at(waiting).queued);
    CHECK(sentTo(relay.request("/read/")) == "a1-plain");
    // Homes that exclude those at arrival leave nowhere to go.
    CHECK(refusal(relay.home(4, "/read/", { { "a" } })) == "503 home-regions");
}

// Guards against queued requests that wait for a home whose last upstream left the list.
TEST_CASE("Queued requests are refused when the last upstream of their homes is gone", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "b" } });
    relay.listAt({ "a1", "b1" }, "plain");
    relay.fill("/read/");
    const CallId waiting = relay.lastCallId();
    const auto effects = relay.listAt({ "a1" }, "plain");
    REQUIRE(refusal(effects) == "503 home-regions");
    CHECK(findEffect<RefuseCall>(effects)->call == waiting);
}

// Guards against a flood at one home that blocks the requests behind it, which other upstreams could run.
TEST_CASE("A flood at one home blocks no other", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "a" } });
    relay.listAt({ "a1", "b1" }, "plain");
    relay.fill("/read/");
    for (int i = 0; i < 400; ++i)
        relay.request("/read/");
    const std::size_t queued = relay.state.services.at({ "plain" }).queue.size();
    CHECK(queued > 1);
    // Less urgent or as urgent, they go past the queue to the other home.
    std::vector<SendToUpstream> sends;
    for (int i = 0; i < 4; ++i) {
        const auto effects = relay.request("/book/");
        REQUIRE(findEffect<SendToUpstream>(effects));
        sends.push_back(*findEffect<SendToUpstream>(effects));
        CHECK(sends.back().upstream.value == "b1-plain");
    }
    // The next one waits behind the flood, and is sent when its other home has room.
    CHECK(sentTo(relay.request("/book/")).empty());
    const CallId waiting = relay.lastCallId();
    REQUIRE(relay.state.requests.at(waiting).queued);
    const auto effects = relay.finish(sends.front(), false);
    REQUIRE(findEffect<SendToUpstream>(effects));
    CHECK(findEffect<SendToUpstream>(effects)->call == waiting);
    CHECK(relay.state.services.at({ "plain" }).queue.size() == queued);
}

// Guards against a queue that one home fills for all others.
TEST_CASE("A full queue of one home leaves room for others", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "a" } });
    relay.listAt({ "a1", "b1" }, "plain");
    relay.fill("/read/");
    RelayRequest sample = relay.state.requests.at(relay.lastCallId());
    RelayServiceState& service = relay.state.services.at({ "plain" });
    for (std::uint64_t call = 100000; service.queue.size() < maxQueuedPerService; ++call) {
        sample.call = { call };
        sample.queued->call = call;
        relay.state.requests.emplace(sample.call, sample);
        service.queue[*sample.queued] = sample.call;
        ++service.queuedByRegions[sample.allowed];
    }
    CHECK(refusal(relay.request("/read/")) == "503 overload");
    CHECK(relay.fill("/book/").size() == 4);
    CHECK(relay.state.requests.at(relay.lastCallId()).queued);
}

// Guards against counts by region that drift from the queue, on which dispatches and refusals depend.
TEST_CASE("Queued requests are counted by their regions", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "a" } });
    relay.listAt({ "a1", "b1" }, "plain");
    relay.fill("/read/");
    relay.fill("/book/");
    const RelayServiceState& service = relay.state.services.at({ "plain" });
    const auto matches = [&] {
        std::map<AllowedRegions, std::size_t> counted;
        for (const auto& [key, call] : service.queue)
            ++counted[relay.state.requests.at(call).allowed];
        return counted == service.queuedByRegions && counted.size() == 2;
    };
    CHECK(matches());
    relay.home(3, "/book/", { { "b" }, { "a" } });
    CHECK(matches());
    relay.pass({ 7000 });
    CHECK(service.queue.empty());
    CHECK(service.queuedByRegions.empty());
}

// Guards against a trial of a suspected request outside its homes.
TEST_CASE("A suspected request is tried in its homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/letters/", { { "b" } });
    relay.listAt({ "a1", "b1", "c1" }, "engine");
    CrashNewsReceived news;
    news.news.crashes = { { .crash = { 7 }, .traits = { asPromptPart(42) } } };
    relay.event(news);
    const auto suspected = [&](std::uint64_t call) {
        RequestMetadata metadata { .attemptId = "suspected-" + std::to_string(call),
            .host = "desk.example",
            .target = "/letters/x",
            .key = "key",
            .timeout = { 6000 },
            .model = { "model" },
            .promptTokens = 900 };
        metadata.promptParts = { { 42 } };
        return relay.event(CallArrived { .call = { call }, .firstByteAt = relay.now, .metadata = metadata });
    };
    // Entries try at different times.
    CHECK(sentTo(suspected(1001)).empty());
    CHECK(sentTo(suspected(1002)).empty());
    std::vector<RelayEffect> trial;
    for (int i = 0; i < 100 && sentTo(trial).empty(); ++i)
        trial = relay.pass({ 20 });
    REQUIRE(sentTo(trial) == "b1-engine");
    CHECK(countEffects<SendToUpstream>(trial) == 1);
    CHECK_FALSE(logged(trial, "send", "trial_traits").empty());
    relay.evacuate({ { "a1" } });
    CHECK(sentTo(relay.event(RelayCallerDisconnected { .call = findEffect<SendToUpstream>(trial)->call }))
        == "b1-engine");
}

// Guards against a stream that leaves its homes because its engine is about to load weights.
TEST_CASE("A stream makes way for a load only within its homes", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/letters/", { { "b" } });
    relay.listAt({ "a1", "b1" }, "engine");
    const auto effects = relay.request("/letters/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    relay.begin(*sent, true);
    relay.event(StreamProgressed { .call = sent->call, .send = sent->send, .lastEventId = "7" });
    const EngineReported clearing { .address = "b1-engine:1",
        .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .running = 1 },
        .orderPending = true,
        .clearing = true };
    CHECK(sentTo(relay.report(clearing)).empty());
    UpstreamEntry another = RegionRelay::upstream("b2-engine", "engine");
    another.dataCentre = { "b1" };
    std::vector<UpstreamEntry> entries { another };
    for (const auto& [id, view] : relay.state.upstreams)
        entries.push_back(view.entry);
    relay.list(entries);
    CHECK(sentTo(relay.report(clearing)) == "b2-engine");
}

// Guards against a request that waits for weights of engines that it may not use, or is refused although its own
// engines are about to have some.
TEST_CASE("A request waits for weights in its homes only", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/letters/", { { "b" } });
    relay.listAt({ "a1", "b1" }, "engine");
    relay.state.options.weightsGracePeriod = { 0 };
    relay.event(WeightsDeclared { .model = { "model" }, .version = { 2 }, .notBefore = relay.now, .source = "store" });
    relay.report({ .address = "a1-engine:1",
        .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .busy = true } });
    CHECK(refusal(relay.request("/letters/")) == "503 no-upstream");
    relay.report({ .address = "b1-engine:1",
        .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .busy = true } });
    relay.request("/letters/");
    CHECK(relay.state.requests.at(relay.lastCallId()).queued);
}

// Guards against predictions that count upstreams or queued requests of other homes.
TEST_CASE("Predictions count only what may run the request", "[home-region]")
{
    RegionRelay relay;
    relay.home(2, "/read/", { { "a" } });
    relay.listAt({ "a1", "b1" }, "plain");
    relay.fill("/read/");
    for (int i = 0; i < 5; ++i)
        relay.request("/read/");
    RelayRequest last = relay.state.requests.at(relay.lastCallId());
    last.queued.reset();
    last.objectiveAt = last.arrivedAt; // after all others
    CHECK(predictQueueWait(relay.state, last, relay.now) > Milliseconds { 1000 });
    last.allowed = std::vector<RegionId> { { "b" } };
    CHECK(predictQueueWait(relay.state, last, relay.now) == Milliseconds { 0 });
    last.allowed.reset();
    CHECK(predictQueueWait(relay.state, last, relay.now) == Milliseconds { 0 });
    relay.evacuate({ { "b1" } });
    CHECK(predictQueueWait(relay.state, last, relay.now) > Milliseconds { 1000 });
    relay.evacuate({});

    const ServiceId plain { "plain" };
    const AllowedRegions a = std::vector<RegionId> { { "a" } };
    const AllowedRegions b = std::vector<RegionId> { { "b" } };
    relay.event(UpstreamNoticesReceived { .peer = { "other" },
        .reports = { { .process = upstreamProcessId({ "b1-plain" }, 0), .requestsPerSecond = 3.0 } } });
    CHECK_FALSE(limitedRate(relay.state, plain, std::nullopt, relay.now));
    CHECK_FALSE(limitedRate(relay.state, plain, a, relay.now));
    CHECK(limitedRate(relay.state, plain, b, relay.now) == 3.0);
    relay.state.pauses["b1-plain:1"] = { .service = plain, .until = relay.now + Milliseconds { 500 } };
    CHECK(firstPauseEnd(relay.state, plain, b, relay.now) == relay.now + Milliseconds { 500 });
    CHECK_FALSE(firstPauseEnd(relay.state, plain, a, relay.now));
}

namespace {

/// A relay with two queued requests, of the routes /read/ and /book/, which then get these homes.
struct TwoRoutes : RegionRelay {
    TwoRoutes()
    {
        this->listAt({ "a1", "b1" }, "plain");
        this->fill("/read/");
        this->read = this->lastCallId();
        this->request("/book/");
        this->book = this->lastCallId();
    }

    /// Puts a configuration in force with these names and homes of /read/ and /book/.
    void update(std::uint64_t version, const std::vector<std::pair<std::string, std::vector<RegionId>>>& routes)
    {
        auto made = config(version);
        for (RelayRoute& route : made->routes)
            for (std::size_t i = 0; i < routes.size(); ++i)
                if (route.prefix == (i == 0 ? "/read/" : "/book/")) {
                    route.name = routes[i].first;
                    route.homes = routes[i].second;
                }
        this->event(ConfigUpdated { .config = made });
    }

    CallId read; ///< request of /read/
    CallId book; ///< request of /book/
};

const AllowedRegions onlyA = std::vector<RegionId> { { "a" } };
const AllowedRegions onlyB = std::vector<RegionId> { { "b" } };

} // namespace

// Guards against homes that are lost because an update renames their route.
TEST_CASE("Homes of a renamed route bind requests that wait", "[home-region]")
{
    TwoRoutes relay;
    relay.update(2, { { "reading", { { "b" } } }, { "/book/", {} } });
    CHECK(relay.state.requests.at(relay.read).allowed == onlyB);
    CHECK_FALSE(relay.state.requests.at(relay.book).allowed);
}

// Guards against the homes of another route of the same name: a request would run nowhere, or outside its homes.
TEST_CASE("Routes of one name keep their own homes", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    const auto make = [](std::uint64_t version) {
        auto made = RelayFixture::config(version);
        for (RelayRoute& route : made->routes) {
            route.name = "route";
            if (route.prefix == "/read/")
                route.homes = { { "a" } };
            if (route.prefix == "/book/")
                route.homes = { { "b" } };
        }
        return made;
    };
    relay.event(ConfigUpdated { .config = make(2) });
    relay.fill("/read/");
    const CallId read = relay.lastCallId();
    relay.fill("/book/");
    const CallId book = relay.lastCallId();
    relay.event(ConfigUpdated { .config = make(3) });
    REQUIRE(relay.state.requests.contains(read));
    REQUIRE(relay.state.requests.contains(book));
    CHECK(relay.state.requests.at(read).allowed == onlyA);
    CHECK(relay.state.requests.at(book).allowed == onlyB);
    // Without its own route a request is not bound by another that happens to be the only one left of that name.
    auto left = make(4);
    std::erase_if(left->routes, [](const RelayRoute& route) { return route.prefix != "/read/"; });
    relay.event(ConfigUpdated { .config = left });
    REQUIRE(relay.state.requests.contains(book));
    CHECK(relay.state.requests.at(book).allowed == onlyB);
}

// Guards against homes that are lost because an update moves a route to another prefix.
TEST_CASE("A route that moves is found by its name", "[home-region]")
{
    TwoRoutes relay;
    auto moved = RelayFixture::config(2);
    for (RelayRoute& route : moved->routes)
        if (route.prefix == "/read/") {
            route.prefix = "/reading/";
            route.homes = { { "b" } };
        }
    relay.event(ConfigUpdated { .config = moved });
    CHECK(relay.state.requests.at(relay.read).allowed == onlyB);
}

// Guards against blaming homes for a service that has no upstream at all, e.g. before the first list is read.
TEST_CASE("Homes shut out nothing where no upstream is listed", "[home-region]")
{
    RegionRelay relay;
    CHECK(shutOutCause(relay.state, { "plain" }, onlyA) == ShutOut::None);
    relay.listAt({ "b1" }, "plain");
    CHECK(shutOutCause(relay.state, { "plain" }, onlyA) == ShutOut::Homes);
    CHECK(shutOutCause(relay.state, { "engine" }, onlyA) == ShutOut::None);
    relay.evacuate({ { "b1" } });
    CHECK(shutOutCause(relay.state, { "plain" }, onlyA) == ShutOut::Homes);
    CHECK(shutOutCause(relay.state, { "plain" }, onlyB) == ShutOut::Evacuation);
}

// Guards against queued requests that wait for their deadline after a reload of the settings left them without a home.
TEST_CASE("Queued requests are refused when a reload moves their home away", "[home-region]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    relay.home(2, "/read/", { { "b" } });
    relay.fill("/read/");
    relay.state.options.regions[{ "b1" }] = { "c" };
    const auto effects = relay.event(SettingsReloaded {});
    REQUIRE(refusal(effects) == "503 home-regions");
    CHECK(findEffect<RefuseCall>(effects)->call == relay.lastCallId());
}
