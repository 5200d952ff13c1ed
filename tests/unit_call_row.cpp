#include "agent_harness.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// @return an agent that has received request 1 and sent the write that sets its row to `started`
AgentHarness agentClaimingRow()
{
    AgentHarness agent;
    agent.reportReachable();
    agent.send(DispatchReceived { AgentHarness::keyedCall(1) });
    return agent;
}

CallRow rowOfRequest(std::uint64_t request, CallRowState state, std::uint64_t incarnation)
{
    CallRow row;
    row.state = state;
    row.attempt = AgentHarness::call(request).key;
    row.incarnation = { incarnation };
    row.requestDigest = { "body" };
    row.status = 200;
    row.answer = "paid";
    return row;
}

} // namespace

// Guards against a call that runs before its row is `started`, and against an answer before the outcome is recorded.
TEST_CASE("A non-repeatable call starts after its row is claimed and is answered after the outcome is recorded")
{
    AgentHarness agent = agentClaimingRow();
    REQUIRE(agent.all<StartUpstream>().empty());
    const auto claim = agent.firstEffect<StoreWrite>();
    REQUIRE(claim.key == "calls/svc/small/pay-1");
    REQUIRE(decodeCallRow(claim.value).value().state == CallRowState::Started);
    agent.storeAnswer(claim.token, StoreStatus::Ok, 1);
    REQUIRE(agent.firstEffect<StartUpstream>().recordAnswer);
    agent.end(1);
    REQUIRE(agent.all<AnswerDispatch>().empty());
    const auto firstOutcome = agent.firstEffect<StoreWrite>();
    agent.storeAnswer(firstOutcome.token, StoreStatus::Unavailable);
    agent.pass(200);
    const auto outcome = agent.firstEffect<StoreWrite>();
    REQUIRE(outcome.ifVersion.value == 1);
    const CallRow written = decodeCallRow(outcome.value).value();
    REQUIRE(written.answer == "paid");
    // The first write took effect although its answer was lost.
    agent.storeAnswer(outcome.token, StoreStatus::Conflict, 2, outcome.value);
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.kind == DispatchResultKind::Completed);
}

// Guards against a second run when the row no longer has the version that the entry read.
TEST_CASE("A conflict on the call row is answered with what the row records")
{
    const auto resultFor = [](const CallRow& row) {
        AgentHarness agent = agentClaimingRow();
        agent.storeAnswer(agent.firstEffect<StoreWrite>().token, StoreStatus::Conflict, 5, encodeCallRow(row));
        REQUIRE(agent.all<StartUpstream>().empty());
        return agent.firstEffect<AnswerDispatch>();
    };
    const auto done = resultFor(rowOfRequest(9, CallRowState::Done, 3));
    REQUIRE(done.result.kind == DispatchResultKind::RecordedDone);
    REQUIRE(done.storedAnswer == "paid");
    REQUIRE(resultFor(rowOfRequest(9, CallRowState::Started, 3)).result.kind == DispatchResultKind::RecordedUnknown);
    // Started by this agent, but its outcome was lost when the upstream failed.
    REQUIRE(resultFor(rowOfRequest(9, CallRowState::Started, 77)).result.kind == DispatchResultKind::RecordedUnknown);
    // The same attempt, started by an earlier agent process on this host.
    REQUIRE(resultFor(rowOfRequest(1, CallRowState::Started, 3)).result.kind == DispatchResultKind::RecordedUnknown);
    REQUIRE(resultFor(rowOfRequest(1, CallRowState::Cancelled, 0)).result.kind == DispatchResultKind::NotRun);
    // An answer that was too long to be recorded must not be replayed as if it were complete.
    CallRow tooLongAnswer = rowOfRequest(9, CallRowState::Done, 3);
    tooLongAnswer.status = 0;
    tooLongAnswer.answer.clear();
    REQUIRE(resultFor(tooLongAnswer).result.kind == DispatchResultKind::Failed);
    CallRow otherBody = rowOfRequest(9, CallRowState::Done, 3);
    otherBody.requestDigest = { "another body" };
    REQUIRE(resultFor(otherBody).result.kind == DispatchResultKind::KeyConflict);
}

// Guards against a run while the store is down, and against a row that stays `started` after `not-run` was reported.
TEST_CASE("A call whose row cannot be read does not run and its row is cancelled later")
{
    AgentHarness agent = agentClaimingRow();
    const auto claim = agent.firstEffect<StoreWrite>();
    agent.storeAnswer(claim.token, StoreStatus::Unavailable);
    agent.storeAnswer(agent.firstEffect<StoreRead>().token, StoreStatus::Unavailable);
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "store-unavailable");
    agent.send(DispatchReceived { AgentHarness::keyedCall(1) });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.kind == DispatchResultKind::NotRun);
    agent.pass(100);
    const auto release = agent.firstEffect<StoreWrite>();
    REQUIRE(decodeCallRow(release.value).value().state == CallRowState::Cancelled);
    // The write of `started` took effect late.
    agent.storeAnswer(release.token, StoreStatus::Conflict, 1, claim.value);
    REQUIRE(agent.firstEffect<StoreWrite>().ifVersion.value == 1);
    agent.storeAnswer(agent.firstEffect<StoreWrite>().token, StoreStatus::Ok, 2);
    REQUIRE(agent.state.slots.releases.empty());
}

// Guards against a run long after the caller's deadline, when the process was paused between the claim and the start.
TEST_CASE("A call whose deadline passed while its row was claimed does not start")
{
    AgentHarness agent = agentClaimingRow();
    const StoreToken token = agent.firstEffect<StoreWrite>().token;
    agent.now.value += 100000;
    agent.storeAnswer(token, StoreStatus::Ok, 1);
    REQUIRE(agent.all<StartUpstream>().empty());
    const auto release = agent.firstEffect<StoreWrite>();
    REQUIRE(release.ifVersion.value == 1);
    agent.storeAnswer(release.token, StoreStatus::Ok, 2);
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "deadline");
}

// Guards against losing the outcome when the connection of the dispatching entry is lost during the run.
TEST_CASE("The loss of an entry cancels its streams but lets its non-repeatable calls run to their end")
{
    AgentHarness agent = agentClaimingRow();
    agent.storeAnswer(agent.firstEffect<StoreWrite>().token, StoreStatus::Ok, 1);
    agent.send(DispatchReceived { AgentHarness::call(2) });
    agent.send(EntryDetached { { "entry-1" } });
    REQUIRE(agent.all<CancelUpstream>().size() == 1);
    REQUIRE(agent.firstEffect<CancelUpstream>().key.request.value == 2);
    agent.end(1);
    REQUIRE(decodeCallRow(agent.firstEffect<StoreWrite>().value).value().state == CallRowState::Done);
}
