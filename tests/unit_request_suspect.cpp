#include "request_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace hickory;

namespace {

RequestArrived poison(RequestFixture& fixture)
{
    RequestArrived call = fixture.call();
    call.bodyDigest = { "poison" };
    return call;
}

/// Loses an agent and ends its attempts as the I/O layer does.
EntryEffects loseAgent(RequestFixture& fixture, const HostId& host, const std::vector<DispatchAttempt>& flights)
{
    EntryEffects effects = fixture.run(AgentDisconnected { .host = host, .reason = "lost" });
    for (const DispatchAttempt& flight : flights)
        if (flight.host == host) {
            const EntryEffects more = fixture.run(fixture.ended(flight, DispatchResultKind::Unknown));
            effects.insert(effects.end(), more.begin(), more.end());
        }
    return effects;
}

} // namespace

// Guards against a request that crashes every upstream it is given to.
TEST_CASE("A request that crashed two upstreams is refused until its quarantine ends")
{
    RequestFixture fixture(4);
    fixture.start();
    std::set<std::string> crashed;
    EntryEffects effects = fixture.run(poison(fixture));
    for (int round = 0; round < 100; ++round) {
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(effects)) {
            CHECK(dispatch.call.suspect == !crashed.empty());
            CHECK(crashed.insert(dispatch.host.value).second);
            fixture.run(fixture.ended(dispatch, DispatchResultKind::Crashed));
        }
        // Its caller sends it again as soon as it was refused.
        effects = requestsInProgress(fixture.state) == 0 ? fixture.run(poison(fixture)) : fixture.advance({ 50 });
    }
    CHECK(crashed.size() == 2);
    const EntryEffects refused = fixture.run(poison(fixture));
    REQUIRE(all<RefuseRequest>(refused).size() == 1);
    CHECK(all<RefuseRequest>(refused)[0].reason == "quarantined");
    CHECK(all<RefuseRequest>(refused)[0].outcome == Outcome::NotRun);
    CHECK(all<DispatchAttempt>(fixture.run(fixture.call())).size() == 1);
    fixture.advance({ 601000 });
    CHECK(all<DispatchAttempt>(fixture.run(poison(fixture))).size() == 1);
}

// Guards against innocent requests of the same crash being lost, and against two suspects on one replica.
TEST_CASE("Requests of a crash run again, each as the only suspect on its replica, and finish")
{
    RequestFixture fixture(3);
    fixture.start();
    std::vector<DispatchAttempt> flights;
    for (int number = 0; number < 6; ++number)
        for (const auto& dispatch : all<DispatchAttempt>(fixture.run(fixture.call())))
            flights.push_back(dispatch);
    REQUIRE(flights.size() == 6);
    const HostId lost = flights[0].host;
    loseAgent(fixture, lost, flights);
    std::erase_if(flights, [&](const DispatchAttempt& flight) { return flight.host != lost; });
    const std::size_t suspects = flights.size();
    std::vector<DispatchAttempt> running;
    std::size_t finished = 0;
    for (int round = 0; round < 100 && finished < suspects; ++round) {
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
    CHECK(finished == suspects);
    for (const Suspicion& suspicion : localSuspicions(fixture.state))
        CHECK(suspicion.crashes == 0);
}

// Guards against a request that was never given to the lost agent being blamed for the loss.
TEST_CASE("A dispatch that did not reach the lost agent is not suspect")
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

// Guards against a resend through another entry being taken for a new request.
TEST_CASE("Suspicions reach other entries and are merged without being counted twice")
{
    RequestFixture first(3);
    RequestFixture second(3);
    first.start();
    second.start();
    const DispatchAttempt dispatch = all<DispatchAttempt>(first.run(poison(first)))[0];
    first.run(first.ended(dispatch, DispatchResultKind::Crashed));
    const std::vector<Suspicion> suspicions = localSuspicions(first.state);
    REQUIRE(suspicions.size() == 1);
    EntryEffects effects;
    applySuspicions(second.state, suspicions, effects);
    applySuspicions(second.state, suspicions, effects);
    const DispatchAttempt resent = all<DispatchAttempt>(second.run(poison(second)))[0];
    CHECK(resent.call.suspect);
    second.run(second.ended(resent, DispatchResultKind::Crashed));
    CHECK(all<RefuseRequest>(second.run(poison(second))).size() == 1);
    applySuspicions(first.state, localSuspicions(second.state), effects);
    first.now += Milliseconds { 1000 };
    const EntryEffects refused = first.run(poison(first));
    REQUIRE(all<RefuseRequest>(refused).size() == 1);
    CHECK(all<RefuseRequest>(refused)[0].reason == "quarantined");
}

// Guards against the loss of a place making all its requests run alone afterwards.
TEST_CASE("Requests of agents that are lost together with their place are not suspect")
{
    RequestFixture fixture(8);
    for (std::size_t replica = 0; replica < 4; ++replica)
        fixture.statuses[replica].dataCentre = { "b" };
    for (std::size_t replica = 0; replica < 4; ++replica)
        fixture.statuses[replica + 4].ready = replica == 0;
    fixture.state.settings.process.dataCentre = { "b" };
    fixture.start();
    std::vector<DispatchAttempt> flights;
    for (int number = 0; number < 24; ++number)
        for (const auto& dispatch : all<DispatchAttempt>(fixture.run(fixture.call())))
            flights.push_back(dispatch);
    for (const char* host : { "r0", "r1", "r2", "r3" })
        loseAgent(fixture, { host }, flights);
    for (const Suspicion& suspicion : localSuspicions(fixture.state))
        CHECK(suspicion.crashes == 0);
    for (const DispatchAttempt& dispatch : all<DispatchAttempt>(fixture.advance({ 500 })))
        CHECK_FALSE(dispatch.call.suspect);
}

// Guards against a stream that continues with another version's text, or is dropped although it may go on.
TEST_CASE("A broken stream resumes at the delivered part on the same version, or breaks visibly")
{
    RequestFixture fixture(2);
    const bool sameVersion = GENERATE(true, false);
    fixture.statuses[1].version = { sameVersion ? "v1" : "v2" };
    fixture.statuses[1].dataCentre = { "b" };
    fixture.start();
    const DispatchAttempt first = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    REQUIRE(first.host.value == "r0");
    fixture.run(FirstPart { first.call.key.request, first.call.key.attempt, first.host });
    fixture.run(AgentDisconnected { .host = first.host, .reason = "lost" });
    fixture.run(fixture.ended(first, DispatchResultKind::Unknown, 7));
    const EntryEffects effects = fixture.advance({ 5000 });
    CHECK(all<RefuseRequest>(effects).empty());
    if (sameVersion) {
        REQUIRE(all<DispatchAttempt>(effects).size() == 1);
        CHECK(all<DispatchAttempt>(effects)[0].call.resumeFrom == 7);
        CHECK(all<DispatchAttempt>(effects)[0].call.version.value == "v1");
    } else {
        CHECK(all<DispatchAttempt>(effects).empty());
        CHECK(all<AbortRequest>(effects).size() == 1);
    }
}
