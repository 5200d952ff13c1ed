#include "request_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hickory;

namespace {

/// @return a request that is the same whenever it is sent, so that the crashes it causes are attributed to it
RequestArrived poisonRequest(RequestFixture& fixture)
{
    RequestArrived call = fixture.call();
    call.requestDigest = { "poison" };
    return call;
}

/// Loses the connection to an agent and ends its attempts as Unknown, as the I/O layer does.
EntryEffects disconnectAgent(
    RequestFixture& fixture, const HostId& host, const std::vector<DispatchAttempt>& dispatches)
{
    EntryEffects effects = fixture.run(AgentDisconnected { .host = host, .reason = "lost" });
    for (const DispatchAttempt& dispatched : dispatches)
        if (dispatched.host == host) {
            const EntryEffects more = fixture.run(fixture.ended(dispatched, DispatchResultKind::Unknown));
            effects.insert(effects.end(), more.begin(), more.end());
        }
    return effects;
}

} // namespace

// Guards against a request that crashes one upstream after another.
TEST_CASE("A request that crashed two upstreams is refused until its quarantine ends")
{
    RequestFixture fixture(4);
    fixture.start();
    std::set<std::string> crashed;
    EntryEffects effects = fixture.run(poisonRequest(fixture));
    for (int round = 0; round < 100; ++round) {
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(effects)) {
            CHECK(dispatch.call.suspect == !crashed.empty());
            CHECK(crashed.insert(dispatch.host.value).second);
            fixture.run(fixture.ended(dispatch, DispatchResultKind::Crashed));
        }
        // The caller sends the request again as soon as it is refused.
        effects
            = requestsInProgress(fixture.state) == 0 ? fixture.run(poisonRequest(fixture)) : fixture.advance({ 50 });
    }
    CHECK(crashed.size() == 2);
    const EntryEffects refused = fixture.run(poisonRequest(fixture));
    REQUIRE(all<FailRequest>(refused).size() == 1);
    CHECK(all<FailRequest>(refused)[0].reason == "quarantined");
    CHECK(all<FailRequest>(refused)[0].outcome == Outcome::NotRun);
    CHECK(all<DispatchAttempt>(fixture.run(fixture.call())).size() == 1);
    fixture.advance({ 601000 });
    CHECK(all<DispatchAttempt>(fixture.run(poisonRequest(fixture))).size() == 1);
}

// Guards against losing requests that were in flight during a crash but did not cause it, and against two suspects on
// one replica.
TEST_CASE("Requests in flight during a crash are retried, each as the only suspect on its replica, and finish")
{
    RequestFixture fixture(3);
    fixture.start();
    std::vector<DispatchAttempt> dispatches;
    for (int number = 0; number < 6; ++number)
        for (const auto& dispatch : all<DispatchAttempt>(fixture.run(fixture.call())))
            dispatches.push_back(dispatch);
    REQUIRE(dispatches.size() == 6);
    const HostId lostHost = dispatches[0].host;
    disconnectAgent(fixture, lostHost, dispatches);
    std::erase_if(dispatches, [&](const DispatchAttempt& dispatched) { return dispatched.host != lostHost; });
    const std::size_t suspectCount = dispatches.size();
    std::vector<DispatchAttempt> running;
    std::size_t finished = 0;
    for (int round = 0; round < 100 && finished < suspectCount; ++round) {
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(fixture.advance({ 50 }))) {
            CHECK(dispatch.call.suspect);
            running.push_back(dispatch);
        }
        std::set<std::string> hosts;
        for (const DispatchAttempt& dispatch : running)
            CHECK(hosts.insert(dispatch.host.value).second);
        for (const DispatchAttempt& dispatch : std::exchange(running, {}))
            for (const auto& effect : fixture.run(fixture.ended(dispatch, DispatchResultKind::Completed, 1))) {
                finished += std::holds_alternative<FinishRequest>(effect) ? 1 : 0;
                if (const auto* next = std::get_if<DispatchAttempt>(&effect))
                    running.push_back(*next);
            }
    }
    CHECK(finished == suspectCount);
    for (const Suspicion& suspicion : localSuspicions(fixture.state))
        CHECK(suspicion.crashes == 0);
}

// Guards against suspecting a request that the lost agent never received.
TEST_CASE("A request that did not reach the lost agent is not suspect")
{
    RequestFixture fixture(2);
    fixture.start();
    const DispatchAttempt dispatch = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    fixture.run(AgentDisconnected { .host = dispatch.host, .reason = "lost" });
    fixture.run(fixture.ended(dispatch, DispatchResultKind::NotRun));
    CHECK(localSuspicions(fixture.state).empty());
    const auto again = all<DispatchAttempt>(fixture.advance({ 200 }));
    REQUIRE(again.size() == 1);
    CHECK_FALSE(again[0].call.suspect);
}

// Guards against treating a crash suspect as a new request when it is sent again through another entry.
TEST_CASE("Suspicions of other entries are merged without being counted twice")
{
    RequestFixture first(3);
    RequestFixture second(3);
    first.start();
    second.start();
    const DispatchAttempt dispatch = all<DispatchAttempt>(first.run(poisonRequest(first)))[0];
    first.run(first.ended(dispatch, DispatchResultKind::Crashed));
    const std::vector<Suspicion> suspicions = localSuspicions(first.state);
    REQUIRE(suspicions.size() == 1);
    EntryEffects effects;
    applySuspicions(second.state, suspicions, effects);
    applySuspicions(second.state, suspicions, effects);
    const DispatchAttempt secondDispatch = all<DispatchAttempt>(second.run(poisonRequest(second)))[0];
    CHECK(secondDispatch.call.suspect);
    second.run(second.ended(secondDispatch, DispatchResultKind::Crashed));
    CHECK(all<FailRequest>(second.run(poisonRequest(second))).size() == 1);
    applySuspicions(first.state, localSuspicions(second.state), effects);
    first.now += Milliseconds { 1000 };
    const EntryEffects refused = first.run(poisonRequest(first));
    REQUIRE(all<FailRequest>(refused).size() == 1);
    CHECK(all<FailRequest>(refused)[0].reason == "quarantined");
}

// Guards against the loss of a data centre making suspects of all its requests, which would then run one at a time.
TEST_CASE("Requests of agents that are lost together with their data centre are not suspect")
{
    RequestFixture fixture(8);
    for (std::size_t replica = 0; replica < 4; ++replica)
        fixture.statuses[replica].dataCentre = { "b" };
    for (std::size_t replica = 0; replica < 4; ++replica)
        fixture.statuses[replica + 4].ready = replica == 0;
    fixture.state.settings.process.dataCentre = { "b" };
    fixture.start();
    std::vector<DispatchAttempt> dispatches;
    for (int number = 0; number < 24; ++number)
        for (const auto& dispatch : all<DispatchAttempt>(fixture.run(fixture.call())))
            dispatches.push_back(dispatch);
    for (const char* host : { "r0", "r1", "r2", "r3" })
        disconnectAgent(fixture, { host }, dispatches);
    for (const Suspicion& suspicion : localSuspicions(fixture.state))
        CHECK(suspicion.crashes == 0);
    for (const DispatchAttempt& dispatch : all<DispatchAttempt>(fixture.advance({ 500 })))
        CHECK_FALSE(dispatch.call.suspect);
}

// Guards against a stream that continues with the output of another model version, and against aborting one that could
// be resumed.
TEST_CASE("An interrupted stream resumes after the delivered parts on the same version, or is aborted")
{
    RequestFixture fixture(2);
    const std::string version = GENERATE("v1", "v2");
    fixture.statuses[1].version = { version };
    fixture.statuses[1].dataCentre = { "b" };
    fixture.start();
    const DispatchAttempt first = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    REQUIRE(first.host.value == "r0");
    fixture.run(FirstPart { first.call.key.request, first.call.key.attempt, first.host });
    fixture.run(AgentDisconnected { .host = first.host, .reason = "lost" });
    fixture.run(fixture.ended(first, DispatchResultKind::Unknown, 7));
    if (version == "v1") {
        const EntryEffects effects = fixture.advance({ 5000 });
        CHECK(all<FailRequest>(effects).empty());
        REQUIRE(all<DispatchAttempt>(effects).size() == 1);
        CHECK(all<DispatchAttempt>(effects)[0].call.resumeFrom == 7);
        CHECK(all<DispatchAttempt>(effects)[0].call.version.value == "v1");
        return;
    }
    // The other agent had the version when it was last heard.
    AgentStatus returned = fixture.statuses[0];
    ++returned.sequence;
    SECTION("while the agent of the version is not connected")
    {
        const EntryEffects waiting = fixture.advance({ 20000 });
        CHECK(all<FailRequest>(waiting).empty());
        CHECK(all<AbortRequest>(waiting).empty());
        CHECK(all<DispatchAttempt>(waiting).empty());
        EntryEffects effects = fixture.run(AgentConnected { .host = first.host, .status = returned });
        for (const EntryEffect& effect : fixture.advance({ 2000 }))
            effects.push_back(effect);
        REQUIRE(all<DispatchAttempt>(effects).size() == 1);
        CHECK(all<DispatchAttempt>(effects)[0].call.resumeFrom == 7);
    }
    SECTION("until its deadline")
    {
        const EntryEffects waiting = fixture.advance({ 59000 });
        CHECK(all<FailRequest>(waiting).empty());
        CHECK(all<AbortRequest>(waiting).empty());
        CHECK(all<AbortRequest>(fixture.advance({ 1100 })).size() == 1);
    }
    SECTION("once no agent has the version")
    {
        returned.version = { version };
        fixture.run(AgentConnected { .host = first.host, .status = returned });
        const EntryEffects effects = fixture.advance({ 5000 });
        CHECK(all<FailRequest>(effects).empty());
        CHECK(all<DispatchAttempt>(effects).empty());
        CHECK(all<AbortRequest>(effects).size() == 1);
    }
}
