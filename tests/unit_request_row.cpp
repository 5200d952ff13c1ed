#include "request_fixture.h"

#include "call_row_func.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace hickory;

namespace {

/// @return a non-repeatable request with the idempotency key "key"
RequestArrived makeRepayment(RequestFixture& fixture)
{
    RequestArrived call = fixture.call();
    call.path = "/repayments";
    call.idempotencyKey = "key";
    call.requestDigest = { "body" };
    return call;
}

StoreAnswer storeAnswer(const StoreToken& token, StoreStatus status, std::uint64_t version, std::string value = {})
{
    return { .token = token, .status = status, .version = { version }, .value = std::move(value) };
}

/// @return a call row written for another request
std::string encodedRow(CallRowState state, const char* body = "body")
{
    return encodeCallRow({ .state = state,
        .attempt = { .entry = { "e9" }, .request = { 9 }, .attempt = { 1 } },
        .incarnation = { 99 },
        .requestDigest = { body } });
}

/// @return reads of call rows, without those of other parts of the reducer
std::vector<StoreRead> rowReads(const EntryEffects& effects)
{
    std::vector<StoreRead> reads = all<StoreRead>(effects);
    std::erase_if(reads, [](const StoreRead& read) { return read.token.purpose != StorePurpose::CallRow; });
    return reads;
}

/// Sends a repayment whose row is absent.
/// @return its first attempt
DispatchAttempt sendRepayment(RequestFixture& fixture)
{
    const EntryEffects arrived = fixture.run(makeRepayment(fixture));
    REQUIRE(all<DispatchAttempt>(arrived).empty());
    REQUIRE(rowReads(arrived).size() == 1);
    const StoreRead read = rowReads(arrived)[0];
    CHECK(read.key == "calls/llm/w0/key");
    const EntryEffects effects = fixture.run(storeAnswer(read.token, StoreStatus::Absent, 0));
    REQUIRE(all<DispatchAttempt>(effects).size() == 1);
    return all<DispatchAttempt>(effects)[0];
}

/// Ends an attempt without an answer.
/// @return the write that cancels the call row
StoreWrite failUnknown(RequestFixture& fixture, const DispatchAttempt& dispatch)
{
    const EntryEffects effects = fixture.run(fixture.ended(dispatch, DispatchResultKind::Unknown));
    REQUIRE(all<FailRequest>(effects).empty());
    REQUIRE(all<StoreWrite>(effects).size() == 1);
    const StoreWrite write = all<StoreWrite>(effects)[0];
    CHECK(write.ifVersion == dispatch.call.rowVersion);
    CHECK(decodeCallRow(write.value).value().state == CallRowState::Cancelled);
    return write;
}

} // namespace

// Guards against reporting not-run while the lost attempt could still start.
TEST_CASE("A lost attempt of a non-repeatable call is cancelled in its row before the call is retried")
{
    RequestFixture fixture(2);
    fixture.start();
    const DispatchAttempt first = sendRepayment(fixture);
    CHECK(first.call.idempotencyKey == "key");
    const StoreWrite write = failUnknown(fixture, first);
    fixture.run(storeAnswer(write.token, StoreStatus::Ok, 1));
    const EntryEffects retried = fixture.advance({ 200 });
    REQUIRE(rowReads(retried).size() == 1);
    const EntryEffects again
        = fixture.run(storeAnswer(rowReads(retried)[0].token, StoreStatus::Ok, 1, encodedRow(CallRowState::Cancelled)));
    REQUIRE(all<DispatchAttempt>(again).size() == 1);
    CHECK(all<DispatchAttempt>(again)[0].call.rowVersion.value == 1);
    CHECK(all<DispatchAttempt>(again)[0].call.key.attempt.value == 2);
}

// Guards against reporting not-run for a call that was started.
TEST_CASE("A lost attempt that had started is reported as unknown")
{
    RequestFixture fixture(2);
    fixture.start();
    const StoreWrite write = failUnknown(fixture, sendRepayment(fixture));
    const EntryEffects effects
        = fixture.run(storeAnswer(write.token, StoreStatus::Conflict, 1, encodedRow(CallRowState::Started)));
    REQUIRE(all<FailRequest>(effects).size() == 1);
    CHECK(all<FailRequest>(effects)[0].outcome == Outcome::Unknown);
}

// Guards against a call that is ended as unknown because its agent was silent, although the agent runs it.
TEST_CASE("A call that its agent started is awaited until its outcome is recorded")
{
    RequestFixture fixture(2);
    fixture.start();
    const DispatchAttempt dispatch = sendRepayment(fixture);
    const StoreWrite write = failUnknown(fixture, dispatch);
    const std::size_t replica = dispatch.host.value == "r0" ? 0 : 1;
    CallRow row { .state = CallRowState::Started,
        .attempt = dispatch.call.key,
        .incarnation = fixture.statuses[replica].incarnation,
        .requestDigest = { "body" } };
    const bool lost = GENERATE(false, true);
    if (lost)
        fixture.run(AgentDisconnected { .host = dispatch.host, .reason = "connection-lost" });
    EntryEffects effects = fixture.run(storeAnswer(write.token, StoreStatus::Conflict, 1, encodeCallRow(row)));
    const auto answerReads = [&](Milliseconds span) {
        for (const Milliseconds end = fixture.now + span; fixture.now < end;) {
            for (const EntryEffect& effect : fixture.advance({ 50 })) {
                effects.push_back(effect);
                if (const auto* read = std::get_if<StoreRead>(&effect);
                    read && read->token.purpose == StorePurpose::CallRow)
                    for (const EntryEffect& more :
                        fixture.run(storeAnswer(read->token, StoreStatus::Ok, 1, encodeCallRow(row))))
                        effects.push_back(more);
            }
        }
    };
    answerReads({ 8000 });
    REQUIRE(all<FailRequest>(effects).empty());
    SECTION("the outcome is recorded")
    {
        row.state = CallRowState::Done;
        answerReads({ 2000 });
        REQUIRE(all<DispatchAttempt>(effects).size() == 1);
        CHECK(all<DispatchAttempt>(effects)[0].call.rowVersion.value == std::numeric_limits<std::uint64_t>::max());
    }
    SECTION("the agent's process has ended")
    {
        fixture.run(AgentDisconnected { .host = dispatch.host, .reason = "connect-failed" });
        answerReads({ 2000 });
        REQUIRE(all<FailRequest>(effects).size() == 1);
        CHECK(all<FailRequest>(effects)[0].outcome == Outcome::Unknown);
    }
    SECTION("the deadline passes")
    {
        answerReads({ 55000 });
        REQUIRE(all<FailRequest>(effects).size() == 1);
        CHECK(all<FailRequest>(effects)[0].outcome == Outcome::Unknown);
        CHECK(fixture.now >= Milliseconds { 61000 });
    }
}

// Guards against losing a recorded answer, and against starting the call again when the answer is fetched.
TEST_CASE("A recorded answer is fetched by a dispatch that can never start the call")
{
    RequestFixture fixture(2);
    fixture.start();
    const EntryEffects arrived = fixture.run(makeRepayment(fixture));
    const EntryEffects effects
        = fixture.run(storeAnswer(rowReads(arrived)[0].token, StoreStatus::Ok, 2, encodedRow(CallRowState::Done)));
    REQUIRE(all<DispatchAttempt>(effects).size() == 1);
    const DispatchAttempt fetch = all<DispatchAttempt>(effects)[0];
    // With version 0 the call would run if the row expired before the dispatch arrived.
    CHECK(fetch.call.rowVersion.value == std::numeric_limits<std::uint64_t>::max());
    CHECK(all<FinishRequest>(fixture.run(fixture.ended(fetch, DispatchResultKind::RecordedDone, 1))).size() == 1);
}

// Guards against one idempotency key being used for two different calls.
TEST_CASE("The same idempotency key with another body is refused as a conflict")
{
    RequestFixture fixture(2);
    fixture.start();
    const EntryEffects arrived = fixture.run(makeRepayment(fixture));
    const EntryEffects effects = fixture.run(
        storeAnswer(rowReads(arrived)[0].token, StoreStatus::Ok, 2, encodedRow(CallRowState::Done, "other")));
    REQUIRE(all<FailRequest>(effects).size() == 1);
    CHECK(all<FailRequest>(effects)[0].status == 409);
    CHECK(all<FailRequest>(effects)[0].reason == "key-conflict");
}

// Guards against a call that waits without limit, or is dispatched without reading its row, while the store is down.
TEST_CASE("A call is refused as not-run when the store is down before the dispatch")
{
    RequestFixture fixture(2);
    fixture.start();
    EntryEffects effects = fixture.run(makeRepayment(fixture));
    std::vector<FailRequest> refused;
    for (int round = 0; round < 100 && refused.empty(); ++round) {
        for (const StoreRead& read : rowReads(effects))
            fixture.run(storeAnswer(read.token, StoreStatus::Unavailable, 0));
        effects = fixture.advance({ 50 });
        CHECK(all<DispatchAttempt>(effects).empty());
        refused = all<FailRequest>(effects);
    }
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].outcome == Outcome::NotRun);
    CHECK(refused[0].reason == "store-unavailable");
}

// Guards against repeating a write whose answer was lost without reading the row first.
TEST_CASE("The row is read again after a cancelling write whose answer was lost")
{
    RequestFixture fixture(2);
    fixture.start();
    const StoreWrite write = failUnknown(fixture, sendRepayment(fixture));
    fixture.run(storeAnswer(write.token, StoreStatus::Unavailable, 0));
    EntryEffects effects = fixture.advance({ 200 });
    CHECK(all<StoreWrite>(effects).empty());
    REQUIRE(rowReads(effects).size() == 1);
    const StoreToken token = rowReads(effects)[0].token;
    SECTION("the write took effect")
    {
        effects = fixture.run(storeAnswer(token, StoreStatus::Ok, 1, write.value));
        CHECK(all<StoreWrite>(effects).empty());
        CHECK(all<FailRequest>(effects).empty());
    }
    SECTION("the write did not take effect")
    {
        effects = fixture.run(storeAnswer(token, StoreStatus::Absent, 0));
        CHECK(all<StoreWrite>(effects).size() == 1);
    }
    SECTION("the store stays down")
    {
        std::vector<FailRequest> refused;
        fixture.run(storeAnswer(token, StoreStatus::Unavailable, 0));
        for (int round = 0; round < 200 && refused.empty(); ++round) {
            effects = fixture.advance({ 50 });
            for (const StoreRead& read : rowReads(effects))
                fixture.run(storeAnswer(read.token, StoreStatus::Unavailable, 0));
            refused = all<FailRequest>(effects);
        }
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].outcome == Outcome::Unknown);
    }
}
