#include "agent_harness.h"

#include <catch2/catch.hpp>

using namespace hickory;

// Guards against refusals without a machine-readable reason, and against dispatches started at an upstream that cannot
// serve them.
TEST_CASE("A dispatch is refused as not-run with the reason")
{
    AgentHarness agent;
    agent.send(DispatchReceived { AgentHarness::call(1) });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "not-ready");
    agent.reportReachable();
    DispatchCall other = AgentHarness::call(2);
    other.service = { "other" };
    agent.send(DispatchReceived { other });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "wrong-service");
    DispatchCall late = AgentHarness::call(3);
    late.timeout = { 0 };
    agent.send(DispatchReceived { late });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "deadline");
    agent.send(ShutdownRequested {});
    agent.send(DispatchReceived { AgentHarness::call(4) });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "leaving");
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.kind == DispatchResultKind::NotRun);
    REQUIRE(agent.all<StartUpstream>().empty());
}

// Guards against an unbounded queue, and against slots that stay idle while dispatches wait.
TEST_CASE("The queue is bounded and a freed slot goes to a waiting dispatch")
{
    AgentHarness agent(false, 1);
    agent.state.settings.maxQueued = 1;
    agent.reportReachable();
    agent.send(DispatchReceived { AgentHarness::call(1) });
    REQUIRE(agent.firstEffect<StartUpstream>().key.request.value == 1);
    agent.send(DispatchReceived { AgentHarness::call(2) });
    REQUIRE(agent.all<AnswerDispatch>().empty());
    agent.send(DispatchReceived { AgentHarness::call(3) });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "queue-full");
    agent.end(1);
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.kind == DispatchResultKind::Completed);
    REQUIRE(agent.firstEffect<StartUpstream>().key.request.value == 2);
}

// Guards against a planned stop that aborts admitted requests or exits before they have ended.
TEST_CASE("A leaving agent finishes admitted dispatches and then exits")
{
    AgentHarness agent(false, 1);
    agent.reportReachable();
    agent.send(DispatchReceived { AgentHarness::call(1) });
    agent.send(DispatchReceived { AgentHarness::call(2) });
    agent.send(ShutdownRequested {});
    agent.pass(500);
    REQUIRE(agent.all<ExitProcess>().empty());
    agent.reportReachable();
    agent.end(1);
    REQUIRE(agent.firstEffect<StartUpstream>().key.request.value == 2);
    agent.end(2);
    agent.send(Tick {});
    // The agent stays for 1 s to refuse dispatches that were sent before the entries received its leaving notice.
    REQUIRE(agent.all<ExitProcess>().empty());
    agent.pass(500);
    agent.send(Tick {});
    REQUIRE(agent.all<ExitProcess>().size() == 1);
}

// Guards against cutting the requests of an entry that has connected again, once the end of its old connection is seen.
TEST_CASE("The loss of an entry's old connection spares what came over its new one")
{
    AgentHarness agent;
    agent.reportReachable();
    agent.send(DispatchReceived { .call = AgentHarness::call(1), .connection = 1 });
    agent.send(DispatchReceived { .call = AgentHarness::call(2), .connection = 2 });
    agent.send(EntryDetached { .entry = { "entry-1" }, .connection = 1 });
    REQUIRE(agent.all<CancelUpstream>().size() == 1);
    CHECK(agent.firstEffect<CancelUpstream>().key.request.value == 1);
    agent.end(2);
    CHECK(agent.firstEffect<AnswerDispatch>().result.kind == DispatchResultKind::Completed);
}
