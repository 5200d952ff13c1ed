#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against a request that is dispatched but never ended.
TEST_CASE("A request is dispatched at once and finished with its answer")
{
    RequestFixture fixture(2);
    fixture.start();
    const EntryEffects arrived = fixture.run(fixture.call());
    REQUIRE(all<DispatchAttempt>(arrived).size() == 1);
    const DispatchAttempt dispatch = all<DispatchAttempt>(arrived)[0];
    CHECK(dispatch.call.version.value == "v1");
    CHECK(dispatch.call.key.entry.value == "e1");
    const EntryEffects done = fixture.run(fixture.ended(dispatch, DispatchResultKind::Completed, 5));
    CHECK(all<FinishRequest>(done).size() == 1);
    CHECK(requestsInProgress(fixture.state) == 0);
}

// Guards against a wrong name being routed or answered without a reason.
TEST_CASE("Unknown names and missing keys are refused as not-run with a reason")
{
    RequestFixture fixture(1);
    fixture.start();
    const auto refusal = [&](auto change) {
        RequestArrived call = fixture.call();
        change(call);
        const EntryEffects effects = fixture.run(call);
        REQUIRE(all<RefuseRequest>(effects).size() == 1);
        CHECK(all<DispatchAttempt>(effects).empty());
        CHECK(all<RefuseRequest>(effects)[0].outcome == Outcome::NotRun);
        return all<RefuseRequest>(effects)[0].reason;
    };
    CHECK(refusal([](RequestArrived& call) { call.service = { "x" }; }) == "unknown-service");
    CHECK(refusal([](RequestArrived& call) { call.rank = "x"; }) == "unknown-rank");
    CHECK(refusal([](RequestArrived& call) { call.workspace = { "x" }; }) == "unknown-workspace");
    for (const char* path : { "/repayments/7", "//repayments", "/x/../repayments", "/%72epayments", "/./repayments?a" })
        CHECK(refusal([&](RequestArrived& call) { call.path = path; }) == "missing-idempotency-key");
}

// Guards against a service being offered while one that it needs is down.
TEST_CASE("A service is offered only while what it depends on has a ready upstream")
{
    RequestFixture fixture(1);
    fixture.config.services.push_back({ .name = { "ledger" } });
    fixture.config.services[0].dependsOn = { { "ledger" } };
    fixture.statuses.push_back(fixture.makeStatus("p0", "ledger"));
    fixture.start();
    CHECK(all<DispatchAttempt>(fixture.run(fixture.call())).size() == 1);
    fixture.run(AgentDisconnected { .host = { "p0" }, .reason = "lost" });
    const EntryEffects effects = fixture.run(fixture.call());
    REQUIRE(all<RefuseRequest>(effects).size() == 1);
    CHECK(all<RefuseRequest>(effects)[0].reason == "dependency-not-ready");
}

// Guards against a lost agent keeping its requests, or getting new ones.
TEST_CASE("A request of a lost agent goes to another replica")
{
    RequestFixture fixture(3);
    fixture.start();
    const DispatchAttempt first = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    fixture.run(AgentDisconnected { .host = first.host, .reason = "lost" });
    EntryEffects effects = fixture.run(fixture.ended(first, DispatchResultKind::Unknown));
    CHECK(all<RefuseRequest>(effects).empty());
    effects = fixture.advance({ 500 });
    REQUIRE(all<DispatchAttempt>(effects).size() == 1);
    const DispatchAttempt second = all<DispatchAttempt>(effects)[0];
    CHECK(second.host != first.host);
    CHECK(second.call.key.attempt.value == 2);
    // The late end of the first attempt changes nothing.
    CHECK(all<FinishRequest>(fixture.run(fixture.ended(first, DispatchResultKind::Completed))).empty());
    CHECK(all<FinishRequest>(fixture.run(fixture.ended(second, DispatchResultKind::Completed))).size() == 1);
}

// Guards against an agent that is not asked for again after its connection was lost.
TEST_CASE("A lost connection is asked for again with growing delays")
{
    RequestFixture fixture(1);
    const EntryEffects started = fixture.start();
    CHECK(all<ConnectAgent>(started).size() == 1);
    CHECK(all<SetHeartbeatInterval>(started).size() == 1);
    std::size_t asked = 0;
    for (int loss = 0; loss < 5; ++loss) {
        fixture.run(AgentDisconnected { .host = { "r0" }, .reason = "refused" });
        asked += all<ConnectAgent>(fixture.advance({ 10000 })).size();
    }
    CHECK(asked == 5);
}

// Guards against a stream that breaks because replicas were full when it had to move (bench replica-loss, seed 2).
TEST_CASE("Refusals do not break a stream that has begun")
{
    RequestFixture fixture(6);
    fixture.start();
    DispatchAttempt attempt = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    const auto refuse = [&](DispatchResultKind kind, std::uint32_t delivered) {
        EntryEffects effects = fixture.run(fixture.ended(attempt, kind, delivered));
        const EntryEffects later = fixture.advance({ 3000 });
        effects.insert(effects.end(), later.begin(), later.end());
        REQUIRE(all<AbortRequest>(effects).empty());
        REQUIRE(all<DispatchAttempt>(effects).size() == 1);
        attempt = all<DispatchAttempt>(effects)[0];
    };
    refuse(DispatchResultKind::NotRun, 0);
    refuse(DispatchResultKind::NotRun, 0);
    fixture.run(
        FirstPart { .request = attempt.call.key.request, .attempt = attempt.call.key.attempt, .host = attempt.host });
    refuse(DispatchResultKind::Unknown, 1);
    for (int refusal = 0; refusal < 6; ++refusal)
        refuse(DispatchResultKind::NotRun, 1);
    CHECK(attempt.call.resumeFrom == 1);
}
