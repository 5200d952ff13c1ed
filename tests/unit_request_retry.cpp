#include "request_fixture.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against retries that multiply the load when all attempts fail.
TEST_CASE("Retries stop when the budget is spent and resume after successes")
{
    RequestFixture fixture(4);
    fixture.start();
    std::size_t dispatches = 0;
    std::size_t refused = 0;
    const auto failAll = [&](const EntryEffects& effects) {
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(effects)) {
            ++dispatches;
            refused += all<FailRequest>(fixture.run(fixture.ended(dispatch, DispatchResultKind::NotRun))).size();
        }
    };
    constexpr std::size_t requests = 500;
    for (std::size_t number = 0; number < requests; ++number) {
        failAll(fixture.run(fixture.call()));
        failAll(fixture.advance({ 50 }));
    }
    failAll(fixture.advance({ 5000 }));
    CHECK(refused == requests);
    CHECK(dispatches <= requests * 11 / 10);
    for (int number = 0; number < 20; ++number)
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(fixture.run(fixture.call())))
            fixture.run(fixture.ended(dispatch, DispatchResultKind::Completed));
    CHECK(fixture.state.requests.pools.at({ "llm" }).retryBalance >= 1);
}

// Guards against reporting not-run although an earlier attempt may have run.
TEST_CASE("A refusal after an unknown attempt is reported as unknown")
{
    RequestFixture fixture(3);
    fixture.start();
    DispatchAttempt dispatch = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    fixture.run(fixture.ended(dispatch, DispatchResultKind::Unknown));
    std::vector<FailRequest> refused;
    for (int round = 0; round < 100 && refused.empty(); ++round)
        for (const DispatchAttempt& next : all<DispatchAttempt>(fixture.advance({ 50 })))
            refused = all<FailRequest>(fixture.run(fixture.ended(next, DispatchResultKind::NotRun)));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].outcome == Outcome::Unknown);
}

// Guards against slots that stay occupied after the caller disconnected or the deadline passed.
TEST_CASE("The attempt is cancelled when the caller disconnects or the deadline passes")
{
    RequestFixture fixture(1);
    fixture.start();
    const DispatchAttempt first = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    CHECK(all<CancelAttempt>(fixture.run(CallerDisconnected { .request = first.call.key.request })).size() == 1);
    RequestArrived call = fixture.call();
    call.timeout = { 300 };
    fixture.run(call);
    const EntryEffects effects = fixture.advance({ 400 });
    CHECK(all<CancelAttempt>(effects).size() == 1);
    REQUIRE(all<FailRequest>(effects).size() == 1);
    CHECK(all<FailRequest>(effects)[0].outcome == Outcome::Unknown);
    CHECK(requestsInProgress(fixture.state) == 0);
    CHECK(fixture.state.requests.views.views[0].ownTotal == 0);
}

// Guards against requests that stay with a frozen agent, and against requests becoming crash suspects because of it.
TEST_CASE("After three missed heartbeats the connection is dropped and its requests are retried elsewhere")
{
    RequestFixture fixture(3);
    fixture.start();
    const DispatchAttempt first = all<DispatchAttempt>(fixture.run(fixture.call()))[0];
    for (int missed = 1; missed <= 3; ++missed)
        CHECK(
            all<DisconnectAgent>(fixture.run(HeartbeatMissed { .host = first.host })).size() == (missed == 3 ? 1 : 0));
    fixture.run(AgentDisconnected { .host = first.host, .reason = "dropped" });
    fixture.run(fixture.ended(first, DispatchResultKind::Unknown));
    const auto moved = all<DispatchAttempt>(fixture.advance({ 200 }));
    REQUIRE(moved.size() == 1);
    CHECK(moved[0].host != first.host);
    CHECK_FALSE(moved[0].call.suspect);
}

// Guards against heartbeat traffic that grows with the number of agents.
TEST_CASE("An entry sends at most ten heartbeats a second in total")
{
    for (const std::size_t replicas : { 5U, 40U }) {
        RequestFixture fixture(replicas);
        fixture.start();
        fixture.advance({ 100 });
        CHECK(fixture.state.requests.views.heartbeatInterval.value == (replicas == 5 ? 1000 : 4000));
    }
}

// Guards against requests that are lost or dispatched twice when ranks or services change.
TEST_CASE("A new configuration keeps waiting requests and refuses those whose service was removed")
{
    RequestFixture fixture(1);
    fixture.start();
    std::vector<DispatchAttempt> running;
    for (int number = 0; number < 12; ++number)
        for (const auto& dispatch : all<DispatchAttempt>(fixture.run(fixture.call("bulk"))))
            running.push_back(dispatch);
    REQUIRE(running.size() == 9);
    REQUIRE(fixture.state.requests.queued == 3);
    Config changed = fixture.config;
    std::swap(changed.ranks[0], changed.ranks[2]);
    fixture.state.config.config = std::make_shared<const Config>(changed);
    EntryEffects effects;
    applyConfigToRequests(fixture.state, effects);
    CHECK(fixture.state.requests.queued == 3);
    CHECK(all<DispatchAttempt>(fixture.run(fixture.ended(running[0], DispatchResultKind::Completed))).size() == 1);
    changed.services[0].name = { "other" };
    fixture.state.config.config = std::make_shared<const Config>(changed);
    effects.clear();
    applyConfigToRequests(fixture.state, effects);
    REQUIRE(all<FailRequest>(effects).size() == 2);
    CHECK(all<FailRequest>(effects)[0].outcome == Outcome::NotRun);
    for (std::size_t index = 1; index < running.size(); ++index)
        CHECK(
            all<FinishRequest>(fixture.run(fixture.ended(running[index], DispatchResultKind::Completed))).size() == 1);
}

// Guards against a caller that gets neither an answer nor a refusal, even after its deadline.
TEST_CASE("A request whose service is removed between two attempts is refused")
{
    RequestFixture fixture(2);
    fixture.start();
    RequestArrived call = fixture.call();
    call.timeout = { 1500 };
    const bool reading = GENERATE(false, true);
    if (reading) {
        call.path = "/repayments";
        call.idempotencyKey = "key";
    }
    const EntryEffects arrived = fixture.run(call);
    if (!reading)
        fixture.run(fixture.ended(all<DispatchAttempt>(arrived).at(0), DispatchResultKind::NotRun));
    Config changed = fixture.config;
    changed.services[0].name = { "other" };
    fixture.state.config.config = std::make_shared<const Config>(changed);
    EntryEffects effects;
    applyConfigToRequests(fixture.state, effects);
    if (reading)
        for (const StoreRead& read : all<StoreRead>(arrived))
            for (const EntryEffect& effect :
                fixture.run(StoreAnswer { .token = read.token, .status = StoreStatus::Absent }))
                effects.push_back(effect);
    for (const EntryEffect& effect : fixture.advance({ 2000 }))
        effects.push_back(effect);
    REQUIRE(all<FailRequest>(effects).size() == 1);
    CHECK(all<FailRequest>(effects)[0].outcome == Outcome::NotRun);
    CHECK(all<FailRequest>(effects)[0].reason == "service-removed");
    CHECK(requestsInProgress(fixture.state) == 0);
}
