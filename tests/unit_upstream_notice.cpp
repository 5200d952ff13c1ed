#include "peer_codec_func.h"
#include "platform_wire_func.h"
#include "relay_fixture.h"
#include "upstream_notice_func.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace hickory;

namespace {

/// Several relays before one plain upstream "p1" that names a limit. Each gets more requests than it may send.
struct LimitedFleet {
    LimitedFleet(std::uint32_t relayCount, double requestsPerSecond)
        : limit(requestsPerSecond)
    {
        for (std::uint32_t position = 0; position < relayCount; ++position) {
            this->relays.emplace_back(RelayOptions { .seed = position + 1 });
            RelayFixture& relay = this->relays.back();
            relay.event(EntryCountUpdated { .entryCount = relayCount, .position = position });
            UpstreamEntry upstream = RelayFixture::upstream("p1", "plain");
            upstream.slots = 1000;
            relay.list({ upstream });
            this->tell(relay, requestsPerSecond);
        }
    }

    /// Delivers what another entry heard.
    void tell(RelayFixture& relay, std::optional<double> requestsPerSecond, Milliseconds age = {})
    {
        relay.event(UpstreamNoticesReceived { .peer = { "other" },
            .reports
            = { { .process = upstreamProcessId({ "p1" }, 0), .requestsPerSecond = requestsPerSecond, .age = age } } });
    }

    /// Plays some time in which each relay gets a request every 20 ms and the upstream answers at once.
    void play(Milliseconds time)
    {
        constexpr Milliseconds step { 20 };
        for (Milliseconds passed; passed < time; passed += step)
            for (RelayFixture& relay : this->relays) {
                relay.now += step;
                relay.confirmConfig();
                this->answerAll(relay, relay.request("/read/"));
                this->answerAll(relay, relay.event(RelayTick {}));
            }
    }

    /// Answers the requests that effects send, and those that are sent for it.
    void answerAll(RelayFixture& relay, const std::vector<RelayEffect>& effects)
    {
        for (const RelayEffect& effect : effects)
            if (const auto* send = std::get_if<SendToUpstream>(&effect)) {
                this->sends.push_back(relay.now);
                relay.event(ResponseStarted { .call = send->call,
                    .send = send->send,
                    .status = 200,
                    .sealed = true,
                    .notice = { .requestsPerSecond = this->limit } });
                this->answerAll(relay, relay.event(ResponseEnded { .call = send->call, .send = send->send }));
            }
    }

    /// @return most sends of all relays within 4 s
    std::size_t mostSends() const
    {
        constexpr Milliseconds window { 4000 };
        std::size_t most = 0;
        for (const Milliseconds first : this->sends)
            most = std::max(most,
                static_cast<std::size_t>(std::count_if(this->sends.begin(), this->sends.end(),
                    [&](Milliseconds at) { return at >= first && at < first + window; })));
        return most;
    }

    std::optional<double> limit; ///< that the upstream names
    std::vector<RelayFixture> relays;
    std::vector<Milliseconds> sends;
};

/// Lets upstream "p1" answer a request with 503 and a pause.
std::vector<RelayEffect> askForPause(RelayFixture& relay, const SendToUpstream& send, Milliseconds pause)
{
    return relay.event(ResponseStarted {
        .call = send.call, .send = send.send, .status = 503, .notRun = true, .notice = { .pause = pause } });
}

/// @return a relay whose only upstream, "p1", has just asked for a pause
RelayFixture pausedRelay(Milliseconds pause)
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const auto sent = relay.request("/book/");
    askForPause(relay, *findEffect<SendToUpstream>(sent), pause);
    relay.event(RelayCallerDisconnected { .call = relay.lastCallId() });
    return relay;
}

WireHead answerHead(const std::vector<WireHeader>& headers) { return { .status = 200, .headers = headers }; }

} // namespace

// Guards against entries that each send what an upstream takes from all of them together.
TEST_CASE("All entries together keep to the limit that an upstream named", "[relay][notice]")
{
    const std::uint32_t entries = GENERATE(1U, 4U, 17U, 60U);
    const double limit = GENERATE(0.5, 2.0, 6.0, 40.0);
    LimitedFleet fleet(entries, limit);
    fleet.play({ 12000 });
    CAPTURE(entries, limit);
    CHECK(static_cast<double>(fleet.mostSends()) <= 1.5 * limit * 4 + 5);
    CHECK(static_cast<double>(fleet.sends.size()) >= limit * 12 * 0.8 - 2);
}

// Guards against an upstream that stays limited after its limit has ended, and against old news that end it.
// Load pattern: 40 entries before an upstream whose limit five of them share, and entries are restarted. Which five
// follows from their number and order. Guards against entries that take the time in which they had no share for a
// share.
TEST_CASE("A limit holds while entries are restarted", "[relay][notice]")
{
    constexpr std::uint32_t entries = 40;
    constexpr double limit = 2.8;
    LimitedFleet fleet(entries, limit);
    fleet.play({ 6000 });
    fleet.sends.clear();
    const auto count = [&](std::uint32_t live, std::uint32_t missing) {
        // They notice it one after the other.
        for (std::uint32_t index = 0; index < entries; ++index) {
            if (index % 10 == 0)
                fleet.play({ 200 });
            fleet.relays[index].event(EntryCountUpdated {
                .entryCount = live, .position = index - (live < entries && index > missing ? 1U : 0U) });
        }
    };
    for (const std::uint32_t restarted : { 3U, 17U, 31U }) {
        count(entries - 1, restarted);
        fleet.play({ 1000 });
        count(entries, restarted);
        fleet.play({ 1000 });
    }
    // Twice what the upstream named.
    CHECK(static_cast<double>(fleet.mostSends()) <= 2 * limit * 4);
}

TEST_CASE("What an upstream said last counts", "[relay][notice]")
{
    LimitedFleet fleet(1, 2.0);
    RelayFixture& relay = fleet.relays.front();
    fleet.play({ 2000 });
    const RelayUpstream& view = relay.state.upstreams.at({ "p1" });
    fleet.tell(relay, std::nullopt, { 5000 });
    REQUIRE(findStanding(relay.state, view));
    CHECK(findStanding(relay.state, view)->requestsPerSecond == 2.0);
    fleet.limit.reset();
    fleet.play({ 1000 });
    CHECK_FALSE(findStanding(relay.state, view)->requestsPerSecond);
    fleet.tell(relay, 2.0, { 5000 });
    CHECK_FALSE(findStanding(relay.state, view)->requestsPerSecond);
}

// Guards against a limit that outlives the process that named it.
TEST_CASE("A process that was started again has no limit until it names one", "[relay][notice]")
{
    LimitedFleet fleet(1, 2.0);
    RelayFixture& relay = fleet.relays.front();
    UpstreamEntry started = RelayFixture::upstream("p1", "plain");
    started.processStartedAt = 5;
    relay.list({ started });
    for (int count = 0; count < 3; ++count)
        CHECK(findEffect<SendToUpstream>(relay.request("/read/")));
}

// Guards against requests that are held to their deadline because no upstream has an allowance left.
TEST_CASE("Requests beyond the limits of all upstreams are refused at once", "[relay][notice]")
{
    LimitedFleet fleet(1, 0.5);
    RelayFixture& relay = fleet.relays.front();
    std::size_t refused = 0;
    for (int count = 0; count < 20; ++count) {
        const auto effects = relay.request("/read/");
        if (const auto* refusal = findEffect<RefuseCall>(effects)) {
            ++refused;
            CHECK(refusal->status == 503);
            CHECK(refusal->retryAfter.value > 0);
        }
    }
    CHECK(refused >= 17);
}

// Guards against a malformed answer that stops or lifts a limit.
TEST_CASE("A limit is a plain decimal number", "[platform][notice]")
{
    const auto limitOf = [](const std::string& text) {
        return platform::decodeResponseHead(answerHead({ { "Server-Limit", text } })).notice.requestsPerSecond;
    };
    CHECK(limitOf("2") == 2.0);
    CHECK(limitOf("0.25") == 0.25);
    CHECK(limitOf("0") == 0.0);
    for (const char* text : { "", "-1", "nan", "inf", "1e400", "2 requests", "0x10", "two" })
        CHECK_FALSE(limitOf(text));
    CHECK_FALSE(platform::decodeResponseHead(answerHead({})).notice.requestsPerSecond);
}

// Guards against requests for an upstream whose leaving the store does not show.
TEST_CASE("An upstream that said that it leaves gets no more requests", "[relay][notice]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const bool fromPeer = GENERATE(false, true);
    const auto sent = relay.request("/read/");
    const auto* send = findEffect<SendToUpstream>(sent);
    REQUIRE(send);
    if (fromPeer)
        relay.event(UpstreamNoticesReceived {
            .peer = { "other" }, .reports = { { .process = upstreamProcessId({ "p1" }, 0), .leaving = true } } });
    relay.event(ResponseStarted {
        .call = send->call, .send = send->send, .status = 200, .sealed = true, .notice = { .leaving = !fromPeer } });
    relay.event(ResponseEnded { .call = send->call, .send = send->send });
    const auto effects = relay.request("/read/");
    CHECK_FALSE(findEffect<SendToUpstream>(effects));
    REQUIRE(findEffect<RefuseCall>(effects));
    CHECK(findEffect<RefuseCall>(effects)->status == 503);
    relay.list({});
    relay.list({ RelayFixture::upstream("p1", "plain") });
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/read/")));
    UpstreamEntry started = RelayFixture::upstream("p1", "plain");
    started.processStartedAt = 5;
    relay.list({ started });
    CHECK(findEffect<SendToUpstream>(relay.request("/read/")));
}

// Guards against requests for an upstream that asked for a pause, and against callers held until it ends.
TEST_CASE("An upstream that asked for a pause gets no requests until it ends", "[relay][notice]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const Milliseconds pause = GENERATE(Milliseconds { 300 }, Milliseconds { 30000 });
    const auto sent = relay.request("/book/");
    const auto* send = findEffect<SendToUpstream>(sent);
    REQUIRE(send);
    relay.event(ResponseStarted {
        .call = send->call, .send = send->send, .status = 503, .notRun = true, .notice = { .pause = pause } });
    const auto effects = relay.request("/read/");
    CHECK_FALSE(findEffect<SendToUpstream>(effects));
    const auto* refusal = findEffect<RefuseCall>(effects);
    CHECK((refusal != nullptr) == (pause.value > 6000));
    if (refusal)
        CHECK(refusal->retryAfter.value > 0);
    relay.now += pause - Milliseconds { 1 };
    relay.confirmConfig();
    CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    relay.now += Milliseconds { 100 };
    CHECK(findEffect<SendToUpstream>(relay.request("/read/")));
}

// Guards against requests to a resting upstream that the list names anew: its process's start, or its id, is listed
// late.
TEST_CASE("A pause holds although the list names the process that asked for it later", "[relay][notice]")
{
    RelayFixture relay = pausedRelay({ 3000 });
    UpstreamEntry renamed = RelayFixture::upstream("p1", "plain");
    if (GENERATE(false, true))
        renamed.id = { "p2" };
    else
        renamed.processStartedAt = 5;
    relay.list({ renamed });
    relay.now += Milliseconds { 1000 };
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/read/")));
    relay.now += Milliseconds { 2100 };
    relay.confirmConfig();
    CHECK(findEffect<SendToUpstream>(relay.event(RelayTick {})));
}

// Guards against a pause that ends with the record of the upstream, or that later answers shorten.
TEST_CASE("A pause outlasts a lease and later answers", "[relay][notice]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const auto first = relay.request("/book/");
    const auto second = relay.request("/book/");
    askForPause(relay, *findEffect<SendToUpstream>(first), { 3000 });
    askForPause(relay, *findEffect<SendToUpstream>(second), { 300 });
    relay.list({});
    relay.list({ RelayFixture::upstream("p1", "plain") });
    relay.now += Milliseconds { 2900 };
    relay.confirmConfig();
    relay.event(RelayTick {});
    CHECK_FALSE(findEffect<SendToUpstream>(relay.request("/read/")));
}

// Guards against requests that arrive before the end of a pause because times were rounded down.
TEST_CASE("A pause is not shortened by rounding", "[relay][platform][notice]")
{
    const auto pauseOf = [](const std::string& text) {
        return platform::decodeResponseHead({ .status = 503, .headers = { { "Retry-After", text } } }).notice.pause;
    };
    CHECK(pauseOf("0.2501") == Milliseconds { 251 });
    CHECK(pauseOf("0.0004") == Milliseconds { 1 });
    CHECK(pauseOf("0") == Milliseconds {});
    CHECK(pauseOf("0.3") == Milliseconds { 300 });
    RelayFixture relay = pausedRelay({ 300 });
    relay.request("/read/");
    // The clock counts whole milliseconds: the answer came up to one later than it says.
    relay.now += Milliseconds { 300 };
    CHECK_FALSE(findEffect<SendToUpstream>(relay.event(RelayTick {})));
    relay.now += Milliseconds { 1 };
    CHECK(findEffect<SendToUpstream>(relay.event(RelayTick {})));
}

// Guards against a burst of repeats at an upstream that asks for the next pause as soon as one has ended.
TEST_CASE("After a pause one request shows whether the upstream takes more", "[relay][notice]")
{
    RelayFixture relay = pausedRelay({ 300 });
    relay.now += Milliseconds { 400 };
    std::vector<SendToUpstream> sends;
    for (int count = 0; count < 4; ++count)
        if (const auto effects = relay.request("/read/"); const auto* send = findEffect<SendToUpstream>(effects))
            sends.push_back(*send);
    REQUIRE(sends.size() == 1);
    SECTION("it asks for another pause")
    {
        CHECK_FALSE(findEffect<SendToUpstream>(askForPause(relay, sends.front(), { 300 })));
        relay.now += Milliseconds { 400 };
        CHECK(countEffects<SendToUpstream>(relay.event(RelayTick {})) == 1);
    }
    SECTION("it answers")
    {
        const auto effects = relay.event(
            ResponseStarted { .call = sends.front().call, .send = sends.front().send, .status = 200, .sealed = true });
        CHECK(countEffects<SendToUpstream>(effects) + countEffects<SendToUpstream>(relay.event(RelayTick {})) == 3);
    }
}

// Guards against a trial that ends with an answer to a request from before the pause.
TEST_CASE("What was sent before a pause does not show that it is over", "[relay][notice]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const auto first = relay.request("/book/");
    const auto second = relay.request("/read/");
    askForPause(relay, *findEffect<SendToUpstream>(first), { 300 });
    relay.now += Milliseconds { 100 };
    const auto* begun = findEffect<SendToUpstream>(second);
    relay.event(ResponseStarted { .call = begun->call, .send = begun->send, .status = 200, .sealed = true });
    relay.event(ResponseEnded { .call = begun->call, .send = begun->send });
    relay.request("/read/");
    relay.now += Milliseconds { 250 };
    CHECK(countEffects<SendToUpstream>(relay.event(RelayTick {})) == 1);
}

// Guards against callers that are held for a pause that leaves no time to serve them.
TEST_CASE("A request waits for the end of a pause only if it can be served in time", "[relay][notice]")
{
    const Milliseconds pause = GENERATE(Milliseconds { 1000 }, Milliseconds { 3500 }, Milliseconds { 5970 });
    RelayFixture relay = pausedRelay(pause);
    const auto effects = relay.request("/read/");
    const auto* refusal = findEffect<RefuseCall>(effects);
    CHECK((refusal != nullptr) == (pause > Milliseconds { 3000 }));
    if (refusal)
        CHECK(refusal->status == 503);
}

// Guards against a request that is held although the only upstream that could take it pauses for longer.
TEST_CASE("A request that was turned away does not wait for a pause that outlasts it", "[relay][notice]")
{
    RelayFixture relay;
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const auto sent = relay.request("/read/");
    const auto effects = askForPause(relay, *findEffect<SendToUpstream>(sent), { 5970 });
    CHECK(findEffect<RefuseCall>(effects));
}

// Guards against callers that are told to return while every upstream still pauses.
TEST_CASE("Callers are told to return after a pause if they have the time", "[relay][notice]")
{
    RelayFixture relay;
    auto config = RelayFixture::config(2);
    for (RelayRoute& route : config->routes)
        route.patience = { 1000 };
    relay.event(ConfigUpdated { .config = config });
    relay.list({ RelayFixture::upstream("p1", "plain") });
    const auto sent = relay.request("/book/");
    askForPause(relay, *findEffect<SendToUpstream>(sent), { 1500 });
    for (int count = 0; count < 20; ++count) {
        const auto effects = relay.request("/read/");
        const auto* refusal = findEffect<RefuseCall>(effects);
        REQUIRE(refusal);
        CHECK(refusal->retryAfter >= Milliseconds { 1500 });
        CHECK(refusal->retryAfter <= Milliseconds { 2000 });
    }
}

// Guards against a pause in a field that means something else, or that cannot be read.
TEST_CASE("A pause is a number of seconds in an answer with status 503", "[platform][notice]")
{
    const auto pauseOf = [](std::uint16_t status, const std::string& text) {
        return platform::decodeResponseHead({ .status = status, .headers = { { "Retry-After", text } } }).notice.pause;
    };
    CHECK(pauseOf(503, "3") == Milliseconds { 3000 });
    CHECK(pauseOf(503, "0.25") == Milliseconds { 250 });
    CHECK(pauseOf(429, "3") == Milliseconds {});
    CHECK(pauseOf(503, "Fri, 31 Dec 1999 23:59:59 GMT") == Milliseconds {});
    CHECK(pauseOf(503, "-3") == Milliseconds {});
    CHECK(pauseOf(503, "1e400") == Milliseconds {});
}

// Guards against a field that says that an upstream does not leave.
TEST_CASE("An upstream leaves if it says 1", "[platform][notice]")
{
    const auto isLeaving = [](const std::string& text) {
        return platform::decodeResponseHead(answerHead({ { "Server-Leaving", text } })).notice.leaving;
    };
    CHECK(isLeaving("1"));
    CHECK_FALSE(isLeaving("0"));
    CHECK_FALSE(isLeaving(""));
}

// Guards against entries that learn a limit only from their own requests.
TEST_CASE("A beacon carries what upstreams said of themselves", "[peer][notice]")
{
    PeerBeacon beacon { .from = { .host = { "entry" } } };
    beacon.notices = { { .process = { 7 }, .requestsPerSecond = 2.5, .age = { 40 }, .leaving = true },
        { .process = { 8 }, .age = { 3 } } };
    const auto decoded = decodeBeacon(encodeBeacon(beacon));
    REQUIRE(decoded);
    CHECK(decoded.value().notices == beacon.notices);
}
