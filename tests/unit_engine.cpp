#include "agent_harness.h"

#include <catch2/catch.hpp>

using namespace hickory;

namespace {

/// @return target for a version of the test model
EngineTarget targetOf(const std::string& version)
{
    return { .service = { "svc" },
        .model = { "letters" },
        .version = { version },
        .manifest = { "m-" + version },
        .weightsDigest = "w-" + version,
        .adapters = { "a", "b" },
        .role = "both" };
}

/// @return state of an engine that runs targetOf(version); it lists the adapters in another order
UpstreamState reportOf(const std::string& version, std::uint64_t fence = 1)
{
    return { .reachable = true,
        .ready = true,
        .model = { "letters" },
        .version = { version },
        .manifest = { "m-" + version },
        .weightsDigest = "w-" + version,
        .adapters = { "b", "a" },
        .role = "both",
        .fence = { fence } };
}

/// @return agent of an engine without a model that holds fencing number 1
AgentHarness fencedAgent()
{
    AgentHarness agent(true);
    agent.send(Tick {});
    agent.storeAnswer(agent.firstEffect<StoreRead>().token, StoreStatus::Absent);
    agent.storeAnswer(agent.firstEffect<StoreWrite>().token, StoreStatus::Ok, 1);
    agent.send(UpstreamStateReceived { { .reachable = true } });
    return agent;
}

/// Brings a version into service.
/// @pre nothing is being served
void serve(AgentHarness& agent, const std::string& version)
{
    agent.state.engine.target = targetOf(version);
    agent.pass(50);
    agent.send(LoadEnded { .order = agent.firstEffect<OrderLoad>().order, .ok = true });
    agent.send(UpstreamStateReceived { reportOf(version) });
}

} // namespace

// Guards against a load order without a fencing number when the answer to the write of the fence row is lost.
TEST_CASE("The fencing number is taken by compare-and-set, and a read shows whether an unanswered write took effect")
{
    AgentHarness agent(true);
    agent.state.engine.target = targetOf("v1");
    agent.send(Tick {});
    agent.storeAnswer(agent.firstEffect<StoreRead>().token, StoreStatus::Ok, 4, R"({"number":4,"incarnation":5})");
    const auto write = agent.firstEffect<StoreWrite>();
    REQUIRE(write.ifVersion.value == 4);
    agent.storeAnswer(write.token, StoreStatus::Unavailable);
    agent.pass(200);
    agent.storeAnswer(agent.firstEffect<StoreRead>().token, StoreStatus::Ok, 5, write.value);
    REQUIRE(agent.state.engine.fence.value == 5);
    agent.send(UpstreamStateReceived { { .reachable = true } });
    REQUIRE(agent.firstEffect<OrderLoad>().fence.value == 5);
}

// Guards against a host that is ready before the engine reports every property of the target.
TEST_CASE("An engine serves only after it reports the target")
{
    AgentHarness agent = fencedAgent();
    agent.state.engine.target = targetOf("v1");
    agent.send(Tick {});
    agent.send(LoadEnded { .order = agent.firstEffect<OrderLoad>().order, .ok = true });
    UpstreamState wrong = reportOf("v1");
    wrong.weightsDigest = "other bytes";
    agent.send(UpstreamStateReceived { wrong });
    REQUIRE_FALSE(agent.state.published.ready);
    agent.pass(6000);
    agent.send(UpstreamStateReceived { wrong });
    // Another agent may have loaded another version, so the fence row is read before the order is repeated.
    agent.pass(1000);
    REQUIRE(agent.all<OrderLoad>().empty());
    agent.storeAnswer(agent.firstEffect<StoreRead>().token, StoreStatus::Ok, 1, R"({"number":1,"incarnation":77})");
    agent.pass(50);
    agent.send(LoadEnded { .order = agent.firstEffect<OrderLoad>().order, .ok = true });
    agent.send(UpstreamStateReceived { reportOf("v1") });
    REQUIRE(agent.state.published.ready);
    REQUIRE(agent.state.published.version.value == "v1");
}

// Guards against a version change that aborts a running request or serves it from another version.
TEST_CASE("A new target is loaded after the running requests have ended, and new requests are refused until then")
{
    AgentHarness agent = fencedAgent();
    serve(agent, "v1");
    agent.send(DispatchReceived { AgentHarness::call(1) });
    REQUIRE(agent.all<StartUpstream>().size() == 1);
    agent.state.engine.target = targetOf("v2");
    agent.pass(50);
    REQUIRE(agent.all<OrderLoad>().empty());
    agent.send(DispatchReceived { AgentHarness::call(2) });
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.reason == "not-ready");
    agent.end(1);
    agent.pass(50);
    REQUIRE(agent.firstEffect<OrderLoad>().version.value == "v2");
}

// Guards against two agents that send load orders to the same engine: the older one must exit.
TEST_CASE("A paused agent reads the fence row before its next load order and exits when a newer agent holds it")
{
    AgentHarness agent = fencedAgent();
    serve(agent, "v1");
    agent.state.engine.target = targetOf("v2");
    agent.now.value += 20000;
    agent.send(Tick {});
    REQUIRE(agent.all<OrderLoad>().empty());
    const StoreToken token = agent.firstEffect<StoreRead>().token;
    agent.send(UpstreamStateReceived { reportOf("v1") });
    REQUIRE(agent.all<OrderLoad>().empty());
    agent.storeAnswer(token, StoreStatus::Ok, 2, R"({"number":2,"incarnation":78})");
    REQUIRE_FALSE(agent.state.published.ready);
    agent.send(Tick {});
    REQUIRE(agent.all<OrderLoad>().empty());
    REQUIRE(agent.all<ExitProcess>().size() == 1);
}

// Guards against a host that stays ready, or never loads again, after its engine was restarted without a model.
TEST_CASE("An engine that no longer reports the verified version is loaded again")
{
    AgentHarness agent = fencedAgent();
    serve(agent, "v1");
    REQUIRE(agent.state.published.ready);
    agent.send(UpstreamStateReceived { { .reachable = true } });
    REQUIRE_FALSE(agent.state.published.ready);
    agent.send(Tick {});
    agent.storeAnswer(agent.firstEffect<StoreRead>().token, StoreStatus::Ok, 1, R"({"number":1,"incarnation":77})");
    agent.pass(50);
    REQUIRE(agent.firstEffect<OrderLoad>().version.value == "v1");
}

// Guards against endless load orders for a version that fails to load, and against a host that never recovers from it.
TEST_CASE("A failed load is repeated only after the engine restarted")
{
    AgentHarness agent = fencedAgent();
    agent.state.engine.target = targetOf("v1");
    agent.send(Tick {});
    agent.send(LoadEnded { .order = agent.firstEffect<OrderLoad>().order, .ok = false, .detail = "out of memory" });
    REQUIRE(agent.state.published.detail == "out of memory");
    const auto orders = agent.state.engine.order;
    for (int poll = 0; poll < 100; ++poll) {
        agent.pass(500);
        agent.send(UpstreamStateReceived { { .reachable = true } });
    }
    REQUIRE(agent.state.engine.order == orders);
    agent.send(UpstreamStateReceived { { .reachable = false } });
    agent.send(UpstreamStateReceived { { .reachable = true } });
    REQUIRE(agent.all<OrderLoad>().size() == 1);
}
