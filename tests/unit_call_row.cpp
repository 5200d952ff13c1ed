#include "agent_harness.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// An agent whose dispatch of request 1 has just sent the move to `started`.
AgentHarness movingAgent()
{
    AgentHarness agent;
    agent.reachable();
    agent.send(DispatchReceived { AgentHarness::keyedCall(1) });
    return agent;
}

CallRow rowOfRequest(std::uint64_t request, CallRowState state, std::uint64_t incarnation)
{
    CallRow row;
    row.state = state;
    row.attempt = AgentHarness::call(request).key;
    row.incarnation = { incarnation };
    row.bodyDigest = { "body" };
    row.status = 200;
    row.answer = "paid";
    return row;
}

} // namespace

// Guards against a call that runs before its row says so, and against an answer before the outcome is recorded.
TEST_CASE("A non-repeatable call starts after its row moved and is answered after the outcome is recorded")
{
    AgentHarness agent = movingAgent();
    REQUIRE(agent.all<StartUpstream>().empty());
    const auto move = agent.only<StoreWrite>();
    REQUIRE(move.key == "calls/svc/small/pay-1");
    REQUIRE(decodeCallRow(move.value).value().state == CallRowState::Started);
    agent.storeAnswer(move.token, StoreStatus::Ok, 1);
    REQUIRE(agent.only<StartUpstream>().recordAnswer);
    agent.end(1);
    REQUIRE(agent.all<AnswerDispatch>().empty());
    const auto lost = agent.only<StoreWrite>();
    agent.storeAnswer(lost.token, StoreStatus::Unavailable);
    agent.pass(200);
    const auto outcome = agent.only<StoreWrite>();
    REQUIRE(outcome.ifVersion.value == 1);
    const CallRow written = decodeCallRow(outcome.value).value();
    REQUIRE(written.answer == "paid");
    // The first write had taken effect although its answer was lost.
    agent.storeAnswer(outcome.token, StoreStatus::Conflict, 2, outcome.value);
    REQUIRE(agent.only<AnswerDispatch>().result.kind == DispatchResultKind::Completed);
}

// Guards against a second run when the row holds anything but the version that the entry saw.
TEST_CASE("A conflict on the call row is answered with what the row says")
{
    const auto resultFor = [](const CallRow& row) {
        AgentHarness agent = movingAgent();
        agent.storeAnswer(agent.only<StoreWrite>().token, StoreStatus::Conflict, 5, encodeCallRow(row));
        REQUIRE(agent.all<StartUpstream>().empty());
        return agent.only<AnswerDispatch>();
    };
    const auto done = resultFor(rowOfRequest(9, CallRowState::Done, 3));
    REQUIRE(done.result.kind == DispatchResultKind::RecordedDone);
    REQUIRE(done.storedAnswer == "paid");
    REQUIRE(resultFor(rowOfRequest(9, CallRowState::Started, 3)).result.kind == DispatchResultKind::RecordedUnknown);
    // Started by this agent, but its outcome was lost with the upstream.
    REQUIRE(resultFor(rowOfRequest(9, CallRowState::Started, 77)).result.kind == DispatchResultKind::RecordedUnknown);
    // The same attempt, started by an earlier agent of this host.
    REQUIRE(resultFor(rowOfRequest(1, CallRowState::Started, 3)).result.kind == DispatchResultKind::RecordedUnknown);
    REQUIRE(resultFor(rowOfRequest(1, CallRowState::Cancelled, 0)).result.kind == DispatchResultKind::NotRun);
    // An answer that was too long to record must not be replayed as if it were whole.
    CallRow tooLong = rowOfRequest(9, CallRowState::Done, 3);
    tooLong.status = 0;
    tooLong.answer.clear();
    REQUIRE(resultFor(tooLong).result.kind == DispatchResultKind::Failed);
    CallRow otherBody = rowOfRequest(9, CallRowState::Done, 3);
    otherBody.bodyDigest = { "another body" };
    REQUIRE(resultFor(otherBody).result.kind == DispatchResultKind::KeyConflict);
}

// Guards against a run while the store is down, and against a row that stays `started` after the answer not-run.
TEST_CASE("A call whose row cannot be read does not run and its row is cancelled later")
{
    AgentHarness agent = movingAgent();
    const auto move = agent.only<StoreWrite>();
    agent.storeAnswer(move.token, StoreStatus::Unavailable);
    agent.storeAnswer(agent.only<StoreRead>().token, StoreStatus::Unavailable);
    REQUIRE(agent.only<AnswerDispatch>().result.reason == "store-unavailable");
    agent.send(DispatchReceived { AgentHarness::keyedCall(1) });
    REQUIRE(agent.only<AnswerDispatch>().result.kind == DispatchResultKind::NotRun);
    agent.pass(100);
    const auto release = agent.only<StoreWrite>();
    REQUIRE(decodeCallRow(release.value).value().state == CallRowState::Cancelled);
    // The first write took effect late.
    agent.storeAnswer(release.token, StoreStatus::Conflict, 1, move.value);
    REQUIRE(agent.only<StoreWrite>().ifVersion.value == 1);
    agent.storeAnswer(agent.only<StoreWrite>().token, StoreStatus::Ok, 2);
    REQUIRE(agent.state.slots.releases.empty());
}

// Guards against a run long after its caller gave up: the process was paused between the move and the start.
TEST_CASE("A call whose deadline passed during the move does not start")
{
    AgentHarness agent = movingAgent();
    const StoreToken token = agent.only<StoreWrite>().token;
    agent.now.value += 100000;
    agent.storeAnswer(token, StoreStatus::Ok, 1);
    REQUIRE(agent.all<StartUpstream>().empty());
    const auto release = agent.only<StoreWrite>();
    REQUIRE(release.ifVersion.value == 1);
    agent.storeAnswer(release.token, StoreStatus::Ok, 2);
    REQUIRE(agent.only<AnswerDispatch>().result.reason == "deadline");
}

// Guards against a lost outcome when the caller's entry goes away during the run.
TEST_CASE("A detached entry cancels its streams but lets a non-repeatable call run to its end")
{
    AgentHarness agent = movingAgent();
    agent.storeAnswer(agent.only<StoreWrite>().token, StoreStatus::Ok, 1);
    agent.send(DispatchReceived { AgentHarness::call(2) });
    agent.send(EntryDetached { { "entry-1" } });
    REQUIRE(agent.all<CancelUpstream>().size() == 1);
    REQUIRE(agent.only<CancelUpstream>().key.request.value == 2);
    agent.end(1);
    REQUIRE(decodeCallRow(agent.only<StoreWrite>().value).value().state == CallRowState::Done);
}
