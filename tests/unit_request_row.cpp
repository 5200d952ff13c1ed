#include "request_fixture.h"

#include "call_row_func.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace hickory;

namespace {

RequestArrived repayment(RequestFixture& fixture)
{
    RequestArrived call = fixture.call();
    call.path = "/repayments";
    call.idempotencyKey = "key";
    call.bodyDigest = { "body" };
    return call;
}

StoreAnswer answerTo(const StoreToken& token, StoreStatus status, std::uint64_t version, std::string value = {})
{
    return { .token = token, .status = status, .version = { version }, .value = std::move(value) };
}

std::string rowText(CallRowState state, const char* body = "body")
{
    return encodeCallRow({ .state = state,
        .attempt = { .entry = { "e9" }, .request = { 9 }, .attempt = { 1 } },
        .incarnation = { 99 },
        .bodyDigest = { body } });
}

/// @return reads of call rows; other parts of the reducer read other rows
std::vector<StoreRead> rowReads(const EntryEffects& effects)
{
    std::vector<StoreRead> reads = all<StoreRead>(effects);
    std::erase_if(reads, [](const StoreRead& read) { return read.token.purpose != StorePurpose::CallRow; });
    return reads;
}

/// Sends a repayment whose row is absent.
DispatchAttempt dispatchRepayment(RequestFixture& fixture)
{
    const EntryEffects arrived = fixture.run(repayment(fixture));
    REQUIRE(all<DispatchAttempt>(arrived).empty());
    REQUIRE(rowReads(arrived).size() == 1);
    const StoreRead read = rowReads(arrived)[0];
    CHECK(read.key == "calls/llm/w0/key");
    const EntryEffects effects = fixture.run(answerTo(read.token, StoreStatus::Absent, 0));
    REQUIRE(all<DispatchAttempt>(effects).size() == 1);
    return all<DispatchAttempt>(effects)[0];
}

/// Loses the answer of a repayment's attempt.
StoreWrite loseAnswer(RequestFixture& fixture, const DispatchAttempt& dispatch)
{
    const EntryEffects effects = fixture.run(fixture.ended(dispatch, DispatchResultKind::Unknown));
    REQUIRE(all<RefuseRequest>(effects).empty());
    REQUIRE(all<StoreWrite>(effects).size() == 1);
    const StoreWrite write = all<StoreWrite>(effects)[0];
    CHECK(write.ifVersion == dispatch.call.rowVersion);
    CHECK(decodeCallRow(write.value).value().state == CallRowState::Cancelled);
    return write;
}

} // namespace

// Guards against not-run being said while the lost attempt could still start.
TEST_CASE("A lost attempt of a non-repeatable call is cancelled in its row before anything else")
{
    RequestFixture fixture(2);
    fixture.start();
    const DispatchAttempt first = dispatchRepayment(fixture);
    CHECK(first.call.idempotencyKey == "key");
    const StoreWrite write = loseAnswer(fixture, first);
    fixture.run(answerTo(write.token, StoreStatus::Ok, 1));
    const EntryEffects retried = fixture.advance({ 200 });
    REQUIRE(rowReads(retried).size() == 1);
    const EntryEffects again
        = fixture.run(answerTo(rowReads(retried)[0].token, StoreStatus::Ok, 1, rowText(CallRowState::Cancelled)));
    REQUIRE(all<DispatchAttempt>(again).size() == 1);
    CHECK(all<DispatchAttempt>(again)[0].call.rowVersion.value == 1);
    CHECK(all<DispatchAttempt>(again)[0].call.key.attempt.value == 2);
}

// Guards against a call that was started being reported as not-run.
TEST_CASE("A lost attempt that had started is reported as unknown")
{
    RequestFixture fixture(2);
    fixture.start();
    const StoreWrite write = loseAnswer(fixture, dispatchRepayment(fixture));
    const EntryEffects effects
        = fixture.run(answerTo(write.token, StoreStatus::Conflict, 1, rowText(CallRowState::Started)));
    REQUIRE(all<RefuseRequest>(effects).size() == 1);
    CHECK(all<RefuseRequest>(effects)[0].outcome == Outcome::Unknown);
}

// Guards against a recorded answer being lost, and against its fetch starting the call again.
TEST_CASE("A recorded answer is fetched by a dispatch that can never start")
{
    RequestFixture fixture(2);
    fixture.start();
    const EntryEffects arrived = fixture.run(repayment(fixture));
    const EntryEffects effects
        = fixture.run(answerTo(rowReads(arrived)[0].token, StoreStatus::Ok, 2, rowText(CallRowState::Done)));
    REQUIRE(all<DispatchAttempt>(effects).size() == 1);
    const DispatchAttempt fetch = all<DispatchAttempt>(effects)[0];
    // Version 0 would run the call if the row expired in between.
    CHECK(fetch.call.rowVersion.value == std::numeric_limits<std::uint64_t>::max());
    CHECK(all<FinishRequest>(fixture.run(fixture.ended(fetch, DispatchResultKind::RecordedDone, 1))).size() == 1);
}

// Guards against one key being used for two different calls.
TEST_CASE("The same key with another body is a conflict")
{
    RequestFixture fixture(2);
    fixture.start();
    const EntryEffects arrived = fixture.run(repayment(fixture));
    const EntryEffects effects
        = fixture.run(answerTo(rowReads(arrived)[0].token, StoreStatus::Ok, 2, rowText(CallRowState::Done, "other")));
    REQUIRE(all<RefuseRequest>(effects).size() == 1);
    CHECK(all<RefuseRequest>(effects)[0].status == 409);
    CHECK(all<RefuseRequest>(effects)[0].reason == "key-conflict");
}

// Guards against a call that waits for ever, or is dispatched unread, while the store is down.
TEST_CASE("A store that is down before the start refuses the call as not-run")
{
    RequestFixture fixture(2);
    fixture.start();
    EntryEffects effects = fixture.run(repayment(fixture));
    std::vector<RefuseRequest> refused;
    for (int round = 0; round < 100 && refused.empty(); ++round) {
        for (const StoreRead& read : rowReads(effects))
            fixture.run(answerTo(read.token, StoreStatus::Unavailable, 0));
        effects = fixture.advance({ 50 });
        CHECK(all<DispatchAttempt>(effects).empty());
        refused = all<RefuseRequest>(effects);
    }
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].outcome == Outcome::NotRun);
    CHECK(refused[0].reason == "store-unavailable");
}

// Guards against a blind second write after a write whose answer was lost.
TEST_CASE("A cancellation whose answer was lost is read before it is written again")
{
    RequestFixture fixture(2);
    fixture.start();
    const StoreWrite write = loseAnswer(fixture, dispatchRepayment(fixture));
    fixture.run(answerTo(write.token, StoreStatus::Unavailable, 0));
    EntryEffects effects = fixture.advance({ 200 });
    CHECK(all<StoreWrite>(effects).empty());
    REQUIRE(rowReads(effects).size() == 1);
    const StoreToken token = rowReads(effects)[0].token;
    SECTION("it took effect")
    {
        effects = fixture.run(answerTo(token, StoreStatus::Ok, 1, write.value));
        CHECK(all<StoreWrite>(effects).empty());
        CHECK(all<RefuseRequest>(effects).empty());
    }
    SECTION("it did not")
    {
        effects = fixture.run(answerTo(token, StoreStatus::Absent, 0));
        CHECK(all<StoreWrite>(effects).size() == 1);
    }
    SECTION("the store stays down")
    {
        std::vector<RefuseRequest> refused;
        fixture.run(answerTo(token, StoreStatus::Unavailable, 0));
        for (int round = 0; round < 200 && refused.empty(); ++round) {
            effects = fixture.advance({ 50 });
            for (const StoreRead& read : rowReads(effects))
                fixture.run(answerTo(read.token, StoreStatus::Unavailable, 0));
            refused = all<RefuseRequest>(effects);
        }
        REQUIRE(refused.size() == 1);
        CHECK(refused[0].outcome == Outcome::Unknown);
    }
}
