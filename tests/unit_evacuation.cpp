#include "region_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

const DataCentreId a1 { "a1" };
const DataCentreId b1 { "b1" };

/// A relay with one stream that lies unbegun at the engine in a1. That in b1 is listed afterwards.
struct UnbegunAtEvacuated : RegionRelay {
    UnbegunAtEvacuated()
    {
        this->listAt({ "a1" }, "engine");
        const auto effects = this->request("/letters/");
        const auto* sent = findEffect<SendToUpstream>(effects);
        REQUIRE(sent);
        this->send = *sent;
    }

    /// Reports the engine in b1, which takes no requests while it is busy.
    std::vector<RelayEffect> reportOther(bool busy)
    {
        return this->report({ .address = "b1-engine:1",
            .report = { .models = { { .model = { "model" }, .version = { 1 } } }, .busy = busy } });
    }

    /// Lists the engine in b1 as well, which takes no requests for now.
    void listBusy()
    {
        this->listAt({ "a1", "b1" }, "engine");
        this->reportOther(true);
    }

    SendToUpstream send; ///< of the request
};

} // namespace

// Guards against requests that lie in the queue of an engine that operators are about to switch off.
TEST_CASE("What an evacuated engine has not begun goes on elsewhere at once", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.listAt({ "a1", "b1" }, "engine");
    const auto effects = relay.evacuate({ a1 });
    CHECK(sentTo(effects) == "b1-engine");
    CHECK(findEffect<CancelSend>(effects)->send == relay.send.send);
    CHECK(logged(effects, "evacuation-begins", "place") == "a1");
    CHECK(logged(effects, "evacuation-begins", "known") == "true");
    CHECK(logged(effects, "evacuation-begins", "in_flight") == "1");
    CHECK(logged(effects, "evacuation-begins", "unbegun") == "1");
    CHECK(logged(effects, "retry", "reason") == "evacuated");
}

// Guards against taking back, long before it must be, what nothing else can begin.
TEST_CASE("What nothing else can begin at once stays until half of the time is up", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.listBusy();
    CHECK(findEffect<CancelSend>(relay.evacuate({ a1 })) == nullptr);
    CHECK(findEffect<CancelSend>(relay.pass({ 400 })) == nullptr);
    // It goes on elsewhere with the first tick after there is room.
    relay.reportOther(false);
    const auto effects = relay.pass({ 20 });
    REQUIRE(findEffect<CancelSend>(effects));
    CHECK(findEffect<CancelSend>(effects)->send == relay.send.send);
    CHECK(sentTo(effects) == "b1-engine");
}

// Guards against a request that stays at an evacuated data centre for as long as the others are full.
TEST_CASE("What has not begun is taken back by half of the time at the latest", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.state.options.maxEvacuationDelay = { 1000 };
    relay.listBusy();
    relay.evacuate({ a1 });
    CHECK(findEffect<CancelSend>(relay.pass({ 480 })) == nullptr);
    const auto due = relay.pass({ 20 });
    REQUIRE(findEffect<CancelSend>(due));
    CHECK(findEffect<CancelSend>(due)->send == relay.send.send);
    CHECK(relay.state.requests.at(relay.send.call).queued);
    // It waits before all others, and goes on once there is room.
    relay.request("/calls/");
    const auto freed = relay.reportOther(false);
    REQUIRE(findEffect<SendToUpstream>(freed));
    CHECK(findEffect<SendToUpstream>(freed)->call == relay.send.call);
    CHECK(findEffect<SendToUpstream>(freed)->upstream.value == "b1-engine");
}

// Guards against breaking off work that would have ended by itself.
TEST_CASE("What an evacuated upstream has begun ends there", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.listAt({ "a1", "b1" }, "engine");
    relay.begin(relay.send, true);
    CHECK(findEffect<CancelSend>(relay.evacuate({ a1 })) == nullptr);
    for (int i = 0; i < 150; ++i) {
        relay.event(StreamProgressed { .call = relay.send.call, .send = relay.send.send, .lastEventId = "1" });
        CHECK(findEffect<CancelSend>(relay.pass({ 20 })) == nullptr);
    }
    const auto end
        = relay.event(ResponseEnded { .call = relay.send.call, .send = relay.send.send, .end = SendResult::Complete });
    CHECK(findEffect<FinishResponse>(end));
}

// Guards against resuming a stream in an evacuated data centre, and against one that is refused although it may go on
// once the evacuation ends.
TEST_CASE("A broken stream resumes outside the evacuated data centre or waits for its end", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.listAt({ "a1", "a2" }, "engine");
    relay.begin(relay.send, true);
    relay.event(StreamProgressed { .call = relay.send.call, .send = relay.send.send, .lastEventId = "7" });
    relay.evacuate({ { "a2" } });
    const auto broken
        = relay.event(ResponseEnded { .call = relay.send.call, .send = relay.send.send, .end = SendResult::Broken });
    CHECK(sentTo(broken).empty());
    CHECK(findEffect<AbortResponse>(broken) == nullptr);
    const auto ended = relay.evacuate({});
    REQUIRE(findEffect<SendToUpstream>(ended));
    CHECK(findEffect<SendToUpstream>(ended)->upstream.value == "a2-engine");
    CHECK(findEffect<SendToUpstream>(ended)->resumeAfter == "7");
}

// Guards against running a request twice that may run once.
TEST_CASE("What may not be repeated stays at an evacuated data centre", "[evacuation]")
{
    RegionRelay relay;
    relay.listAt({ "a1" }, "plain");
    const auto effects = relay.request("/book/");
    REQUIRE(findEffect<SendToUpstream>(effects));
    relay.listAt({ "a1", "b1" }, "plain");
    CHECK(findEffect<CancelSend>(relay.evacuate({ a1 })) == nullptr);
    const auto later = relay.pass({ 4000 });
    CHECK(findEffect<CancelSend>(later) == nullptr);
    CHECK(findEffect<SendToUpstream>(later) == nullptr);
    CHECK(sentTo(relay.request("/book/")) == "b1-plain");
}

// Guards against a retry budget that an evacuation exceeds, and against refusing what still may be served.
TEST_CASE("An evacuation takes back no more than the retry budget allows", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.state.options.retryRatio = 0;
    relay.state.options.retryExtra = 0;
    relay.state.options.maxEvacuationDelay = { 1000 };
    relay.listAt({ "a1", "b1" }, "engine");
    CHECK(findEffect<CancelSend>(relay.evacuate({ a1 })) == nullptr);
    const auto later = relay.pass({ 800 });
    CHECK(findEffect<CancelSend>(later) == nullptr);
    CHECK(findEffect<RefuseCall>(later) == nullptr);
}

// Guards against a request that waits until its deadline for a data centre that gets nothing.
TEST_CASE("Requests that only evacuated upstreams may run are refused at once", "[evacuation]")
{
    RegionRelay relay;
    relay.listAt({ "a1" }, "plain");
    relay.fill("/read/");
    const CallId waiting = relay.lastCallId();
    REQUIRE(relay.state.requests.at(waiting).queued);
    const auto effects = relay.evacuate({ a1 });
    REQUIRE(refusal(effects) == "503 evacuated");
    CHECK(findEffect<RefuseCall>(effects)->call == waiting);
    const auto refused = relay.request("/read/");
    REQUIRE(refusal(refused) == "503 evacuated");
    const Milliseconds retryAfter = findEffect<RefuseCall>(refused)->retryAfter;
    CHECK(retryAfter > Milliseconds { 0 });
    CHECK(retryAfter <= Milliseconds { 2000 });
}

// Guards against a 503, which states that the request did not run, for one that may have run.
TEST_CASE("A request that may have run is not told that it did not when its data centre is evacuated", "[evacuation]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "a2" }, "plain");
    const auto effects = relay.request("/read/");
    const auto* sent = findEffect<SendToUpstream>(effects);
    REQUIRE(sent);
    relay.evacuate({ { "a1" }, { "a2" } });
    const auto broken
        = relay.event(ResponseEnded { .call = sent->call, .send = sent->send, .end = SendResult::Broken });
    CHECK(refusal(broken) == "502 evacuated");
    // No byte of this one was sent.
    relay.evacuate({});
    const auto second = relay.request("/book/");
    const auto* unsent = findEffect<SendToUpstream>(second);
    REQUIRE(unsent);
    relay.evacuate({ { "a1" }, { "a2" } });
    CHECK(refusal(relay.event(ResponseEnded { .call = unsent->call, .send = unsent->send, .end = SendResult::NotSent }))
        == "503 evacuated");
}

// Guards against queued requests that stay queued, or upstreams that stay unused, once an evacuation ends.
TEST_CASE("Upstreams are used again when their evacuation ends", "[evacuation]")
{
    RegionRelay relay;
    relay.listAt({ "a1", "b1" }, "plain");
    relay.evacuate({ a1 });
    relay.fill("/read/");
    const auto effects = relay.evacuate({});
    CHECK(sentTo(effects) == "a1-plain");
    CHECK(logged(effects, "evacuation-ends", "place") == "a1");
    const auto* gauge = findEffect<MetricSample>(effects);
    REQUIRE(gauge);
    CHECK(gauge->name == "evacuated_data_centres");
    CHECK(gauge->value == 0);
}

// Guards against an evacuation that is ignored because its name is not known, e.g. of a data centre that is new.
TEST_CASE("An unknown data centre is evacuated as well, and logged", "[evacuation]")
{
    RegionRelay relay;
    CHECK(logged(relay.evacuate({ { "z9" } }), "evacuation-begins", "known") == "false");
    relay.listAt({ "z9", "b1" }, "plain");
    CHECK(sentTo(relay.request("/read/")) == "b1-plain");
    // Known evacuations are not logged again.
    CHECK(logged(relay.evacuate({ { "z9" }, b1 }), "evacuation-begins", "place") == "b1");
}

// Guards against a backup that is sent to an evacuated data centre, or lies there unbegun.
TEST_CASE("A backup is neither sent to an evacuated data centre nor left there unbegun", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.begin(relay.send, true);
    relay.listAt({ "a1", "b1", "c1" }, "engine");
    relay.evacuate({ b1 });
    std::string backup;
    for (int i = 0; i < 150 && backup.empty(); ++i)
        backup = sentTo(relay.pass({ 20 }));
    REQUIRE(backup == "c1-engine");
    const auto effects = relay.evacuate({ { "c1" } });
    REQUIRE(findEffect<CancelSend>(effects));
    CHECK_FALSE(relay.state.requests.at(relay.send.call).backup);
    CHECK(relay.state.requests.at(relay.send.call).active->send == relay.send.send);
}

// Guards against a queue in which less urgent requests leave an evacuated data centre first and take all room.
TEST_CASE("Urgent requests leave an evacuated data centre first", "[evacuation]")
{
    RegionRelay relay;
    relay.listAt({ "a1" }, "engine");
    relay.request("/digests/");
    relay.request("/calls/");
    const CallId urgent = relay.lastCallId();
    relay.listAt({ "a1", "b1" }, "engine");
    const auto effects = relay.evacuate({ a1 });
    REQUIRE(findEffect<SendToUpstream>(effects));
    CHECK(findEffect<SendToUpstream>(effects)->call == urgent);
    CHECK(countEffects<SendToUpstream>(effects) == 2);
}

namespace {

/// A relay whose upstreams in a1 and b1 are full and for which a request waits.
struct ResumedRelay : RegionRelay {
    explicit ResumedRelay(bool evacuationsConfigured)
    {
        this->state.options.evacuationsConfigured = evacuationsConfigured;
        this->listAt({ "a1", "b1" }, "plain");
        this->sends = this->fill("/read/");
    }

    void standStill() { this->now += Milliseconds { 3000 }; }

    /// Completes a send to a data centre.
    std::vector<RelayEffect> finishAt(const std::string& dataCentre)
    {
        const auto found = std::find_if(this->sends.begin(), this->sends.end(),
            [&](const SendToUpstream& send) { return send.upstream.value == dataCentre + "-plain"; });
        REQUIRE(found != this->sends.end());
        const SendToUpstream send = *found;
        this->sends.erase(found);
        return this->finish(send, false);
    }

    std::vector<SendToUpstream> sends;
};

} // namespace

// Guards against an entry that stood still while operators evacuated a data centre, and sends there by its old copy of
// the table before it reads the new one.
TEST_CASE("After a standstill nothing is sent until the operators' table is confirmed", "[evacuation]")
{
    ResumedRelay relay(true);
    relay.standStill();
    CHECK(sentTo(relay.finishAt("a1")).empty());
    CHECK(sentTo(relay.request("/read/")).empty());
    CHECK(sentTo(relay.pass({ 300 })).empty());
    // An answer that was on its way before the standstill confirms nothing.
    CHECK(sentTo(relay.event(ConfigConfirmed { .asOf = relay.now - Milliseconds { 2000 } })).empty());
    CHECK(sentTo(relay.evacuate({ a1 })).empty());
    CHECK(sentTo(relay.finishAt("b1")).empty());
    CHECK(sentTo(relay.event(ConfigConfirmed { .asOf = relay.now })) == "b1-plain");
    CHECK(sentTo(relay.pass({ 2000 })).empty());
}

// Guards against an entry that waits for a confirmation although neither the store nor a peer answers.
TEST_CASE("After a standstill an entry that reaches nobody sends by its last copy", "[evacuation]")
{
    ResumedRelay relay(true);
    relay.standStill();
    CHECK(sentTo(relay.finishAt("a1")).empty());
    CHECK(sentTo(relay.pass({ 1480 })).empty());
    // An upstream that was silent for long gets nothing.
    CHECK(sentTo(relay.finishAt("a1")).empty());
    CHECK(sentTo(relay.pass({ 40 })) == "a1-plain");
}

// Guards against a delay in deployments whose operators restrict nothing.
TEST_CASE("A standstill holds back no sends without evacuations and homes", "[evacuation]")
{
    ResumedRelay relay(false);
    relay.standStill();
    CHECK(sentTo(relay.finishAt("a1")) == "a1-plain");
}

// Guards against sending outside homes that operators narrowed while the entry stood still.
TEST_CASE("After a standstill narrowed homes bind before the first send", "[evacuation][home-region]")
{
    ResumedRelay relay(false);
    relay.home(2, "/read/", { { "a" }, { "b" } });
    relay.standStill();
    CHECK(sentTo(relay.finishAt("a1")).empty());
}

// Guards against a refusal of what the evacuated engine would have served, because nothing else may run it.
TEST_CASE("What only an evacuated engine may run stays there", "[evacuation]")
{
    UnbegunAtEvacuated relay;
    relay.evacuate({ a1 });
    const auto effects = relay.pass({ 4000 });
    CHECK(findEffect<CancelSend>(effects) == nullptr);
    CHECK(findEffect<RefuseCall>(effects) == nullptr);
    CHECK(relay.state.requests.contains(relay.send.call));
}
