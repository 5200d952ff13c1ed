#include "request_fixture.h"

#include "call_row_func.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

constexpr std::uint32_t deliveredParts = 2; ///< parts of each begun stream that its caller has

/// Begins a stream whose caller has its first parts.
/// @param how end of the first attempt
/// @return the first attempt
DispatchAttempt beginStream(RequestFixture& fixture, const RequestArrived& call, DispatchResultKind how)
{
    const DispatchAttempt dispatch = all<DispatchAttempt>(fixture.run(call)).at(0);
    fixture.run(FirstPart { .request = call.request, .attempt = dispatch.call.key.attempt, .host = dispatch.host });
    fixture.run(fixture.ended(dispatch, how, deliveredParts));
    return dispatch;
}

/// Applies a configuration.
EntryEffects applyConfig(RequestFixture& fixture, const Config& config)
{
    EntryEffects effects;
    fixture.state.config.config = std::make_shared<const Config>(config);
    applyConfigToRequests(fixture.state, effects);
    return effects;
}

/// Connects an agent as it reports now.
EntryEffects connectAgent(RequestFixture& fixture, AgentStatus& status)
{
    ++status.sequence;
    return fixture.run(AgentConnected { .host = status.host, .status = status });
}

/// @return a non-repeatable call with the idempotency key "key"
RequestArrived makeRepayment(RequestFixture& fixture)
{
    RequestArrived call = fixture.call();
    call.path = "/repayments";
    call.idempotencyKey = "key";
    call.requestDigest = { "body" };
    return call;
}

/// Answers all reads of call rows.
EntryEffects answerReads(RequestFixture& fixture, const EntryEffects& effects, StoreStatus status, const CallRow& row)
{
    EntryEffects answers;
    for (const StoreRead& read : all<StoreRead>(effects)) {
        if (read.token.purpose != StorePurpose::CallRow)
            continue;
        const EntryEffects more = fixture.run(StoreAnswer {
            .token = read.token,
            .status = status,
            .version = { status == StoreStatus::Ok ? 5U : 0U },
            .value = encodeCallRow(row),
        });
        answers.insert(answers.end(), more.begin(), more.end());
    }
    return answers;
}

} // namespace

// Guards against a begun stream that is cut beside a change of the configuration while it waits for an upstream.
TEST_CASE("A stream that was set aside outlives a configuration without its service")
{
    RequestFixture fixture(1);
    fixture.start();
    beginStream(fixture, fixture.call(), DispatchResultKind::Preempted);
    const bool queued = GENERATE(false, true);
    if (queued) {
        AgentStatus full = fixture.statuses[0];
        full.sequence = 2;
        full.ready = false;
        fixture.run(AgentStatusReceived { .status = full });
        fixture.advance({ 500 });
        REQUIRE(fixture.state.requests.queued == 1);
    }
    Config changed = fixture.config;
    changed.services[0].name = { "other" };
    EntryEffects effects = applyConfig(fixture, changed);
    for (const EntryEffect& effect : fixture.advance({ 10000 }))
        effects.push_back(effect);
    CHECK(all<AbortRequest>(effects).empty());
    effects = applyConfig(fixture, fixture.config);
    for (const EntryEffects& more : { connectAgent(fixture, fixture.statuses[0]), fixture.advance({ 2000 }) })
        effects.insert(effects.end(), more.begin(), more.end());
    const auto resumed = all<DispatchAttempt>(effects);
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0].call.resumeFrom == deliveredParts);
}

// Guards against a begun stream that never resumes, because only the upstream that set it aside has its version.
TEST_CASE("A stream that was set aside resumes where it was if no other upstream has its version")
{
    RequestFixture fixture(2);
    fixture.statuses[1].version = { "v2" };
    fixture.statuses[1].dataCentre = { "b" };
    fixture.start();
    const DispatchAttempt first = beginStream(fixture, fixture.call(), DispatchResultKind::Preempted);
    REQUIRE(first.host.value == "r0");
    const auto resumed = all<DispatchAttempt>(fixture.advance({ 2000 }));
    REQUIRE(resumed.size() == 1);
    CHECK(resumed[0].host == first.host);
    CHECK(resumed[0].call.resumeFrom == deliveredParts);
}

// Guards against a begun stream that is cut because equal requests crashed other upstreams.
TEST_CASE("A stream that was set aside outlives the quarantine of equal requests")
{
    RequestFixture fixture(3);
    fixture.config.services[0].quarantine = { 4000 };
    fixture.start();
    RequestArrived call = fixture.call();
    call.requestDigest = { "equal" };
    beginStream(fixture, call, DispatchResultKind::Preempted);
    EntryEffects gossip;
    applySuspicions(fixture.state,
        { { .service = call.service, .requestDigest = call.requestDigest, .crashes = 2, .age = { 0 } } }, gossip);
    const EntryEffects quarantined = fixture.advance({ 3500 });
    CHECK(all<AbortRequest>(quarantined).empty());
    CHECK(all<DispatchAttempt>(quarantined).empty());
    CHECK(all<DispatchAttempt>(fixture.advance({ 2000 })).size() == 1);
}

// Guards against refusing a caller, because of a predicted wait, whose answer stands ready in its call row.
TEST_CASE("A recorded answer is delivered however long its fetch has to wait")
{
    RequestFixture fixture(1);
    fixture.start();
    std::vector<DispatchAttempt> running;
    for (int number = 0; number < 30; ++number)
        for (const DispatchAttempt& dispatch : all<DispatchAttempt>(fixture.run(fixture.call())))
            running.push_back(dispatch);
    const EntryEffects arrived = fixture.run(makeRepayment(fixture));
    EntryEffects effects
        = answerReads(fixture, arrived, StoreStatus::Ok, { .state = CallRowState::Done, .requestDigest = { "body" } });
    const RequestId id { fixture.nextRequest - 1 };
    for (const EntryEffect& effect : fixture.advance({ 5000 }))
        effects.push_back(effect);
    for (const FailRequest& refusal : all<FailRequest>(effects))
        CHECK(refusal.request != id);
    effects.clear();
    for (const DispatchAttempt& dispatch : running)
        for (const EntryEffect& effect : fixture.run(fixture.ended(dispatch, DispatchResultKind::Completed)))
            effects.push_back(effect);
    const auto fetches = all<DispatchAttempt>(effects);
    CHECK(std::count_if(fetches.begin(), fetches.end(), [&](const DispatchAttempt& fetch) {
        return fetch.call.key.request == id;
    }) == 1);
}
