#include "agent_harness.h"
#include "engine_cmd.h"
#include "slot_func.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace hickory;

namespace {

/// Requests of one rank and workspace that arrive at a constant rate.
struct Flow {
    std::uint8_t rank;
    std::string workspace;
    std::uint32_t perSecond; ///< arrivals per second, evenly spaced
    std::uint32_t sent { 0 }; ///< number of arrivals so far
    std::uint32_t served { 0 }; ///< number of completed requests
    std::vector<std::int64_t> waits; ///< times from arrival to start, ms, sorted at the end
};

/// Simulates flows against 8 slots of an upstream that takes 100 ms per request: a capacity of 80 requests/s.
void simulate(std::vector<Flow>& flows, std::int64_t seconds)
{
    constexpr std::int64_t step = 10;
    AgentHarness agent;
    std::map<std::uint64_t, std::pair<std::size_t, std::int64_t>> sent;
    std::multimap<std::int64_t, std::uint64_t> due;
    const auto collect = [&] {
        for (const auto& start : agent.all<StartUpstream>()) {
            const auto& [flow, arrived] = sent.at(start.key.request.value);
            flows[flow].waits.push_back(agent.now.value - arrived);
            due.emplace(agent.now.value + 100, start.key.request.value);
        }
    };
    const std::int64_t begin = agent.now.value;
    for (std::int64_t passed = 0; passed < seconds * 1000; passed += step) {
        agent.now.value = begin + passed;
        if (passed % 500 == 0)
            agent.reportReachable();
        if (passed % 50 == 0) {
            agent.send(Tick {});
            collect();
        }
        while (!due.empty() && due.begin()->first <= agent.now.value) {
            const std::uint64_t request = due.begin()->second;
            due.erase(due.begin());
            ++flows[sent.at(request).first].served;
            agent.end(request);
            collect();
        }
        for (std::size_t flow = 0; flow < flows.size(); ++flow)
            for (; flows[flow].sent * 1000 < flows[flow].perSecond * passed; ++flows[flow].sent) {
                const std::uint64_t request = sent.size() + 1;
                sent[request] = { flow, agent.now.value };
                agent.send(DispatchReceived { AgentHarness::call(request, flows[flow].rank, flows[flow].workspace) });
                collect();
            }
    }
    for (Flow& flow : flows)
        std::sort(flow.waits.begin(), flow.waits.end());
}

std::int64_t p95(const Flow& flow) { return flow.waits[flow.waits.size() * 95 / 100]; }

/// @return agent whose engine is ready and serves version v1 of its service
AgentHarness servingEngine(std::uint32_t concurrency)
{
    AgentHarness agent(true, concurrency);
    EngineState& engine = agent.state.engine;
    engine.target = EngineTarget { .service = { "svc" }, .version = { "v1" } };
    engine.serving = engine.target;
    engine.phase = EnginePhase::Serving;
    applyConfigToSlots(agent.state, agent.effects);
    agent.send(UpstreamStateReceived { .state = { .reachable = true, .ready = true, .version = { "v1" } } });
    return agent;
}

} // namespace

// Guards against a rank that gets less than its floor, and against idle slots, while all ranks are overloaded.
TEST_CASE("Each overloaded rank gets its floor and no slot stays idle")
{
    std::vector<Flow> flows { { 0, "large", 400 }, { 1, "large", 400 }, { 2, "large", 400 } };
    simulate(flows, 20);
    INFO("served " << flows[0].served << " " << flows[1].served << " " << flows[2].served << " of 1600");
    REQUIRE(flows[0].served >= 800);
    REQUIRE(flows[1].served >= 395);
    REQUIRE(flows[2].served >= 195);
    REQUIRE(flows[0].served + flows[1].served + flows[2].served >= 1570);
}

// Guards against a flood of the most urgent rank that takes the floors of the other ranks, or gets less than the rest.
TEST_CASE("A flood of the most urgent rank gets all slots but the floors of the others")
{
    std::vector<Flow> flows { { 0, "large", 400 }, { 1, "large", 18 }, { 2, "large", 9 } };
    simulate(flows, 20);
    INFO("served " << flows[0].served << " " << flows[1].served << " " << flows[2].served << " of 1600");
    REQUIRE(flows[1].served >= 355);
    REQUIRE(flows[2].served >= 175);
    REQUIRE(flows[0].served >= 0.95 * (1600 - 360 - 180));
}

// Guards against a flood of the least urgent rank that delays the most urgent rank while this stays within its floor.
TEST_CASE("A bulk flood does not refuse or delay urgent requests within their floor")
{
    std::vector<Flow> flows { { 0, "small", 35 }, { 2, "large", 800 } };
    simulate(flows, 20);
    INFO("served " << flows[0].served << " " << flows[1].served << ", urgent p95 wait " << p95(flows[0]) << " ms");
    REQUIRE(flows[0].served >= 35 * 20 - 7); // all but those of the last 200 ms
    REQUIRE(p95(flows[0]) <= 100);
}

// Guards against a small workspace starving beside a large one, whose requests reach the agent through many entries.
TEST_CASE("A small workspace is served in full beside a flooding one of the same rank")
{
    std::vector<Flow> flows { { 1, "small", 20 }, { 1, "large", 800 } };
    simulate(flows, 20);
    INFO("served " << flows[0].served << " " << flows[1].served << ", small p95 wait " << p95(flows[0]) << " ms");
    REQUIRE(flows[0].served >= 395);
    REQUIRE(flows[0].served + flows[1].served >= 1570);
}

// Guards against urgent requests that wait behind long streams, and against preempting a rank that is at its floor.
TEST_CASE("A rank below its floor preempts the youngest stream of the least urgent rank")
{
    AgentHarness agent = servingEngine(8);
    for (std::uint64_t request = 1; request <= 8; ++request) {
        ++agent.now.value;
        agent.send(DispatchReceived { AgentHarness::call(request, request <= 5 ? 1 : 2) });
        REQUIRE(agent.all<StartUpstream>().size() == 1);
    }
    agent.send(DispatchReceived { AgentHarness::call(9, 0) });
    REQUIRE(agent.firstEffect<CancelUpstream>().key.request.value == 8);
    agent.end(8, UpstreamResult::Cancelled);
    REQUIRE(agent.firstEffect<AnswerDispatch>().result.kind == DispatchResultKind::Preempted);
    REQUIRE(agent.firstEffect<StartUpstream>().key.request.value == 9);
    // The urgent rank is entitled to the five slots that the other floors leave, and holds one. The normal rank keeps
    // the two slots of its floor, the bulk rank its one.
    std::vector<std::uint64_t> taken;
    for (std::uint64_t request = 10; request <= 20; ++request) {
        agent.send(DispatchReceived { AgentHarness::call(request, 0) });
        for (const auto& cancel : agent.all<CancelUpstream>())
            taken.push_back(cancel.key.request.value);
    }
    REQUIRE(taken == std::vector<std::uint64_t> { 7, 5, 4, 3 });
}

// Guards against a limit that ignores a slow upstream, stays low after its recovery, or falls below one slot per floor.
TEST_CASE("The adaptive limit follows the latency between one slot per floor and the concurrency")
{
    AgentHarness agent;
    agent.reportReachable();
    std::uint64_t request = 0;
    const auto serve = [&](std::int64_t latency, int rounds) {
        for (int round = 0; round < rounds; ++round) {
            std::vector<std::uint64_t> running;
            for (std::uint32_t slot = slotLimit(agent.state.slots); slot > 0; --slot) {
                agent.send(DispatchReceived { AgentHarness::call(++request) });
                running.push_back(request);
            }
            for (std::int64_t passed = 0; passed < latency; passed += 500) {
                agent.pass(std::min<std::int64_t>(500, latency - passed));
                agent.reportReachable();
            }
            for (const std::uint64_t one : running)
                agent.send(UpstreamFirstPart { .key = AgentHarness::call(one).key });
            for (const std::uint64_t one : running)
                agent.end(one);
        }
    };
    serve(50, 100);
    REQUIRE(slotLimit(agent.state.slots) == 8);
    serve(4000, 8);
    REQUIRE(slotLimit(agent.state.slots) == 3);
    serve(50, 400);
    REQUIRE(slotLimit(agent.state.slots) == 8);
}

// Guards against a stream that is set aside while its version is replaced, so that no engine can go on with it.
TEST_CASE("No stream is preempted at an engine whose version is being replaced")
{
    AgentHarness agent = servingEngine(2);
    Config config = *agent.state.config.config;
    const bool replaced = GENERATE(false, true);
    config.services[0].model = ModelConfig { .version = { replaced ? "v2" : "v1" } };
    agent.state.config.config = std::make_shared<const Config>(config);
    for (std::uint64_t request = 1; request <= 2; ++request)
        agent.send(DispatchReceived { AgentHarness::call(request, 2) });
    agent.send(DispatchReceived { AgentHarness::call(3, 0) });
    REQUIRE(agent.all<CancelUpstream>().size() == (replaced ? 0 : 1));
}
